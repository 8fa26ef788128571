#include "support/raw_socket.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/http/client.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

namespace dandeliondock::testing {
namespace {

constexpr const char *endOfHead = "\r\n\r\n";
constexpr const char *okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

HttpRequest order()
{
    return {"POST", "/orders", {}, "ORDER"};
}

void respondToAll(const RawConnection &connection)
{
    while (!connection.readUntil(endOfHead).empty())
        connection.write(okResponse);
}

} // namespace

// Guards against libcurl repeating a POST by itself when a reused connection closes without a response.
TEST_CASE("a request on a reused connection that closes is sent once", "[http]")
{
    std::atomic<int> orders{0};
    RawListener server([&](const RawConnection &connection, int number) {
        if (number == 0) {
            static_cast<void>(connection.readUntil(endOfHead));
            connection.write(okResponse);
        }
        if (connection.readUntil("ORDER").find("ORDER") != std::string::npos)
            ++orders;
    });
    {
        HttpClient client;
        REQUIRE(client.send(server.address(), {"GET", "/", {}, {}}, {}).response.ok());
        const SendResult result = client.send(server.address(), order(), {});
        CHECK(result.maybeSent);
        CHECK(errorKind(result.response.status()) == ErrorKind::MayHaveRun);
    }
    CHECK(orders == 1);
    CHECK(server.connections() <= 2);
}

// Guards against a failure that is passed on as a success with an empty or short body.
TEST_CASE("a response of a target that ends within its head is an error", "[http]")
{
    const std::string response = okResponse;
    const std::size_t headSize = response.find(endOfHead) + 4;
    for (std::size_t length = 0; length < headSize; ++length) {
        RawListener server([&](const RawConnection &connection, int) {
            static_cast<void>(connection.readUntil("ORDER"));
            connection.write(response.substr(0, length));
        });
        HttpClient client;
        const SendResult result = client.send(server.address(), order(), {});
        INFO("a head of " << length << " bytes");
        CHECK(result.maybeSent);
        CHECK(errorKind(result.response.status()) == ErrorKind::MayHaveRun);
    }
}

// Guards against a response with an invalid status that is passed on to the caller.
TEST_CASE("a response of a target whose status is no status of a final response is an error", "[http]")
{
    for (const std::string status : {"000", "099", "101", "600", "999", "20", "2", "2000", "20x", "-20", ""}) {
        for (const std::string body : {"", "x", "xy"}) {
            RawListener server([&](const RawConnection &connection, int) {
                static_cast<void>(connection.readUntil("ORDER"));
                connection.write("HTTP/1.1 " + status + " Wrong\r\nContent-Length: " + std::to_string(body.size())
                                 + endOfHead + body);
                static_cast<void>(connection.readAll());
            });
            HttpClient client;
            SendOptions options;
            options.timeout = Seconds(3);
            const SendResult result = client.send(server.address(), order(), options);
            INFO("status " << status << " with a body of " << body.size());
            CHECK(result.maybeSent);
            CHECK(errorKind(result.response.status()) == ErrorKind::MayHaveRun);
            CHECK(client.connections(server.address()) == 0);
        }
    }
}

// Guards against a call that fails because of a valid interim response, and one that fails because of an unusual
// status.
TEST_CASE("interim responses of a target are skipped, and each status from 200 to 599 is passed on", "[http]")
{
    for (const int status : {200, 299, 304, 499, 507, 599}) {
        RawListener server([&](const RawConnection &connection, int) {
            static_cast<void>(connection.readUntil("ORDER"));
            connection.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 "
                             + std::to_string(status) + " Any\r\nContent-Length: 0\r\n\r\n");
            static_cast<void>(connection.readAll());
        });
        HttpClient client;
        const SendResult result = client.send(server.address(), order(), {});
        INFO("status " << status);
        REQUIRE(result.response.ok());
        CHECK(result.response->status == status);
    }
}

