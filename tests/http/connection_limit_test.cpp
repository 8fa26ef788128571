#include "support/raw_socket.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/http/client.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

constexpr const char *headEnd = "\r\n\r\n";
constexpr const char *okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr int callers = 24;
constexpr int callsOfEach = 20;
constexpr std::uint32_t limit = 4;

SendOptions limited()
{
    SendOptions options;
    options.timeout = Milliseconds(5'000);
    options.connectionLimit = ConnectionCount(limit);
    return options;
}

/// \brief Answers every request of a connection.
void answerForever(const RawConnection &connection)
{
    while (!connection.readUntil(headEnd).empty())
        connection.write(okAnswer);
}

struct Tally
{
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> other{0};
    std::atomic<int> aboveLimit{0};
};

void callOften(HttpClient &client, const Address &address, Tally &tally)
{
    for (int i = 0; i < callsOfEach; ++i) {
        const SendResult result = client.send(address, {"GET", "/", {}, {}}, limited());
        if (result.response.ok())
            ++tally.answered;
        else if (!result.maybeSent && errorKind(result.response.status()) == ErrorKind::ConnectionLimit)
            ++tally.refused;
        else
            ++tally.other;
        if (client.connections(address) > limit)
            ++tally.aboveLimit;
    }
}

} // namespace

// Guards against one node taking the connections of a target that all its callers share.
TEST_CASE("threads never open more connections to an address than its limit", "[http]")
{
    RawListener server([](const RawConnection &connection, int) { answerForever(connection); });
    Tally tally;
    {
        HttpClient client;
        std::vector<std::thread> threads;
        for (int i = 0; i < callers; ++i)
            threads.emplace_back([&] { callOften(client, server.address(), tally); });
        for (std::thread &thread : threads)
            thread.join();
    }
    CHECK(tally.answered > 0);
    CHECK(tally.other == 0);
    CHECK(tally.answered + tally.refused == callers * callsOfEach);
    CHECK(tally.aboveLimit == 0);
    CHECK(server.connections() <= static_cast<int>(limit));
}

// Guards against places that stay taken after a call failed or was given up, which would shut the target out for good.
TEST_CASE("an abandoned connection frees its place", "[http]")
{
    RawListener server([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil(headEnd));
        static_cast<void>(connection.readUntil(headEnd));
    });
    {
        HttpClient client;
        SendOptions hurried = limited();
        hurried.timeout = Milliseconds(20);
        for (int i = 0; i < static_cast<int>(limit) * 2; ++i) {
            const SendResult result = client.send(server.address(), {"GET", "/", {}, {}}, hurried);
            CHECK(errorKind(result.response.status()) != ErrorKind::ConnectionLimit);
        }
        CHECK(client.connections(server.address()) == 0);
    }
}

// Guards against idle connections that keep a request out which may not use them.
TEST_CASE("a fresh connection takes the place of an idle one", "[http]")
{
    RawListener server([](const RawConnection &connection, int) { answerForever(connection); });
    {
        HttpClient client;
        SendOptions fresh = limited();
        fresh.forceNewConnection = true;
        fresh.connectionLimit = ConnectionCount(1);
        REQUIRE(client.send(server.address(), {"GET", "/", {}, {}}, fresh).response.ok());
        REQUIRE(client.idleConnections(server.address()) == 1);
        CHECK(client.send(server.address(), {"GET", "/", {}, {}}, fresh).response.ok());
        CHECK(client.connections(server.address()) == 1);
    }
    CHECK(server.connections() == 2);
}

} // namespace dandeliondock::testing
