#include "support/crowd.h"
#include "support/overload_node.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

// Clients that nobody controls, against a real node with lowered limits. Each test checks that the process lives within
// the memory and the descriptors of its settings, and that each listener answers an ordinary request while the
// connections of the clients are still open. Nothing is checked about times or about which of the clients are served.

namespace dandeliondock::testing {
namespace {

constexpr std::size_t mebibyte = 1'048'576;
constexpr std::size_t largePiece = 262'144;
constexpr std::size_t smallPiece = 8'192;
constexpr int idleClients = 100;

// A listener, with the size of a legal body and a number of clients whose bodies exceed the memory of the process.
struct Listener
{
    std::uint16_t (OverloadNode::*port)() const;
    const char *name;
    const char *path;
    std::size_t bodyBytes;
    int clients;
    // Status line of the response to a complete body of x. A poll of them has unknown fields only, no deployment.
    const char *statusOfFiller;
};

constexpr std::array<Listener, 3> listeners = {
        {{&OverloadNode::callersPort, "callers", "/orders/1", OverloadNode::maxBodyBytes, 24, "HTTP/1.1 200"},
         {&OverloadNode::nodesPort, "nodes", "/control/poll", 8 * mebibyte, 12, "HTTP/1.1 200"},
         {&OverloadNode::operatorsPort, "operators", "/tickets", mebibyte, 96, "HTTP/1.1 400"}}};

// Time for the node to take what the system's socket buffers still hold.
void settle()
{
    std::this_thread::sleep_for(Milliseconds(500));
}

std::string head(const Listener &listener, const std::string &headerLines)
{
    return absl::StrCat("POST ", listener.path, " HTTP/1.1\r\nHost: h\r\nX-Operator-Key: test-key\r\n", headerLines,
                        "\r\n");
}

std::string announced(const Listener &listener, std::size_t length)
{
    return head(listener, absl::StrCat("Content-Length: ", length, "\r\n"));
}

std::string chunked(const Listener &listener)
{
    return head(listener, "Transfer-Encoding: chunked\r\n");
}

Crowd::Script stalledBodies(const Listener &listener, std::size_t pieceSize)
{
    return [&listener, pieceSize](const CrowdClient &client, int number) {
        const std::size_t missing = number % 4 == 0 ? 0 : 1;
        if (client.send(announced(listener, listener.bodyBytes)))
            client.sendFiller(listener.bodyBytes - missing, pieceSize);
    };
}

void checkAfterwards(const OverloadNode &node, const std::string &title)
{
    settle();
    node.checkUsage(title);
    CHECK(node.answersOrdinaryRequests());
    node.checkUsage(title + ", later");
}

// Runs the script on each listener with a node of its own.
void runOnEachListener(const std::string &title,
                       const std::function<std::unique_ptr<Crowd>(const OverloadNode &, const Listener &)> &open)
{
    for (const Listener &listener : listeners) {
        INFO(listener.name);
        const OverloadNode node;
        const std::unique_ptr<Crowd> crowd = open(node, listener);
        checkAfterwards(node, absl::StrCat(title, ", ", listener.name));
    }
}

std::uint16_t portOf(const OverloadNode &node, const Listener &listener)
{
    return (node.*listener.port)();
}

} // namespace

// Guards against limits that refuse or cut off a single legal body.
TEST_CASE("a node serves a single large body on each listener", "[overload_process]")
{
    for (const Listener &listener : listeners) {
        INFO(listener.name);
        const OverloadNode node;
        for (const bool isChunked : {false, true}) {
            const CrowdClient client(portOf(node, listener));
            CHECK(client.send(isChunked ? chunked(listener) : announced(listener, listener.bodyBytes)));
            CHECK((isChunked ? client.sendChunks(listener.bodyBytes, largePiece) && client.send("0\r\n\r\n")
                             : client.sendFiller(listener.bodyBytes, largePiece)));
            CHECK(client.send("GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
            CHECK(absl::StartsWith(client.readAll(), listener.statusOfFiller));
        }
        checkAfterwards(node, absl::StrCat("single body, ", listener.name));
    }
}

// Guards against bodies in progress that are held without a bound for all connections together.
TEST_CASE("a node's memory is bounded with large bodies that stop short of their end", "[overload_process]")
{
    runOnEachListener("stalled bodies", [](const OverloadNode &node, const Listener &listener) {
        return std::make_unique<Crowd>(portOf(node, listener), listener.clients, stalledBodies(listener, largePiece));
    });
}

// Guards against bodies in progress whose bytes arrive in small pieces.
TEST_CASE("a node's memory is bounded with large bodies in pieces", "[overload_process]")
{
    runOnEachListener("bodies in pieces", [](const OverloadNode &node, const Listener &listener) {
        return std::make_unique<Crowd>(portOf(node, listener), listener.clients, stalledBodies(listener, smallPiece));
    });
}

// Guards against chunked bodies in progress that are held without a bound.
TEST_CASE("a node's memory is bounded with bodies in large chunks", "[overload_process]")
{
    runOnEachListener("large chunks", [](const OverloadNode &node, const Listener &listener) {
        return std::make_unique<Crowd>(portOf(node, listener), listener.clients,
                                       [&listener](const CrowdClient &client, int number) {
                                           if (client.send(chunked(listener))
                                               && client.sendChunks(listener.bodyBytes, largePiece) && number % 4 == 0)
                                               client.send("0\r\n\r\n");
                                       });
    });
}

// Guards against chunks whose handling takes memory out of proportion to their size.
TEST_CASE("a node's memory is bounded with bodies in very small chunks", "[overload_process]")
{
    runOnEachListener("very small chunks", [](const OverloadNode &node, const Listener &listener) {
        return std::make_unique<Crowd>(portOf(node, listener), 48, [&listener](const CrowdClient &client, int number) {
            if (client.send(chunked(listener)) && client.sendChunks(mebibyte, 1) && number % 4 == 0)
                client.send("0\r\n\r\n");
        });
    });
}

// Guards against trailers that are held until their end.
TEST_CASE("a node's memory is bounded with trailers without end", "[overload_process]")
{
    runOnEachListener("trailers", [](const OverloadNode &node, const Listener &listener) {
        return std::make_unique<Crowd>(portOf(node, listener), 24, [&listener](const CrowdClient &client, int number) {
            if (!client.send(chunked(listener) + "1\r\nx\r\n0\r\n"))
                return;
            const std::string line = "X-Trailer: " + std::string(1'000, 'x') + "\r\n";
            const std::string part = number % 2 == 0 ? line : std::string(line.size(), 'x'); // lines, or one long line
            for (std::size_t sent = 0; sent < 8 * mebibyte && client.send(part); sent += part.size()) {
            }
        });
    });
}

// Guards against heads that are held until their end.
TEST_CASE("a node's memory is bounded with heads without end", "[overload_process]")
{
    runOnEachListener("heads", [](const OverloadNode &node, const Listener &listener) {
        return std::make_unique<Crowd>(portOf(node, listener), 24, [&listener](const CrowdClient &client, int) {
            const std::string line = "X-Line: " + std::string(1'000, 'x') + "\r\n";
            if (!client.send(absl::StrCat("POST ", listener.path, " HTTP/1.1\r\nHost: h\r\n")))
                return;
            for (std::size_t sent = 0; sent < 8 * mebibyte && client.send(line); sent += line.size()) {
            }
        });
    });
}

// Guards against reading a body that was announced to be over the limit.
TEST_CASE("a node's memory is bounded with bodies announced over the limit", "[overload_process]")
{
    runOnEachListener("announced over the limit", [](const OverloadNode &node, const Listener &listener) {
        return std::make_unique<Crowd>(portOf(node, listener), 12, [&listener](const CrowdClient &client, int) {
            if (client.send(announced(listener, 1'024 * mebibyte)))
                client.sendFiller(32 * mebibyte, largePiece);
        });
    });
}

// Guards against bodies over the limit that are held until the limit is reached, on all connections at once.
TEST_CASE("a node's memory is bounded with bodies sent over the limit", "[overload_process]")
{
    runOnEachListener("sent over the limit", [](const OverloadNode &node, const Listener &listener) {
        return std::make_unique<Crowd>(portOf(node, listener), 12, [&listener](const CrowdClient &client, int) {
            if (client.send(chunked(listener)))
                client.sendChunks(32 * mebibyte, largePiece);
        });
    });
}

// Guards against complete requests, their copies for attempts and their responses that are held without a bound.
TEST_CASE("a node's memory is bounded with complete bodies whose target is slow", "[overload_process]")
{
    const Listener &listener = listeners.front();
    const OverloadNode node({R"(--behaviour={"workMs": 1500})"});
    const Crowd crowd(node.callersPort(), listener.clients, [&listener](const CrowdClient &client, int) {
        if (client.send(announced(listener, listener.bodyBytes)))
            client.sendFiller(listener.bodyBytes, largePiece);
    });
    checkAfterwards(node, "complete bodies");
}

// Guards against responses that are held for clients that do not read them.
TEST_CASE("a node's memory is bounded with large responses that are not read", "[overload_process]")
{
    constexpr int receiveBuffer = 16'384;
    const OverloadNode node({R"(--behaviour={"bodyBytes": "8388608"})"});
    const Crowd crowd(
            node.callersPort(), idleClients,
            [](const CrowdClient &client, int) { client.send("GET /orders/1 HTTP/1.1\r\nHost: h\r\n\r\n"); },
            receiveBuffer);
    std::this_thread::sleep_for(Seconds(3));
    checkAfterwards(node, "responses not read");
}

// Guards against idle connections that use up the descriptors, so that ordinary clients cannot connect.
TEST_CASE("idle connections leave descriptors of a node to ordinary clients", "[overload_process]")
{
    const OverloadNode node;
    std::vector<std::unique_ptr<Crowd>> crowds;
    for (const Listener &listener : listeners)
        crowds.push_back(std::make_unique<Crowd>(portOf(node, listener), idleClients, [](const CrowdClient &, int) {}));
    checkAfterwards(node, "idle connections");
}

// Guards against bounds of each listener that do not bound their sum.
TEST_CASE("a node's memory is bounded with crowds on all listeners at once", "[overload_process]")
{
    const OverloadNode node;
    std::vector<std::future<std::unique_ptr<Crowd>>> crowds;
    for (const Listener &listener : listeners) {
        crowds.push_back(std::async(std::launch::async, [&node, &listener] {
            return std::make_unique<Crowd>(portOf(node, listener), listener.clients,
                                           stalledBodies(listener, largePiece));
        }));
    }
    for (const auto &crowd : crowds)
        crowd.wait();
    checkAfterwards(node, "all listeners");
}

} // namespace dandeliondock::testing
