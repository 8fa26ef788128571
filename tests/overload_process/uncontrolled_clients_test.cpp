#include "support/crowd.h"
#include "support/overload_deployment.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <thread>

// Clients that nobody controls, against real processes with lowered limits. Each test checks that both processes live
// within the memory and the descriptors of their settings and answer an ordinary request while the connections of the
// clients are still open. Nothing is checked about times or about which of the clients are served.

namespace dandeliondock::testing {
namespace {

constexpr std::size_t mebibyte = 1'048'576;
constexpr std::size_t largePiece = 262'144;
constexpr std::size_t smallPiece = 8'192;

// Time for the proxies to take what the system's socket buffers still hold.
void settle()
{
    std::this_thread::sleep_for(Milliseconds(500));
}

std::string announcedUpload(const std::string &path, std::size_t length)
{
    return uploadHead(path, absl::StrCat("Content-Length: ", length, "\r\n"));
}

std::string chunkedUpload(const std::string &path)
{
    return uploadHead(path, "Transfer-Encoding: chunked\r\n");
}

} // namespace

// Guards against copies of a body that take a process over its memory although only one request is served.
TEST_CASE("a single body of the largest legal size is served within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    const CrowdClient client(deployment.callers.callersPort());
    client.send(announcedUpload("/a/1", OverloadDeployment::maxBodyBytes));
    CHECK(client.sendFiller(OverloadDeployment::maxBodyBytes, largePiece));
    CHECK(client.send(uploadHead("/a/1", "Content-Length: 0\r\nConnection: close\r\n")));
    const std::string responses = client.readAll();
    CHECK(absl::StartsWith(responses, "HTTP/1.1 200"));
    CHECK(absl::StrContains(responses, absl::StrCat("length ", OverloadDeployment::maxBodyBytes)));
    CHECK(deployment.inbound.target.longestBody == OverloadDeployment::maxBodyBytes);
    deployment.checkUsage("single body");
    CHECK(deployment.answersOrdinaryRequest());
}

// Guards against copies of a chunked body, whose length is not known in advance.
TEST_CASE("a single chunked body of the largest legal size is served within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    const CrowdClient client(deployment.callers.callersPort());
    client.send(chunkedUpload("/a/1"));
    CHECK(client.sendChunks(OverloadDeployment::maxBodyBytes, largePiece));
    CHECK(client.send("0\r\n\r\n"));
    CHECK(client.send(uploadHead("/a/1", "Content-Length: 0\r\nConnection: close\r\n")));
    CHECK(absl::StartsWith(client.readAll(), "HTTP/1.1 200"));
    CHECK(deployment.inbound.target.longestBody == OverloadDeployment::maxBodyBytes);
    deployment.checkUsage("single chunked body");
    CHECK(deployment.answersOrdinaryRequest());
}

// Guards against bodies in progress that are held without a bound for all connections together.
TEST_CASE("large bodies that stop short of their end stay within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    const Crowd crowd(deployment.callers.callersPort(), 16, [](const CrowdClient &client, int number) {
        const std::size_t missing = number % 4 == 0 ? 0 : 1;
        if (client.send(announcedUpload("/a/1", 8 * mebibyte)))
            client.sendFiller(8 * mebibyte - missing, largePiece);
    });
    settle();
    deployment.checkUsage("stalled bodies");
    CHECK(deployment.answersOrdinaryRequest());
    deployment.checkUsage("stalled bodies, later");
}

// Guards against bodies in progress whose bytes arrive in small pieces.
TEST_CASE("large bodies in pieces that stop short of their end stay within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    const Crowd crowd(deployment.callers.callersPort(), 12, [](const CrowdClient &client, int number) {
        const std::size_t missing = number % 4 == 0 ? 0 : 1;
        if (client.send(announcedUpload("/a/1", OverloadDeployment::maxBodyBytes)))
            client.sendFiller(OverloadDeployment::maxBodyBytes - missing, smallPiece);
    });
    settle();
    deployment.checkUsage("bodies in pieces");
    CHECK(deployment.answersOrdinaryRequest());
}

