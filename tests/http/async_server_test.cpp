#include "support/child_process.h"
#include "support/loop_thread.h"
#include "support/raw_socket.h"

#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/link_pacer.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

const std::string endOfHead = "\r\n\r\n";

/// A server on its own event loop.
class TestServer
{
public:
    explicit TestServer(std::function<void(const HttpRequestContextPtr &)> handler, ConnectionLimits limits = {})
    {
        m_thread.run([&] {
            m_server = std::make_unique<AsyncHttpServer>(m_thread.loop(), std::move(handler));
            m_server->setLimits(limits);
            REQUIRE(m_server->listen(Address("127.0.0.1:" + std::to_string(m_port))).ok());
        });
    }

    ~TestServer()
    {
        if (m_server)
            m_thread.run([this] { m_server.reset(); });
    }

    /// Destroys the server and stops its loop; returns the number of handlers that ran.
    std::size_t stop()
    {
        m_thread.run([this] { m_server.reset(); });
        return m_thread.stop();
    }

    LoopThread &thread() { return m_thread; }
    AsyncHttpServer &httpServer() { return *m_server; }
    [[nodiscard]] std::uint16_t port() const { return m_port; }

private:
    const std::uint16_t m_port = freePort();
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpServer> m_server;
};

void respondWithEcho(const HttpRequestContextPtr &request)
{
    HttpResponse response;
    response.body = request->request().target + " " + request->request().body.text();
    request->respond(std::move(response));
}

} // namespace