// Guards against a response put together from two: a failure became a success by the status of an earlier response that
// a faulty target began to send again.
TEST_CASE("a response of a target whose head begins with a part of another response is not passed on", "[http]")
{
    const std::string earlier = "HTTP/1.1 200 OK\r\nServer: a b c\r\nLoad: 1,0,8\r\nContent-Length: 5\r\n\r\nfirst";
    const std::string failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed";
    const std::size_t headSize = earlier.find(endOfHead) + 4;
    for (std::size_t length = 1; length < headSize; ++length) {
        RawListener server([&](const RawConnection &connection, int) {
            static_cast<void>(connection.readUntil("ORDER"));
            connection.write(earlier.substr(0, length) + failure);
        });
        HttpClient client;
        const SendResult result = client.send(server.address(), order(), {});
        INFO("a part of " << length << " bytes");
        CHECK_FALSE(result.response.ok());
        CHECK(result.maybeSent);
    }
}

// Guards against endless bytes that are no response, and that the client keeps until its process runs out of memory.
TEST_CASE("endless bytes of a target outside the body of a response fail early", "[http]")
{
    constexpr int blockCount = 400; // bounded so that the test ends
    const std::string block(65'536, 'x');
    const std::string line = "X: " + block.substr(0, 1'000) + "\r\n";
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::pair<std::string, std::string> parts[] = {{"", block},
                                                         {"HTTP/1.1 200 ", block},
                                                         {"HTTP/1.1 200 OK\r\nX: ", block},
                                                         {"HTTP/1.1 200 OK\r\n", line},
                                                         {chunkedHead + "0\r\n", line},
                                                         {chunkedHead, std::string(65'536, '0')}};
    for (const auto &[beginning, repeated] : parts) {
        RawListener server([&](const RawConnection &connection, int) {
            static_cast<void>(connection.readUntil("ORDER"));
            connection.write(beginning);
            for (int index = 0; index < blockCount; ++index)
                connection.write(repeated);
            static_cast<void>(connection.readAll());
        });
        HttpClient client;
        INFO(beginning);
        const auto begin = std::chrono::steady_clock::now();
        const SendResult result = client.send(server.address(), order(), {});
        CHECK(std::chrono::steady_clock::now() - begin < Milliseconds(2'000));
        CHECK_FALSE(result.response.ok());
    }
}

// Guards against a refused connection being reported as a request that may have run.
TEST_CASE("a refused connection means that nothing was sent", "[http]")
{
    HttpClient client;
    const SendResult result = client.send(Address("127.0.0.1:1"), order(), {});
    CHECK_FALSE(result.maybeSent);
    CHECK(errorKind(result.response.status()) == ErrorKind::NotSent);
}

// Guards against a truncated response being passed on as a complete one (CURLE_PARTIAL_FILE).
TEST_CASE("a body shorter than its Content-Length is an error", "[http]")
{
    RawListener server([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("ORDER"));
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    });
    HttpClient client;
    const SendResult result = client.send(server.address(), order(), {});
    CHECK(result.maybeSent);
    CHECK(errorKind(result.response.status()) == ErrorKind::Truncated);
}

// Guards against a late response being passed on as the response to the next request on the same connection.
TEST_CASE("a connection whose response was not awaited is not reused", "[http]")
{
    RawListener server([](const RawConnection &connection, int number) {
        static_cast<void>(connection.readUntil("ORDER"));
        std::this_thread::sleep_for(Milliseconds(number == 0 ? 300 : 0));
        const std::string body = "answer " + std::to_string(number);
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n" + body);
        static_cast<void>(connection.readUntil(endOfHead));
    });
    HttpClient client;
    SendOptions shortTimeout;
    shortTimeout.timeout = Milliseconds(100);
    CHECK(errorKind(client.send(server.address(), order(), shortTimeout).response.status())
          == ErrorKind::DeadlineExceeded);
    CHECK(client.idleConnections(server.address()) == 0);
    std::this_thread::sleep_for(Milliseconds(300));
    const SendResult second = client.send(server.address(), order(), {});
    REQUIRE(second.response.ok());
    CHECK(second.response->body == "answer 1");
}

// Guards against a non-idempotent request on a connection that may be dead after a long idle time.
TEST_CASE("a request with maxConnectionIdle reuses only a connection with a recent response", "[http]")
{
    RawListener server([](const RawConnection &connection, int) { respondToAll(connection); });
    auto now = std::make_shared<MonotonicTime>(Seconds(100));
    TimeSource time = systemTime();
    time.monotonic = [now] { return *now; };
    HttpClient client({}, time);
    SendOptions recentOnly;
    recentOnly.maxConnectionIdle = Milliseconds(1'000);
    const HttpRequest request{"GET", "/", {}, {}};
    REQUIRE(client.send(server.address(), request, recentOnly).response.ok());
    *now += Milliseconds(900);
    REQUIRE(client.send(server.address(), request, recentOnly).response.ok());
    CHECK(server.connections() == 1);
    *now += Milliseconds(1'100);
    REQUIRE(client.send(server.address(), request, recentOnly).response.ok());
    CHECK(server.connections() == 2);
    *now += Milliseconds(31'000);
    REQUIRE(client.send(server.address(), request, {}).response.ok());
    CHECK(server.connections() == 3);
    CHECK(client.idleConnections(server.address()) == 1);
}

// Guards against a client that keeps more idle connections than a target can afford.
TEST_CASE("the number of idle connections per address is limited", "[http]")
{
    RawListener server([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil(endOfHead));
        std::this_thread::sleep_for(Milliseconds(200));
        connection.write(okResponse);
        static_cast<void>(connection.readUntil(endOfHead));
    });
    {
        PoolLimits limits;
        limits.maxIdlePerAddress = ConnectionCount(2);
        HttpClient client(limits);
        std::vector<std::thread> callers;
        for (int i = 0; i < 5; ++i)
            callers.emplace_back([&] { static_cast<void>(client.send(server.address(), {"GET", "/", {}, {}}, {})); });
        for (std::thread &caller : callers)
            caller.join();
        CHECK(server.connections() == 5);
        CHECK(client.idleConnections(server.address()) == 2);
    }
}

// Guards against decoding a path, joining header lines of the same name, and sending a request through a proxy that is
// set by environment variables.
TEST_CASE("the raw target and every header line are sent and received", "[http]")
{
    std::string received;
    RawListener server([&](const RawConnection &connection, int) {
        received = connection.readUntil(endOfHead);
        connection.write("HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Length: 0\r\n\r\n");
    });
    HttpRequest request{"GET", "/a%2Fb/../c?x=%ff&y=a b#z", {}, {}};
    request.headers.add("X-Tag", "one");
    request.headers.add("X-Tag", "two");
    HttpClient client;
    const SendResult result = client.send(server.address(), request, {});
    REQUIRE(result.response.ok());
    CHECK(received.find("GET /a%2Fb/../c?x=%ff&y=a b#z HTTP/1.1\r\n") == 0);
    CHECK(received.find("X-Tag: one\r\nX-Tag: two\r\n") != std::string::npos);
    const HttpHeader first{"Set-Cookie", "a=1"};
    const HttpHeader second{"Set-Cookie", "b=2"};
    REQUIRE(result.response->headers.lines().size() == 3);
    CHECK(result.response->headers.lines()[0] == first);
    CHECK(result.response->headers.lines()[1] == second);
}

// Guards against responses without end that are held whole.
TEST_CASE("a response that is longer than the limit is an error", "[http]")
{
    const std::string body(2'000, 'x');
    const RawListener peer([&](const RawConnection &connection, int number) {
        static_cast<void>(connection.readUntil("\r\n\r\n"));
        connection.write(number == 0 ? "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + body
                                     : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + body
                                               + "\r\n7d0\r\n" + body + "\r\n");
        static_cast<void>(connection.readAll());
    });
    HttpClient client;
    SendOptions options;
    options.responseLimit = ByteCount(1'000);
    options.forceNewConnection = true;
    options.timeout = Milliseconds(5'000);
    for (int number = 0; number < 2; ++number) {
        const SendResult result = client.send(peer.address(), {"GET", "/", {}, {}}, options);
        CHECK(result.maybeSent);
        CHECK(errorKind(result.response.status()) == ErrorKind::Truncated);
        CHECK(errorDetail(result.response.status()).find("longer than the limit") != std::string::npos);
    }
}

} // namespace dandeliondock::testing
