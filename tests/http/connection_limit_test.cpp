#include "support/raw_socket.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/http/client.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

constexpr const char *endOfHead = "\r\n\r\n";
constexpr const char *okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr int threadCount = 24;
constexpr int callsPerThread = 20;
constexpr std::uint32_t limit = 4;

SendOptions limitedOptions()
{
    SendOptions options;
    options.timeout = Milliseconds(5'000);
    options.connectionLimit = ConnectionCount(limit);
    return options;
}

/// \brief Responds to every request of a connection.
void respondToAll(const RawConnection &connection)
{
    while (!connection.readUntil(endOfHead).empty())
        connection.write(okResponse);
}

struct CallCounts
{
    std::atomic<int> succeeded{0};
    std::atomic<int> rejected{0};
    std::atomic<int> other{0};
    std::atomic<int> aboveLimit{0};
};

void callRepeatedly(HttpClient &client, const Address &address, CallCounts &counts)
{
    for (int i = 0; i < callsPerThread; ++i) {
        const SendResult result = client.send(address, {"GET", "/", {}, {}}, limitedOptions());
        if (result.response.ok())
            ++counts.succeeded;
        else if (!result.maybeSent && errorKind(result.response.status()) == ErrorKind::ConnectionLimit)
            ++counts.rejected;
        else
            ++counts.other;
        if (client.connections(address) > limit)
            ++counts.aboveLimit;
    }
}

} // namespace

// Guards against one node using up the connections of a target that all its callers share.
TEST_CASE("concurrent calls never open more connections to an address than its limit", "[http]")
{
    RawListener server([](const RawConnection &connection, int) { respondToAll(connection); });
    CallCounts counts;
    {
        HttpClient client;
        std::vector<std::thread> threads;
        for (int i = 0; i < threadCount; ++i)
            threads.emplace_back([&] { callRepeatedly(client, server.address(), counts); });
        for (std::thread &thread : threads)
            thread.join();
    }
    CHECK(counts.succeeded > 0);
    CHECK(counts.other == 0);
    CHECK(counts.succeeded + counts.rejected == threadCount * callsPerThread);
    CHECK(counts.aboveLimit == 0);
    CHECK(server.connections() <= static_cast<int>(limit));
}

// Guards against connections that stay counted as in use after a failed or abandoned call, which would make the target
// unreachable permanently.
TEST_CASE("an abandoned connection no longer counts towards the limit", "[http]")
{
    RawListener server([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil(endOfHead));
        static_cast<void>(connection.readUntil(endOfHead));
    });
    {
        HttpClient client;
        SendOptions shortTimeout = limitedOptions();
        shortTimeout.timeout = Milliseconds(20);
        for (int i = 0; i < static_cast<int>(limit) * 2; ++i) {
            const SendResult result = client.send(server.address(), {"GET", "/", {}, {}}, shortTimeout);
            CHECK(errorKind(result.response.status()) != ErrorKind::ConnectionLimit);
        }
        CHECK(client.connections(server.address()) == 0);
    }
}

// Guards against idle connections that use up the limit and so block a request that may not reuse them.
TEST_CASE("a new connection replaces an idle one at the limit", "[http]")
{
    RawListener server([](const RawConnection &connection, int) { respondToAll(connection); });
    {
        HttpClient client;
        SendOptions newConnection = limitedOptions();
        newConnection.forceNewConnection = true;
        newConnection.connectionLimit = ConnectionCount(1);
        REQUIRE(client.send(server.address(), {"GET", "/", {}, {}}, newConnection).response.ok());
        REQUIRE(client.idleConnections(server.address()) == 1);
        CHECK(client.send(server.address(), {"GET", "/", {}, {}}, newConnection).response.ok());
        CHECK(client.connections(server.address()) == 1);
    }
    CHECK(server.connections() == 2);
}

} // namespace dandeliondock::testing
