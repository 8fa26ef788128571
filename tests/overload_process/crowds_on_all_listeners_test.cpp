#include "support/crowd.h"
#include "support/hostile_target.h"
#include "support/overload_deployment.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

// Clients, targets, other machines and a store that nobody controls, on all listeners of real processes with lowered
// limits. As in uncontrolled_clients_test.cpp, each test checks that both processes live within the memory and the
// descriptors of their settings and answer an ordinary request while the connections of the clients are still open.

namespace dandeliondock::testing {
namespace {

constexpr std::size_t mebibyte = 1'048'576;
constexpr std::size_t largePiece = 262'144;
constexpr std::size_t smallPiece = 8'192;
constexpr std::size_t legalBody = 8'388'608; // within the limits of every listener
constexpr int smallReceiveBuffer = 16'384;

// Time for the proxies to take what the system's socket buffers still hold.
void settle()
{
    std::this_thread::sleep_for(Milliseconds(500));
}

void checkStillServing(const OverloadDeployment &deployment, const std::string &title)
{
    settle();
    deployment.checkUsage(title);
    CHECK(deployment.answersOrdinaryRequest());
    deployment.checkUsage(title + ", later");
}

std::string get(const std::string &path)
{
    return uploadHead(path, "Content-Length: 0\r\n");
}

std::string announcedUpload(const std::string &path, std::size_t length)
{
    return uploadHead(path, absl::StrCat("Content-Length: ", length, "\r\n"));
}

std::string chunkedUpload(const std::string &path)
{
    return uploadHead(path, "Transfer-Encoding: chunked\r\n");
}

std::string peerMessageHead(const std::string &kind, std::size_t length)
{
    return absl::StrCat("POST / HTTP/1.1\r\nHost: h\r\nDock-Message: ", kind, "\r\nContent-Length: ", length,
                        "\r\n\r\n");
}

// A request as the callers' proxy forwards it to the target's proxy.
std::string forwardedRequest(const std::string &path, const std::string &id)
{
    return absl::StrCat("GET ", path, " HTTP/1.1\r\nHost: h\r\nDock-Target: two\r\nDock-Service: s\r\n",
                        "Dock-Terms: 1,1,10000,10000\r\nX-Dandeliondock-Attempt-Id: ", id, "\r\n\r\n");
}

// Waits for the head of a response; returns false if the connection ends before.
bool receivesHead(const CrowdClient &client)
{
    std::string response;
    while (!absl::StrContains(response, "\r\n\r\n")) {
        const std::string bytes = client.receiveSome();
        if (bytes.empty())
            return false;
        response += bytes;
    }
    return true;
}

std::string repeated(const std::string &text, std::size_t size)
{
    std::string result;
    result.reserve(size + text.size());
    while (result.size() < size)
        result += text;
    return result;
}

// Header lines of at least \c size bytes, each as short as possible.
std::string shortLines(std::size_t size)
{
    return repeated("a:\r\n", size);
}

void sendStalledBody(const CrowdClient &client)
{
    if (client.send(announcedUpload("/a/1", legalBody)))
        client.sendFiller(legalBody - 1, largePiece);
}

void sendStalledPieces(const CrowdClient &client)
{
    if (client.send(announcedUpload("/a/1", legalBody)))
        client.sendFiller(legalBody - 1, smallPiece);
}

void sendLargeChunks(const CrowdClient &client)
{
    if (client.send(chunkedUpload("/a/1")))
        client.sendChunks(legalBody, largePiece);
}

void sendTinyChunks(const CrowdClient &client)
{
    if (client.send(chunkedUpload("/a/1")))
        client.sendChunks(2 * mebibyte, 1);
}

void sendTrailers(const CrowdClient &client)
{
    if (client.send(chunkedUpload("/a/1") + "5\r\nhello\r\n0\r\n"))
        client.sendLines("t: x\r\n", 2 * mebibyte);
}

void sendEndlessHead(const CrowdClient &client)
{
    if (client.send("GET /a/1 HTTP/1.1\r\nHost: h\r\n"))
        client.sendLines("a: x\r\n", 2 * mebibyte);
}

void sendCompleteBody(const CrowdClient &client)
{
    if (client.send(announcedUpload("/a/slow", 4 * mebibyte)))
        client.sendFiller(4 * mebibyte, largePiece);
}

// The responses to complete requests are not read.
void sendMixed(const CrowdClient &client, int kind)
{
    switch (kind % 8) {
    case 0:
        sendStalledBody(client);
        return;
    case 1:
        sendStalledPieces(client);
        return;
    case 2:
        sendLargeChunks(client);
        return;
    case 3:
        sendTinyChunks(client);
        return;
    case 4:
        sendTrailers(client);
        return;
    case 5:
        sendEndlessHead(client);
        return;
    case 6:
        sendCompleteBody(client);
        return;
    default:
        client.send(get("/a/large"));
        return;
    }
}

} // namespace

// Guards against trailers, which follow the body and which the limit on the body does not cover, without a bound.
TEST_CASE("trailers without end stay within the limits on the listeners for callers and other proxies",
          "[overload_process]")
{
    const OverloadDeployment deployment;
    const std::vector<std::uint16_t> ports = {deployment.callers.callersPort(), deployment.callers.inboundPort()};
    const Crowd crowd(ports, 48, [](const CrowdClient &client, int) { sendTrailers(client); });
    checkStillServing(deployment, "trailers");
}

// Guards against heads without a bound, on every listener.
TEST_CASE("heads without end stay within the limits on all listeners", "[overload_process]")
{
    const OverloadDeployment deployment;
    const Crowd crowd(deployment.callers.ports(), 50, [](const CrowdClient &client, int) { sendEndlessHead(client); });
    checkStillServing(deployment, "heads");
}

// Guards against a bound that holds for each listener only.
TEST_CASE("mixed crowds on all listeners of the callers' proxy stay within the limits", "[overload_process]")
{
    const OverloadDeployment deployment;
    const Crowd crowd(
            deployment.callers.ports(), 50,
            [](const CrowdClient &client, int number) { sendMixed(client, number / 5); }, smallReceiveBuffer);
    checkStillServing(deployment, "all listeners of the callers' proxy");
}

// Guards against a bound that does not include what other proxies send and what the client of the target receives.
TEST_CASE("mixed crowds on all listeners of the target's proxy and of callers stay within the limits",
          "[overload_process]")
{
    const OverloadDeployment deployment;
    std::vector<std::uint16_t> ports = deployment.inbound.ports();
    ports.push_back(deployment.callers.callersPort());
    const Crowd crowd(
            ports, 54, [](const CrowdClient &client, int number) { sendMixed(client, number / 6); },
            smallReceiveBuffer);
    checkStillServing(deployment, "all listeners of the target's proxy");
}

// Guards against responses that hold memory before they are recorded, for as long as the target sends them.
TEST_CASE("responses of a faulty target without end stay within the memory limit", "[overload_process]")
{
    const HostileTarget target;
    const OverloadDeployment deployment(target.address());
    const std::vector<std::string> paths = {"/a/short", "/a/chunks", "/a/tiny", "/a/trailers", "/a/head", "/a/endless"};
    const Crowd crowd(deployment.callers.callersPort(), 36, [&](const CrowdClient &client, int number) {
        client.send(get(paths[static_cast<std::size_t>(number) % paths.size()]));
    });
    std::this_thread::sleep_for(Seconds(3));
    checkStillServing(deployment, "faulty target");
}

// Guards against a response in very small chunks that is recorded only after all of it was received.
TEST_CASE("responses of a faulty target in very small chunks stay within the memory limit", "[overload_process]")
{
    const HostileTarget target;
    const OverloadDeployment deployment(target.address());
    const Crowd crowd(deployment.callers.callersPort(), 48,
                      [](const CrowdClient &client, int) { client.send(get("/a/tiny")); });
    std::this_thread::sleep_for(Seconds(3));
    checkStillServing(deployment, "responses in very small chunks");
}

// Guards against response heads of many short lines, which need several times their length, beside bodies that use up
// the account.
TEST_CASE("responses with many header lines stay within the memory limit", "[overload_process]")
{
    const HostileTarget target;
    const OverloadDeployment deployment(target.address());
    const Crowd uploads(deployment.inbound.inboundPort(), 6,
                        [](const CrowdClient &client, int) { sendStalledBody(client); });
    constexpr int requestsPerClient = 16;
    const Crowd crowd(
            deployment.callers.callersPort(), 22,
            [](const CrowdClient &client, int) {
                for (int index = 0; index < requestsPerClient; ++index)
                    client.send(get("/a/lines"));
            },
            smallReceiveBuffer);
    checkStillServing(deployment, "response heads");
}

// Guards against request heads of many short lines, which need several times their length while the requests wait,
// beside bodies that use up the account.
TEST_CASE("requests with many header lines stay within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    const Crowd uploads(deployment.callers.callersPort(), 6,
                        [](const CrowdClient &client, int) { sendStalledBody(client); });
    constexpr int requestsPerClient = 16;
    constexpr std::size_t linesSize = 13'000;
    const Crowd crowd(deployment.callers.callersPort(), 24, [](const CrowdClient &client, int) {
        for (int index = 0; index < requestsPerClient; ++index)
            client.send(uploadHead("/a/slow", "Content-Length: 0\r\n" + shortLines(linesSize)));
    });
    checkStillServing(deployment, "request heads");
}