// Guards against a listener for other proxies without a bound.
TEST_CASE("large bodies at the inbound listener stay within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    const Crowd crowd(deployment.inbound.inboundPort(), 16, [](const CrowdClient &client, int) {
        if (client.send(announcedUpload("/a/1", 8 * mebibyte)))
            client.sendFiller(8 * mebibyte - 1, largePiece);
    });
    settle();
    deployment.checkUsage("bodies at the inbound listener");
    CHECK(deployment.answersOrdinaryRequest());
}

// Guards against complete requests and their copies for attempts that are held without a bound while targets work.
TEST_CASE("complete large bodies whose target is slow stay within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    const Crowd crowd(deployment.callers.callersPort(), 24, [](const CrowdClient &client, int) {
        if (client.send(announcedUpload("/a/slow", 4 * mebibyte)))
            client.sendFiller(4 * mebibyte, largePiece);
    });
    settle();
    deployment.checkUsage("complete bodies");
    CHECK(deployment.answersOrdinaryRequest());
    deployment.checkUsage("complete bodies, later");
}

// Guards against reading a body that was announced to be over the limit.
TEST_CASE("bodies announced over the limit are refused within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    const Crowd crowd(deployment.callers.callersPort(), 12, [](const CrowdClient &client, int) {
        if (client.send(announcedUpload("/a/1", 64 * OverloadDeployment::maxBodyBytes)))
            client.sendFiller(2 * OverloadDeployment::maxBodyBytes, largePiece);
    });
    settle();
    deployment.checkUsage("announced over the limit");
    CHECK(deployment.answersOrdinaryRequest());
}

// Guards against bodies over the limit that are held until the limit is reached, on all connections at once.
TEST_CASE("bodies sent over the limit stay within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    const Crowd crowd(deployment.callers.callersPort(), 12, [](const CrowdClient &client, int) {
        if (client.send(chunkedUpload("/a/1")))
            client.sendChunks(4 * OverloadDeployment::maxBodyBytes, largePiece);
    });
    settle();
    deployment.checkUsage("sent over the limit");
    CHECK(deployment.answersOrdinaryRequest());
}

// Guards against chunked bodies in progress that are held without a bound.
TEST_CASE("bodies in large chunks that stop short of their end stay within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    const Crowd crowd(deployment.callers.callersPort(), 16, [](const CrowdClient &client, int number) {
        if (client.send(chunkedUpload("/a/1")) && client.sendChunks(8 * mebibyte, largePiece) && number % 4 == 0)
            client.send("0\r\n\r\n");
    });
    settle();
    deployment.checkUsage("large chunks");
    CHECK(deployment.answersOrdinaryRequest());
}

// Guards against chunks whose handling takes memory or time out of proportion to their size.
TEST_CASE("bodies in very small chunks that stop short of their end stay within the limits", "[overload_process]")
{
    const OverloadDeployment deployment;
    const Crowd crowd(deployment.callers.callersPort(), 48, [](const CrowdClient &client, int number) {
        if (client.send(chunkedUpload("/a/1")) && client.sendChunks(2 * mebibyte, 1) && number % 4 == 0)
            client.send("0\r\n\r\n");
    });
    settle();
    deployment.checkUsage("very small chunks");
    CHECK(deployment.answersOrdinaryRequest());
}

// Guards against complete responses that are held without a bound for clients that do not read them.
TEST_CASE("large responses that are not read stay within the memory limit", "[overload_process]")
{
    const OverloadDeployment deployment;
    constexpr int receiveBuffer = 16'384;
    const Crowd crowd(
            deployment.callers.callersPort(), 16,
            [](const CrowdClient &client, int) { client.send(announcedUpload("/a/large", 0)); }, receiveBuffer);
    std::this_thread::sleep_for(Seconds(3));
    deployment.checkUsage("responses not read");
    CHECK(deployment.answersOrdinaryRequest());
    deployment.checkUsage("responses not read, later");
}

// Guards against idle connections that use up the descriptors, so that ordinary callers cannot connect.
TEST_CASE("idle connections leave descriptors to ordinary callers", "[overload_process]")
{
    const OverloadDeployment deployment;
    const Crowd crowd(deployment.callers.callersPort(), 400, [](const CrowdClient &, int) {});
    settle();
    deployment.checkUsage("idle connections");
    CHECK(deployment.answersOrdinaryRequest());
    deployment.checkUsage("idle connections, later");
}

} // namespace dandeliondock::testing