// Guards against request smuggling, that is a request hidden in the body of another one.
TEST_CASE("a request with conflicting body lengths is not passed to the handler", "[http]")
{
    std::atomic<int> handled{0};
    TestServer server([&handled](const HttpRequestContextPtr &request) {
        ++handled;
        respondWithEcho(request);
    });
    for (const char *head :
         {"Content-Length: 4\r\nContent-Length: 40\r\n", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"}) {
        RawConnection connection(server.port());
        connection.write(std::string("POST /a HTTP/1.1\r\nHost: h\r\n") + head
                         + "\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
        CHECK_THAT(connection.readAll(), Catch::Contains("400 Bad Request"));
    }
    CHECK(handled == 0);
}

// Guards against a truncated order: a body above the limit must not be passed to the handler, whether or not it has a
// Content-Length.
TEST_CASE("a body or a head above its limit is rejected", "[http]")
{
    std::atomic<int> handled{0};
    ConnectionLimits limits;
    limits.maxBodyBytes = ByteCount(10);
    limits.maxHeaderBytes = ByteCount(200);
    TestServer server([&handled](const HttpRequestContextPtr &) { ++handled; }, limits);
    RawConnection withLength(server.port());
    withLength.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n01234567890");
    CHECK_THAT(withLength.readAll(), Catch::Contains("413 "));
    RawConnection chunked(server.port());
    chunked.write("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n");
    CHECK_THAT(chunked.readAll(), Catch::Contains("413 "));
    RawConnection head(server.port());
    head.write("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
    CHECK_THAT(head.readAll(), Catch::Contains("431 "));
    CHECK(handled == 0);
}

// Guards against rejections of the server itself that no metric shows, or whose cause and place on the connection are
// unknown.
TEST_CASE("the hook for rejections gets the status, the error and the number of earlier requests", "[http]")
{
    ConnectionLimits limits;
    limits.maxBodyBytes = ByteCount(10);
    limits.maxHeaderBytes = ByteCount(200);
    TestServer server(respondWithEcho, limits);
    std::vector<RequestRejection> rejections; // used on the loop's thread only
    server.thread().run([&] {
        server.httpServer().onRejected([&](const RequestRejection &rejection) { rejections.push_back(rejection); });
    });
    const std::string proper = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto rejectionOf = [&](int earlierRequests, const std::string &request) {
        RawConnection connection(server.port());
        for (int earlier = 0; earlier < earlierRequests; ++earlier) {
            connection.write(proper);
            CHECK_THAT(connection.readUntil("/a "), Catch::Contains("200 OK"));
        }
        connection.write(request);
        const std::string response = connection.readAll();
        RequestRejection last;
        server.thread().run([&] {
            REQUIRE(!rejections.empty());
            last = rejections.back();
        });
        CHECK_THAT(response, Catch::StartsWith("HTTP/1.1 " + std::to_string(last.status)));
        CHECK(last.earlierRequests == static_cast<std::uint64_t>(earlierRequests));
        return last;
    };
    const auto malformed = rejectionOf(2, "GET /secret path HTTP/1.1\r\n\r\n");
    CHECK(malformed.status == 400);
    CHECK_THAT(malformed.error, Catch::Contains("version") && !Catch::Contains("secret"));
    const auto longHead = rejectionOf(0, "GET /a HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
    CHECK(longHead.status == 431);
    CHECK_THAT(longHead.error, Catch::Contains("header"));
    const auto longBody = rejectionOf(1, "POST /a HTTP/1.1\r\nContent-Length: 11\r\n\r\n01234567890");
    CHECK(longBody.status == 413);
    CHECK_THAT(longBody.error, Catch::Contains("body"));
    server.thread().run([&] { CHECK(rejections.size() == 3); });
}

// Guards against a head within its limit that is refused or never read, whatever its length and the pieces in which it
// arrives.
TEST_CASE("a head is accepted up to its limit", "[http]")
{
    for (const std::size_t limit : {200U, 16'384U, 65'536U, 100'000U, 300'000U}) {
        ConnectionLimits limits;
        limits.maxHeaderBytes = ByteCount(limit);
        TestServer server(respondWithEcho, limits);
        std::string head = "GET /a HTTP/1.1\r\nHost: h\r\n";
        while (head.size() + 8'000 < limit)
            head += "Y: " + std::string(4'000, 'y') + "\r\n";
        head += "X: " + std::string(limit - head.size() - endOfHead.size() - 3, 'x') + endOfHead;
        REQUIRE(head.size() == limit);
        for (const std::size_t cut : {limit, std::size_t{1}, limit / 2, limit - 3, limit - 1}) {
            INFO("limit " << limit << ", first piece " << cut);
            const RawConnection connection(server.port());
            connection.write(head.substr(0, cut));
            if (cut < limit)
                std::this_thread::sleep_for(Milliseconds(20));
            connection.write(head.substr(cut));
            CHECK_THAT(connection.readUntil("/a "), Catch::Contains("200 OK"));
        }
    }
}

// Guards against a connection that keeps the limits which were in force when its last request ended.
TEST_CASE("limits that change apply to the next request of an idle connection", "[http]")
{
    TestServer server(respondWithEcho);
    const auto setLimits = [&server](std::uint64_t body, std::uint64_t head) {
        ConnectionLimits limits;
        limits.maxBodyBytes = ByteCount(body);
        limits.maxHeaderBytes = ByteCount(head);
        server.thread().run([&] { server.httpServer().setLimits(limits); });
    };
    const std::string post = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n01234567890";
    const std::string longHead = "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n";
    setLimits(10, 200);
    RawConnection raised(server.port());
    RawConnection withHead(server.port());
    RawConnection lowered(server.port());
    for (RawConnection *connection : {&raised, &withHead, &lowered}) {
        connection->write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK_THAT(connection->readUntil("/a "), Catch::Contains("200 OK"));
    }
    setLimits(11, 400);
    raised.write(post);
    CHECK_THAT(raised.readUntil("01234567890"), Catch::Contains("200 OK"));
    withHead.write(longHead);
    CHECK_THAT(withHead.readUntil("/a "), Catch::Contains("200 OK"));
    setLimits(10, 200);
    lowered.write(post);
    CHECK_THAT(lowered.readAll(), Catch::Contains("413 "));
}

// Guards against requests that are refused under a limit that did not hold when they arrived, because they waited
// behind another one, and against a limit that never holds for a connection with pipelined requests.
TEST_CASE("a lowered limit applies to the requests that arrive after it", "[http]")
{
    std::vector<HttpRequestContextPtr> held; // used on the loop's thread only
    TestServer server([&held](const HttpRequestContextPtr &request) {
        if (request->request().target == "/hold")
            held.push_back(request);
        else
            respondWithEcho(request);
    });
    const auto setLimits = [&server](std::uint64_t body, std::uint64_t head) {
        ConnectionLimits limits;
        limits.maxBodyBytes = ByteCount(body);
        limits.maxHeaderBytes = ByteCount(head);
        server.thread().run([&] { server.httpServer().setLimits(limits); });
    };
    const std::string hold = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string longBody =
            "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + std::string(2'000, 'b');
    const std::string longHead = "GET /c HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n";
    for (const std::string &late : {longBody, longHead}) {
        setLimits(2'000, 1'000);
        const RawConnection connection(server.port());
        connection.write(hold + get + longBody + longHead + longBody + longHead);
        std::this_thread::sleep_for(Milliseconds(100)); // all bytes have arrived
        setLimits(10, 200);
        connection.write(late);
        std::this_thread::sleep_for(Milliseconds(100));
        server.thread().run([&held] {
            REQUIRE(held.size() == 1);
            respondWithEcho(held.front());
            held.clear();
        });
        const std::string received = connection.readAll();
        std::size_t accepted = 0;
        for (std::size_t found = received.find("200 OK"); found != std::string::npos;
             found = received.find("200 OK", found + 1))
            ++accepted;
        CHECK(accepted == 6);
    }
}

// Guards against callers whose bytes are kept without a limit because their request never becomes complete.
TEST_CASE("endless lines of a chunked body are rejected early", "[http]")
{
    TestServer server(respondWithEcho);
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &beginning : {std::string("5;"), std::string("0\r\nX: ")}) {
        RawConnection connection(server.port());
        connection.write(head + beginning);
        for (int block = 0; block < 8; ++block)
            connection.write(std::string(65'536, 'x'));
        CHECK_THAT(connection.readUntil("\r\n\r\n"), Catch::Contains("413"));
    }
}

// Guards against responses that are sent out of order on a connection.
TEST_CASE("pipelined requests get responses in order, and chunked bodies are complete", "[http]")
{
    TestServer server(respondWithEcho);
    RawConnection connection(server.port());
    connection.write("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                     "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const std::string received = connection.readAll();
    const std::size_t first = received.find("/1 abcde");
    const std::size_t second = received.find("/2 ");
    REQUIRE(first != std::string::npos);
    REQUIRE(second != std::string::npos);
    CHECK(first < second);
}

// Guards against work that continues after the caller has disconnected.
TEST_CASE("a peer that disconnects before the response cancels its request", "[http]")
{
    std::promise<void> arrived;
    std::promise<void> cancelled;
    HttpRequestContextPtr pending;
    TestServer server([&](const HttpRequestContextPtr &request) {
        pending = request;
        request->onCancelled([&cancelled] { cancelled.set_value(); });
        arrived.set_value();
    });
    {
        RawConnection connection(server.port());
        connection.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        arrived.get_future().wait();
    }
    CHECK(cancelled.get_future().wait_for(Seconds(3)) == std::future_status::ready);
    server.thread().run([&] { pending.reset(); });
}

// Guards against a planned stop that cuts off a request in progress or accepts a new one.
TEST_CASE("a draining server responds to requests in progress with Connection: close and closes idle connections",
          "[http]")
{
    std::promise<HttpRequestContextPtr> arrived;
    TestServer server([&arrived](const HttpRequestContextPtr &request) { arrived.set_value(request); });
    RawConnection idle(server.port());
    RawConnection busy(server.port());
    busy.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    HttpRequestContextPtr request = arrived.get_future().get();
    server.thread().run([&] {
        server.httpServer().setDraining();
        server.httpServer().stopAccepting();
    });
    CHECK(idle.readAll().empty());
    server.thread().run([&] {
        CHECK(server.httpServer().activeRequests() == 1);
        respondWithEcho(request);
        request.reset();
    });
    const std::string received = busy.readAll();
    CHECK_THAT(received, Catch::Contains("200 OK"));
    CHECK_THAT(received, Catch::Contains("Connection: close"));
}

// Guards against callers that wait for the status 100 before they send a body.
TEST_CASE("a request with Expect: 100-continue gets the status 100", "[http]")
{
    TestServer server(respondWithEcho);
    RawConnection connection(server.port());
    connection.write("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK_THAT(connection.readUntil(endOfHead), Catch::Contains("100 Continue"));
    connection.write("ok");
    CHECK_THAT(connection.readUntil("/a ok"), Catch::Contains("200 OK"));
}

// Guards against an interim response that is written into the body of the response to an earlier, pipelined request.
TEST_CASE("a status 100 is not written within the response to an earlier request", "[http]")
{
    constexpr std::size_t bodySize = 8'000'000; // more than the sockets' buffers take at once
    TestServer server([](const HttpRequestContextPtr &request) {
        HttpResponse response;
        response.body = std::string(request->request().method == "GET" ? bodySize : 1, 'x');
        request->respond(std::move(response));
    });
    RawConnection connection(server.port());
    connection.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(Milliseconds(100));
    connection.write("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n"
                     "Connection: close\r\n\r\n");
    std::this_thread::sleep_for(Milliseconds(100));
    connection.write("y");
    const std::string received = connection.readAll();
    const std::size_t body = received.find(endOfHead) + endOfHead.size();
    REQUIRE(received.size() > body + bodySize);
    CHECK(received.substr(body, bodySize) == std::string(bodySize, 'x'));
    CHECK_THAT(received.substr(body + bodySize), Catch::StartsWith("HTTP/1.1 200"));
}

// Guards against a long body being read 512 bytes at a time, each with a system call and a wake-up.
TEST_CASE("a long request is read in large blocks", "[http]")
{
    constexpr std::size_t bodySize = 1'000'000;
    constexpr std::size_t minBlockSize = 4'096;
    TestServer server([](const HttpRequestContextPtr &request) {
        HttpResponse response;
        response.body = std::to_string(request->request().body.size());
        request->respond(std::move(response));
    });
    RawConnection connection(server.port());
    connection.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodySize) + endOfHead
                     + std::string(bodySize, 'x'));
    CHECK_THAT(connection.readUntil(std::to_string(bodySize)), Catch::Contains("200 OK"));
    CHECK(server.stop() < bodySize / minBlockSize);
}

// Guards against a download that a planned stop cuts off: a response that ends its connection was cut 2 s after its
// request, in the middle of the body, when its caller reads slowly.
TEST_CASE("a long response to a slow reader is written completely, also when it ends its connection", "[http]")
{
    constexpr std::size_t bodySize = 24'000'000; // more than the socket buffers of both sides hold
    TestServer server([](const HttpRequestContextPtr &request) {
        HttpResponse response;
        response.body = std::string(bodySize, 'x');
        request->respond(std::move(response));
    });
    RawConnection connection(server.port());
    connection.write("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const std::string head = connection.readUntil(endOfHead);
    std::this_thread::sleep_for(Milliseconds(3'200));
    std::size_t unwritten = 0;
    server.thread().run([&] { unwritten = server.httpServer().unwrittenResponses(); });
    CHECK(unwritten == 1);
    CHECK((head + connection.readAll()).size() > bodySize);
    server.thread().run([&] { unwritten = server.httpServer().unwrittenResponses(); });
    CHECK(unwritten == 0);
}

// Guards against a request that is dropped because its first bytes arrive on a connection that was idle before.
TEST_CASE("the time for reading a request begins with its first byte", "[http]")
{
    ConnectionLimits limits;
    limits.requestReadTimeout = Milliseconds(1'500);
    TestServer server(respondWithEcho, limits);
    RawConnection connection(server.port());
    std::this_thread::sleep_for(Milliseconds(2'000));
    connection.write("GET /a HTTP/1.1\r\nHo");
    std::this_thread::sleep_for(Milliseconds(700)); // at least one check of the timeouts
    connection.write("st: h\r\nConnection: close\r\n\r\n");
    CHECK_THAT(connection.readAll(), Catch::Contains("200 OK"));
    RawConnection stalled(server.port());
    stalled.write("GET /a HTTP/1.1\r\nHo");
    const auto begin = std::chrono::steady_clock::now();
    CHECK(stalled.readAll().empty());
    CHECK(std::chrono::steady_clock::now() - begin < Milliseconds(3'500));
}

// Guards against a planned stop under load that resets connections which the system has accepted already.
TEST_CASE("a server that stops accepting serves the connections that wait to be accepted", "[http]")
{
    TestServer server(respondWithEcho);
    std::vector<std::unique_ptr<RawConnection>> waiting;
    server.thread().run([&] {
        for (int index = 0; index < 20; ++index) {
            waiting.push_back(std::make_unique<RawConnection>(server.port()));
            waiting.back()->write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        server.httpServer().setDraining();
        server.httpServer().stopAccepting();
    });
    for (const auto &connection : waiting)
        CHECK_THAT(connection->readAll(), Catch::Contains("200 OK"));
}

// Guards against short responses that wait behind downloads on the instance's link.
TEST_CASE("long responses are written as grants allow, short and urgent ones at once", "[http]")
{
    constexpr std::size_t longSize = 500'000;
    constexpr DataRate rate{1'000'000};
    constexpr Milliseconds transferTime{500};
    std::unique_ptr<LinkPacer> pacer;
    TestServer server([](const HttpRequestContextPtr &request) {
        HttpResponse response;
        response.body = std::string(request->request().target == "/short" ? 100 : longSize, 'x');
        response.isUrgent = request->request().target == "/urgent";
        request->respond(std::move(response));
    });
    server.thread().run([&] {
        pacer = std::make_unique<LinkPacer>(server.thread().loop(), rate);
        server.httpServer().setTransferHooks(pacer->hooks());
    });
    const auto get = [&server](const std::string &target) {
        const auto begin = std::chrono::steady_clock::now();
        RawConnection connection(server.port());
        connection.write("GET " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        CHECK(connection.readAll().size() > (target == "/short" ? 100 : longSize));
        return std::chrono::steady_clock::now() - begin;
    };
    CHECK(get("/urgent") < transferTime / 2);
    std::this_thread::sleep_for(transferTime); // until the link has carried the urgent response
    auto first = std::async(std::launch::async, get, "/long");
    auto second = std::async(std::launch::async, get, "/long");
    {
        RawConnection abandoned(server.port());
        abandoned.write("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    CHECK(get("/short") < transferTime / 2);
    const auto slowest = std::max(first.get(), second.get());
    CHECK(slowest > transferTime * 2 - Milliseconds(100));
    CHECK(slowest < transferTime * 3);
    server.thread().run([&] { CHECK(pacer->schedule().backlog(EventLoop::now()) < Milliseconds(100)); });
    server.stop();
}

// Guards against one request that ends the process, or that stays open without a response.
TEST_CASE("a request whose handler throws is cut off, and others are served", "[http]")
{
    TestServer server([](const HttpRequestContextPtr &request) {
        if (request->request().target == "/bad")
            throw std::runtime_error("cannot handle this");
        respondWithEcho(request);
    });
    RawConnection bad(server.port());
    bad.write("GET /bad HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(bad.readAll().empty());
    RawConnection good(server.port());
    good.write("GET /good HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK_THAT(good.readAll(), Catch::Contains("200 OK"));
    server.thread().run([&] { CHECK(server.httpServer().activeRequests() == 0); });
}

// Guards against a status that no client accepts, written because a handler passed on what it was given.
TEST_CASE("a response with an invalid status is written as 502 without its headers and body", "[http]")
{
    for (const int status : {-1, 0, 99, 100, 101, 199, 600, 999, 2'000}) {
        TestServer server([status](const HttpRequestContextPtr &request) {
            HttpResponse response;
            response.status = status;
            response.headers.add("X-Secret", "value");
            response.body = "body";
            request->respond(std::move(response));
        });
        RawConnection connection(server.port());
        connection.write("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const std::string received = connection.readAll();
        INFO("status " << status);
        CHECK_THAT(received, Catch::StartsWith("HTTP/1.1 502 Bad Gateway\r\n"));
        CHECK_THAT(received, Catch::Contains("Content-Length: 0\r\n"));
        CHECK_THAT(received, !Catch::Contains("X-Secret"));
    }
}

// Guards against clients that make a process use more memory than it has: what all connections hold is bounded, and a
// request that was refused was not passed on.
TEST_CASE("a stalled body is refused when all connections hold too much, and others are served", "[http]")
{
    constexpr std::size_t bodySize = 600'000;
    std::atomic<int> handled{0};
    TestServer server([&handled](const HttpRequestContextPtr &request) {
        ++handled;
        respondWithEcho(request);
    });
    std::atomic<int> shed{0};
    server.thread().run([&] {
        HttpHeaders headers;
        headers.add("X-Refused", "1");
        const auto account = std::make_shared<ReceiveAccount>(server.thread().loop(),
                                                              ReceiveLimits{ByteCount(1'000'000), ConnectionCount(100)},
                                                              [&shed](const ShedHolder &) { ++shed; });
        server.httpServer().setReceiveAccount(account, headers);
    });
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
                             + std::to_string(bodySize) + endOfHead;
    RawConnection stalled(server.port());
    stalled.write(head + std::string(bodySize - 1, 'x'));
    std::this_thread::sleep_for(Milliseconds(700));
    RawConnection complete(server.port());
    complete.write(head + std::string(bodySize, 'x'));
    CHECK_THAT(complete.readAll(), Catch::StartsWith("HTTP/1.1 200"));
    const std::string refusal = stalled.readAll();
    CHECK_THAT(refusal, Catch::StartsWith("HTTP/1.1 503"));
    CHECK_THAT(refusal, Catch::Contains("Retry-After: ") && Catch::Contains("X-Refused: 1"));
    CHECK_THAT(refusal, Catch::Contains("Connection: close"));
    CHECK(shed == 1);
    CHECK(handled == 1);
}

// Guards against memory that stays accounted for after its request, so that ever fewer requests are admitted.
TEST_CASE("the account is empty when all requests and connections have ended", "[http]")
{
    std::shared_ptr<ReceiveAccount> account;
    TestServer server(respondWithEcho);
    server.thread().run([&] {
        account = std::make_shared<ReceiveAccount>(server.thread().loop(),
                                                   ReceiveLimits{ByteCount(1'000'000), ConnectionCount(100)},
                                                   [](const ShedHolder &) {});
        server.httpServer().setReceiveAccount(account);
    });
    for (int round = 0; round < 3; ++round) {
        RawConnection connection(server.port());
        connection.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200000" + endOfHead + std::string(200'000, 'x')
                         + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 9" + endOfHead);
        CHECK_THAT(connection.readUntil("xx"), Catch::Contains("200 OK"));
    }
    const auto end = std::chrono::steady_clock::now() + Seconds(5);
    std::uint64_t held = 1;
    while (held > 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(Milliseconds(50));
        server.thread().run([&] { held = account->budget().held().value(); });
    }
    CHECK(held == 0);
    server.thread().run([&] { account.reset(); });
}

// Guards against idle connections that leave no descriptor for ordinary callers.
TEST_CASE("the longest idle connections are closed when there are too many", "[http]")
{
    TestServer server(respondWithEcho);
    server.thread().run([&] {
        server.httpServer().setReceiveAccount(std::make_shared<ReceiveAccount>(
                server.thread().loop(), ReceiveLimits{ByteCount(1'000'000), ConnectionCount(5)},
                [](const ShedHolder &) {}));
    });
    std::vector<std::unique_ptr<RawConnection>> idle;
    for (int index = 0; index < 20; ++index)
        idle.push_back(std::make_unique<RawConnection>(server.port()));
    CHECK(idle.front()->readAll().empty());
    RawConnection caller(server.port());
    caller.write("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK_THAT(caller.readAll(), Catch::Contains("200 OK"));
    std::size_t connections = 0;
    server.thread().run([&] { connections = server.httpServer().connections(); });
    CHECK(connections <= 5);
}

// Guards against chunks of one byte, whose framing takes more processor time than their contents.
TEST_CASE("a body in very small chunks is refused, a short one is not", "[http]")
{
    TestServer server([](const HttpRequestContextPtr &request) {
        HttpResponse response;
        response.body = std::to_string(request->request().body.size());
        request->respond(std::move(response));
    });
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto chunks = [](int count) {
        std::string text;
        for (int index = 0; index < count; ++index)
            text += "1\r\nx\r\n";
        return text;
    };
    RawConnection small(server.port());
    small.write(head + chunks(10'000) + "0\r\n\r\n");
    const std::string response = small.readAll();
    CHECK_THAT(response, Catch::Contains("200 OK") && Catch::EndsWith("10000"));
    RawConnection large(server.port());
    large.write(head + chunks(40'000));
    CHECK_THAT(large.readUntil(endOfHead), Catch::Contains("413 "));
}

// Guards against a legal body on a slow link that is cut off although it makes progress, and against one that stops.
TEST_CASE("the time for reading a body grows with the bytes that arrive", "[http]")
{
    constexpr std::size_t pieceSize = 200'000; // three seconds' worth at slowRate
    ConnectionLimits limits;
    limits.requestReadTimeout = Milliseconds(1'000);
    TestServer server(
            [](const HttpRequestContextPtr &request) {
                HttpResponse response;
                response.body = std::to_string(request->request().body.size());
                request->respond(std::move(response));
            },
            limits);
    RawConnection connection(server.port());
    connection.write("POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1000000" + endOfHead);
    for (int piece = 0; piece < 5; ++piece) {
        connection.write(std::string(pieceSize, 'x'));
        std::this_thread::sleep_for(Milliseconds(500));
    }
    CHECK_THAT(connection.readAll(), Catch::Contains("200 OK"));
    RawConnection stalled(server.port());
    stalled.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000" + endOfHead + std::string(pieceSize, 'x'));
    const auto begin = std::chrono::steady_clock::now();
    CHECK(stalled.readAll().empty());
    CHECK(std::chrono::steady_clock::now() - begin < Milliseconds(3'500));
}

// Guards against a response to HEAD that is framed as one with a body: a handler that forwards the request moves its
// method away before it responds.
TEST_CASE("the response to a HEAD request has no body although the handler took the request", "[http]")
{
    TestServer server([](const HttpRequestContextPtr &context) {
        const HttpRequest taken = std::move(context->request());
        HttpResponse response;
        response.headers.add("Content-Length", "5");
        response.body = taken.method;
        context->respond(std::move(response));
    });
    RawConnection connection(server.port());
    connection.write("HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const std::string received = connection.readAll();
    CHECK_THAT(received, Catch::Contains("Content-Length: 5\r\n"));
    CHECK_THAT(received, Catch::EndsWith("\r\n\r\n"));
}

} // namespace dandeliondock::testing
