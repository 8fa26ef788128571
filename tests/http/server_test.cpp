#include "support/child_process.h"
#include "support/raw_socket.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/http/client.h>
#include <dandeliondock/http/server.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <cstring>
#include <future>
#include <thread>

namespace dandeliondock::testing {
namespace {

constexpr Milliseconds waitTimeout{5'000};

std::unique_ptr<HttpServer> startServer(StreamingHttpHandler handler, ByteCount maxBody = ByteCount(1'000))
{
    auto server =
            HttpServerBuilder().listen("127.0.0.1", 0).maxBody(maxBody).streamingHandler(std::move(handler)).start();
    REQUIRE(server.ok());
    return *std::move(server);
}

Address addressOf(const HttpServer &server)
{
    return Address(absl::StrCat("127.0.0.1:", server.port()));
}

StreamableResponse textResponse(std::string body)
{
    StreamableResponse result;
    result.response.body = std::move(body);
    return result;
}

/// \brief Streams \c blocks blocks of 1,000 bytes with a pause before each, and fails before block \c failAt.
StreamableResponse slowStream(int blocks, Milliseconds pause, int failAt = -1)
{
    StreamableResponse result;
    result.source = [=, sent = 0](char *buffer, std::size_t) mutable -> absl::StatusOr<std::size_t> {
        if (sent == failAt)
            return absl::DataLossError("broken by the test");
        if (sent++ == blocks)
            return 0;
        std::this_thread::sleep_for(pause);
        std::memset(buffer, 'a', 1'000);
        return 1'000;
    };
    return result;
}

} // namespace

// Guards against a truncated body reaching the handler: ulfius truncates a body above its limit and calls the handler
// all the same.
TEST_CASE("a body above the limit is rejected without calling the handler", "[http]")
{
    std::atomic<int> calls{0};
    const auto server = startServer([&](const HttpRequest &request, const CallerConnection &) {
        ++calls;
        return textResponse(std::to_string(request.body.size()));
    });
    HttpClient client;
    HttpRequest request{"POST", "/", {}, std::string(1'001, 'a')};
    CHECK(client.send(addressOf(*server), request, {}).response->status == 413);
    request.body = std::string(1'000, '\0');
    CHECK(client.send(addressOf(*server), request, {}).response->body == "1000");
    CHECK(calls == 1);

    const RawConnection chunked(server->port());
    chunked.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1'001, 'a')
                  + "\r\n0\r\n\r\n");
    CHECK(chunked.readUntil("\r\n\r\n").find("HTTP/1.1 413") == 0);
    CHECK(calls == 1);
}

// Guards against the body of a form being consumed by the form parser of ulfius.
TEST_CASE("a form's body reaches the handler unchanged", "[http]")
{
    const auto server = startServer(
            [](const HttpRequest &request, const CallerConnection &) { return textResponse(request.body); });
    HttpRequest request{"POST", "/", {}, "a=1&b=%20&a=2"};
    request.headers.add("Content-Type", "application/x-www-form-urlencoded");
    HttpClient client;
    CHECK(client.send(addressOf(*server), request, {}).response->body == "a=1&b=%20&a=2");
}

// Guards against lost header lines: the header maps of ulfius hold one value per name.
TEST_CASE("repeated header lines are kept in requests and responses", "[http]")
{
    const auto server = startServer([](const HttpRequest &request, const CallerConnection &) {
        StreamableResponse result;
        for (const HttpHeader &line : request.headers.lines()) {
            if (line.name == "X-Tag")
                result.response.headers.add("Set-Cookie", line.value);
        }
        return result;
    });
    HttpRequest request{"GET", "/", {}, {}};
    for (int i = 0; i < 20; ++i)
        request.headers.add("X-Tag", absl::StrCat("c", i, "=v; Path=/"));
    HttpClient client;
    const SendResult result = client.send(addressOf(*server), request, {});
    std::vector<std::string> cookies;
    for (const HttpHeader &line : result.response->headers.lines()) {
        if (line.value.find("Path=/") != std::string::npos)
            cookies.push_back(line.value);
    }
    REQUIRE(cookies.size() == 20);
    CHECK(cookies.front() == "c0=v; Path=/");
    CHECK(cookies.back() == "c19=v; Path=/");
}

// Guards against an error status that turns into 200: ulfius drops the status of a response without a body.
TEST_CASE("the status of a response without a body is sent", "[http]")
{
    const auto server = startServer([](const HttpRequest &, const CallerConnection &) {
        StreamableResponse result;
        result.response.status = 429;
        return result;
    });
    HttpClient client;
    CHECK(client.send(addressOf(*server), {"GET", "/", {}, {}}, {}).response->status == 429);
}

// Guards against a path or query that is decoded or normalised.
TEST_CASE("the handler receives the raw target", "[http]")
{
    const auto server = startServer(
            [](const HttpRequest &request, const CallerConnection &) { return textResponse(request.target); });
    HttpClient client;
    for (const char *target : {"/a%2Fb?x=%ff", "//a/../b", "/%00%zz", "/?", "/a?b=c&b=d&=&e", "/+%20"}) {
        CAPTURE(target);
        CHECK(client.send(addressOf(*server), {"GET", target, {}, {}}, {}).response->body == target);
    }
}

// Guards against a failed stream that looks complete to the receiver.
TEST_CASE("a streamed body that fails is reported as truncated", "[http]")
{
    const auto server = startServer([](const HttpRequest &request, const CallerConnection &) {
        StreamableResponse result = slowStream(5, Milliseconds(0), request.target == "/whole" ? -1 : 3);
        if (request.target != "/chunked")
            result.length = ByteCount(5'000);
        return result;
    });
    HttpClient client;
    CHECK(client.send(addressOf(*server), {"GET", "/whole", {}, {}}, {}).response->body.size() == 5'000);
    for (const char *target : {"/sized", "/chunked"}) {
        CAPTURE(target);
        const SendResult result = client.send(addressOf(*server), {"GET", target, {}, {}}, {});
        CHECK(errorKind(result.response.status()) == ErrorKind::Truncated);
    }
}

// Guards against a planned stop that cuts off a download: the handler returns long before the response was sent.
TEST_CASE("a stop waits for streamed responses", "[http]")
{
    const auto server =
            startServer([](const HttpRequest &, const CallerConnection &) { return slowStream(20, Milliseconds(20)); });
    HttpClient client;
    auto download = std::async(std::launch::async, [&] {
        return client.send(addressOf(*server), {"GET", "/", {}, {}}, {});
    });
    REQUIRE(eventually([&] { return server->activeRequests() == 1; }, waitTimeout));
    server->startDraining();
    CHECK_FALSE(server->waitForRequests(Milliseconds(20)));
    CHECK(server->waitForRequests(waitTimeout));
    server->stop();
    const SendResult result = download.get();
    REQUIRE(result.response.ok());
    CHECK(result.response->body.size() == 20'000);
    CHECK(errorKind(client.send(addressOf(*server), {"GET", "/", {}, {}}, {}).response.status()) == ErrorKind::NotSent);
}

// Guards against callers that keep using a connection to a server that is about to stop.
TEST_CASE("a draining server responds on open connections and closes them", "[http]")
{
    const auto server = startServer([](const HttpRequest &, const CallerConnection &) { return textResponse("ok"); });
    const RawConnection connection(server->port());
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    connection.write(request);
    CHECK(connection.readUntil("ok").find("Connection: close") == std::string::npos);
    server->startDraining();
    connection.write(request);
    const std::string last = connection.readAll();
    CHECK(last.find("Connection: close") != std::string::npos);
    CHECK(last.find("ok") != std::string::npos);
}

// Guards against a count of active requests that never returns to zero after a caller has disconnected.
TEST_CASE("incomplete and malformed requests do not stay counted as active", "[http]")
{
    const auto server = startServer([](const HttpRequest &, const CallerConnection &) { return textResponse("ok"); });
    for (const char *bytes : {"GET / HTT", "GET / HTTP/1.1\r\nHost: a\r\n", "nonsense\r\n\r\n",
                              "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf"}) {
        const RawConnection connection(server->port());
        connection.write(bytes);
        std::this_thread::sleep_for(Milliseconds(50));
    }
    CHECK(server->waitForRequests(waitTimeout));
}

// Guards against hop-by-hop headers that are forwarded to the next hop.
TEST_CASE("hop-by-hop headers are removed", "[http]")
{
    HttpHeaders headers;
    for (const char *name : {"Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade", "Expect",
                             "Proxy-Authorization", "proxy-connection"})
        headers.add(name, "x");
    headers.add("connection", "close, X-Private");
    headers.add("x-private", "1");
    headers.add("X-Kept", "1");
    removeHopByHopHeaders(headers);
    REQUIRE(headers.lines().size() == 1);
    CHECK(headers.lines().front().name == "X-Kept");
}

} // namespace dandeliondock::testing