// Guards against the ids of earlier requests that connections to the target remember, without regard to their length.
// Sent as another proxy would, because the path through the callers' proxy admits ids of half the length.
TEST_CASE("long request ids stay within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    constexpr int requestsPerClient = 240;
    constexpr std::size_t idSize = 15'000;
    const std::string id(idSize, 'i');
    const Crowd crowd(deployment.inbound.inboundPort(), 24, [&](const CrowdClient &client, int number) {
        for (int index = 0; index < requestsPerClient; ++index) {
            if (!client.send(forwardedRequest("/a/delay", absl::StrCat(number, "-", index, "-", id)))
                || !receivesHead(client))
                return;
        }
    });
    checkStillServing(deployment, "long ids");
}

// Guards against a limit of the inbound listener below what callers may send, with the headers that a proxy adds.
TEST_CASE("a head of almost the largest legal size is served", "[overload_process]")
{
    const OverloadDeployment deployment;
    constexpr std::size_t lineSize = 16'240; // of 16,384 for the whole head
    const CrowdClient client(deployment.callers.callersPort());
    client.send(uploadHead("/a/1", absl::StrCat("Content-Length: 0\r\nConnection: close\r\nlong: ",
                                                std::string(lineSize, 'x'), "\r\n")));
    CHECK(absl::StartsWith(client.readAll(), "HTTP/1.1 200"));
}

// Guards against failure responses that are kept while another target is tried and that no account includes. The
// requests follow one another, so that the responses are received completely.
TEST_CASE("large failure responses that are kept during another attempt stay within the memory limit",
          "[overload_process]")
{
    const OverloadDeployment deployment;
    deployment.callers.announceTarget();
    constexpr Milliseconds interval{100};
    const Crowd crowd(deployment.callers.callersPort(), 12, [&](const CrowdClient &client, int number) {
        std::this_thread::sleep_for(number * interval);
        client.send(get("/a/fail"));
    });
    checkStillServing(deployment, "kept failure responses");
}

// Guards against bodies that leave the account while they wait for another attempt.
TEST_CASE("large requests that are sent to another target stay within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    deployment.callers.announceTarget();
    const Crowd crowd(deployment.callers.callersPort(), 32, [](const CrowdClient &client, int) {
        if (client.send(announcedUpload("/a/busy", 4 * mebibyte)))
            client.sendFiller(4 * mebibyte, largePiece);
    });
    checkStillServing(deployment, "requests for another target");
}

// Guards against messages that take a multiple of their length when they are decoded, and against copies of their
// bodies that leave the account on their way to the control duty.
TEST_CASE("large messages of other proxies stay within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    // Lists of empty entries: each takes two bytes.
    const std::string reports = repeated(std::string("\x22\x00", 2), legalBody);
    const std::string sums = repeated(std::string("\x2a\x00", 2), legalBody);
    const std::string batch = repeated(std::string("\x12\x00", 2), legalBody);
    const Crowd crowd(deployment.inbound.inboundPort(), 16, [&](const CrowdClient &client, int number) {
        const std::vector<std::pair<std::string, const std::string *>> messages = {
                {"quota_report", &reports}, {"quota_sums", &sums}, {"outcomes", &batch}, {"table", &reports}};
        const auto &[kind, body] = messages[static_cast<std::size_t>(number) % messages.size()];
        const bool isStalled = number >= 8;
        if (client.send(peerMessageHead(kind, body->size())))
            client.send(isStalled ? body->substr(1) : *body);
    });
    checkStillServing(deployment, "messages of other proxies");
}

// Guards against announcements that take a multiple of their length when they are decoded.
TEST_CASE("large announcements stay within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    const std::string body = "[" + repeated("0,", legalBody - 4) + "0]";
    const Crowd crowd(deployment.callers.announcementsPort(), 8, [&](const CrowdClient &client, int) {
        if (client.send(absl::StrCat("POST /api/rpc?call=instances.heartbeat&of=one HTTP/1.1\r\nHost: h\r\n",
                                     "Content-Length: ", body.size(), "\r\n\r\n")))
            client.send(body);
    });
    checkStillServing(deployment, "announcements");
}

// Guards against responses of the store that take a multiple of their length when they are decoded.
TEST_CASE("large responses of a faulty store stay within the memory limit", "[overload_process]")
{
    OverloadDeployment deployment;
    FakeStoreFaults faults;
    faults.body = R"({"rows":[)" + repeated("0,", 30 * mebibyte) + "0]}";
    deployment.store.setFaults(faults);
    std::this_thread::sleep_for(Seconds(3));
    deployment.checkUsage("faulty store");
    deployment.store.setFaults({});
    checkStillServing(deployment, "faulty store");
}

// Guards against memory that the allocator keeps after messages were released and that no account includes: many small
// blocks, and large ones that have mappings of their own.
TEST_CASE("large bodies after many header lines stay within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    constexpr int requestsPerClient = 16;
    constexpr std::size_t linesSize = 13'000;
    const Crowd heads(deployment.callers.callersPort(), 28, [](const CrowdClient &client, int) {
        for (int index = 0; index < requestsPerClient; ++index)
            client.send(uploadHead("/a/slow", "Content-Length: 0\r\n" + shortLines(linesSize)));
    });
    std::this_thread::sleep_for(2 * OverloadTarget::slowWorkTime);
    deployment.checkUsage("after header lines");
    const Crowd large(deployment.callers.callersPort(), 12,
                      [](const CrowdClient &client, int) { sendStalledBody(client); });
    checkStillServing(deployment, "large bodies after header lines");
}

} // namespace dandeliondock::testing
