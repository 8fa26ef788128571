#include "support/child_process.h"
#include "support/loop_thread.h"
#include "support/raw_socket.h"

#include <dandeliondock/http/async_server.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <numeric>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

using Targets = std::vector<std::string>;

const std::string endOfHead = "\r\n\r\n";
// Time in which a request that is wrongly passed on would reach the handler.
constexpr Milliseconds quietTime{150};
constexpr Seconds waitLimit{5};

std::string get(const std::string &target, const std::string &headers = {})
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

std::string post(const std::string &target, const std::string &headers = {})
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" + headers + "\r\n";
}

/// A server that permits all requests but POST to run concurrently. Requests whose target begins with "/hold" are kept
/// until the test responds to them, "/throw" throws, all others get a response at once.
class PipeliningServer
{
public:
    explicit PipeliningServer(bool isConcurrent = true)
    {
        m_thread.run([&] {
            m_server = std::make_unique<AsyncHttpServer>(
                    m_thread.loop(), [this](const HttpRequestContextPtr &request) { handle(request); });
            if (isConcurrent)
                m_server->setConcurrency([](const HttpRequest &request) { return request.method != "POST"; });
            m_server->onConcurrencyEvent([this](ConcurrencyEvent event) { ++m_events[event]; });
            REQUIRE(m_server->listen(Address("127.0.0.1:" + std::to_string(m_port))).ok());
        });
    }

    ~PipeliningServer()
    {
        m_thread.run([this] {
            m_held.clear();
            m_server.reset();
        });
    }

    /// Waits until the handler was called this often, and returns the targets of the calls.
    Targets handled(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, waitLimit, [&] { return m_handled.size() >= count; });
        return m_handled;
    }

    /// Waits until the handler was called this often, and returns the targets of all calls after a further time in
    /// which a faulty server would make another one.
    Targets handledAfterQuietTime(std::size_t count)
    {
        static_cast<void>(handled(count));
        std::this_thread::sleep_for(quietTime);
        return handled(0);
    }

    /// Waits until this many requests were cancelled, and returns their targets.
    Targets cancelled(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, waitLimit, [&] { return m_cancelled.size() >= count; });
        return m_cancelled;
    }

    void respond(const std::string &target, std::size_t bodySize = 0)
    {
        REQUIRE(onHeld(target, [&](const HttpRequestContextPtr &request) { respondTo(request, bodySize); }));
    }

    void abort(const std::string &target)
    {
        REQUIRE(onHeld(target, [](const HttpRequestContextPtr &request) { request->abort(); }));
    }

    void drain()
    {
        m_thread.run([&] { m_server->setDraining(); });
    }

    std::size_t activeRequests()
    {
        std::size_t count = 0;
        m_thread.run([&] { count = m_server->activeRequests(); });
        return count;
    }

    std::size_t unwrittenResponses()
    {
        std::size_t count = 0;
        m_thread.run([&] { count = m_server->unwrittenResponses(); });
        return count;
    }

    std::size_t connections()
    {
        std::size_t count = 0;
        m_thread.run([&] { count = m_server->connections(); });
        return count;
    }

    int events(ConcurrencyEvent event)
    {
        int count = 0;
        m_thread.run([&] { count = m_events[event]; });
        return count;
    }

    [[nodiscard]] std::uint16_t port() const { return m_port; }

private:
    void handle(const HttpRequestContextPtr &request)
    {
        const std::string target = request->request().target;
        {
            const std::scoped_lock lock(m_mutex);
            m_handled.push_back(target);
        }
        m_changed.notify_all();
        if (target.starts_with("/throw"))
            throw std::runtime_error("cannot handle this");
        if (!target.starts_with("/hold")) {
            respondTo(request, 0);
            return;
        }
        request->onCancelled([this, target] {
            m_held.erase(target);
            {
                const std::scoped_lock lock(m_mutex);
                m_cancelled.push_back(target);
            }
            m_changed.notify_all();
        });
        m_held[target] = request;
    }

    bool onHeld(const std::string &target, const std::function<void(const HttpRequestContextPtr &)> &action)
    {
        bool isHeld = false;
        m_thread.run([&] {
            const auto node = m_held.extract(target);
            isHeld = !node.empty();
            if (isHeld)
                action(node.mapped());
        });
        return isHeld;
    }

    static void respondTo(const HttpRequestContextPtr &request, std::size_t bodySize)
    {
        HttpResponse response;
        response.body = "[" + request->request().target + request->request().body.text() + "]";
        response.body.resize(std::max(response.body.size(), bodySize), 'x');
        request->respond(std::move(response));
    }

    const std::uint16_t m_port = freePort();
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Targets m_handled;
    Targets m_cancelled;
    std::map<std::string, HttpRequestContextPtr> m_held;
    std::map<ConcurrencyEvent, int> m_events;
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpServer> m_server;
};

/// Targets of the responses in the order in which they were received.
Targets answered(const std::string &received)
{
    Targets targets;
    for (std::size_t begin = received.find('['); begin != std::string::npos; begin = received.find('[', begin + 1))
        targets.push_back(received.substr(begin + 1, received.find(']', begin) - begin - 1));
    return targets;
}

} // namespace

// Guards against requests that wait for a slow one before them on their connection.
TEST_CASE("requests behind a slow one on their connection do not wait for it", "[http][pipelining]")
{
    PipeliningServer server;
    RawConnection first(server.port());
    RawConnection second(server.port());
    first.write(get("/hold/1") + get("/a/2") + get("/a/3"));
    second.write(get("/hold/4") + get("/b/5") + get("/b/6"));
    CHECK(server.handled(6).size() == 6);
    CHECK(server.activeRequests() == 2);
    CHECK(server.unwrittenResponses() == 4);
    CHECK(server.events(ConcurrencyEvent::RunsBesideOthers) == 4);
    server.respond("/hold/4");
    CHECK(answered(second.readUntil("[/b/6]")) == Targets{"/hold/4", "/b/5", "/b/6"});
    server.respond("/hold/1");
    CHECK(answered(first.readUntil("[/a/3]")) == Targets{"/hold/1", "/a/2", "/a/3"});
    CHECK(server.activeRequests() == 0);
    CHECK(server.unwrittenResponses() == 0);
    CHECK(server.connections() == 2);
}

// Guards against a change of behaviour of listeners that have no hook.
TEST_CASE("without a concurrency hook a connection has one request in progress", "[http][pipelining]")
{
    PipeliningServer server(false);
    RawConnection connection(server.port());
    connection.write(get("/hold/1") + get("/a/2"));
    CHECK(server.handledAfterQuietTime(1) == Targets{"/hold/1"});
    server.respond("/hold/1");
    CHECK(answered(connection.readUntil("[/a/2]")) == Targets{"/hold/1", "/a/2"});
}

// Guards against responses that are taken for those to other requests, lost or repeated, and against an unsafe request
// that runs beside others.
TEST_CASE("responses have the order of the requests, and an unsafe request runs alone, in any order of completion",
          "[http][pipelining]")
{
    rc::check([](const std::vector<bool> &isUnsafe, std::uint32_t seed) {
        PipeliningServer server;
        RawConnection connection(server.port());
        std::string requests;
        Targets targets;
        for (std::size_t index = 0; index < std::min<std::size_t>(isUnsafe.size(), 12); ++index) {
            targets.push_back("/hold/" + std::to_string(index));
            requests += isUnsafe[index] ? post(targets.back()) : get(targets.back());
        }
        connection.write(requests + post("/last"));
        for (std::size_t begin = 0, end = 0; begin < targets.size(); begin = end) {
            end = begin + 1; // the requests from begin to end run at once
            while (!isUnsafe[begin] && end < targets.size() && !isUnsafe[end])
                ++end;
            RC_ASSERT(server.handled(end) == Targets(targets.begin(), targets.begin() + static_cast<long>(end)));
            std::vector<std::size_t> order(end - begin);
            std::iota(order.begin(), order.end(), begin);
            for (std::size_t index = order.size(); index > 1; --index) {
                seed = seed * 1'664'525 + 1'013'904'223;
                std::swap(order[index - 1], order[(seed >> 16) % index]);
            }
            for (const std::size_t index : order) {
                RC_ASSERT(server.handled(0).size() == end);
                server.respond(targets[index]);
            }
        }
        targets.push_back("/last");
        RC_ASSERT(answered(connection.readUntil("[/last]")) == targets);
        RC_ASSERT(server.activeRequests() == 0U);
        RC_ASSERT(server.unwrittenResponses() == 0U);
    });
}

// Guards against an unsafe request that runs beside an earlier or a later one.
TEST_CASE("an unsafe request waits for those before it, and those behind it wait for it", "[http][pipelining]")
{
    PipeliningServer server;
    RawConnection connection(server.port());
    connection.write(get("/hold/1") + post("/hold/2") + get("/hold/3"));
    CHECK(server.handledAfterQuietTime(1) == Targets{"/hold/1"});
    server.respond("/hold/1");
    CHECK(server.handledAfterQuietTime(2) == Targets{"/hold/1", "/hold/2"});
    server.respond("/hold/2");
    CHECK(server.handled(3) == Targets{"/hold/1", "/hold/2", "/hold/3"});
    server.respond("/hold/3");
    CHECK(answered(connection.readUntil("[/hold/3]")) == Targets{"/hold/1", "/hold/2", "/hold/3"});
}

// Guards against one connection that occupies a proxy with any number of requests.
TEST_CASE("the number of requests in progress of a connection is bounded", "[http][pipelining]")
{
    constexpr std::size_t bound = 16;
    PipeliningServer server;
    RawConnection connection(server.port());
    std::string requests;
    for (std::size_t index = 0; index < 3 * bound; ++index)
        requests += get("/hold/" + std::to_string(index));
    connection.write(requests);
    static_cast<void>(server.handled(bound));
    CHECK(server.handledAfterQuietTime(bound).size() == bound);
    server.respond("/hold/1"); // a ready response that waits still counts
    CHECK(server.handledAfterQuietTime(bound).size() == bound);
    server.respond("/hold/0");
    static_cast<void>(server.handled(bound + 2));
    CHECK(server.handledAfterQuietTime(bound + 2).size() == bound + 2);
}

// Guards against a client that fills the memory with ready responses behind a request that it knows to be slow.
TEST_CASE("no request is passed on while the ready responses of its connection hold much memory", "[http][pipelining]")
{
    PipeliningServer server;
    RawConnection connection(server.port());
    connection.write(get("/hold/1") + get("/hold/2"));
    static_cast<void>(server.handled(2));
    server.respond("/hold/2", 1'100'000);
    connection.write(get("/a/3"));
    CHECK(server.handledAfterQuietTime(2) == Targets{"/hold/1", "/hold/2"});
    server.respond("/hold/1");
    CHECK(answered(connection.readUntil("[/a/3]")) == Targets{"/hold/1", "/hold/2", "/a/3"});
}

// Guards against memory without a bound although each request was passed on before a response was ready, and against
// a client that makes no progress because its first long response is dropped each time.
TEST_CASE("ready responses above the bound are dropped with all behind them, and the connection ends before them",
          "[http][pipelining]")
{
    PipeliningServer server;
    RawConnection connection(server.port());
    connection.write(get("/hold/1") + get("/hold/2") + get("/hold/3") + get("/hold/4") + get("/hold/5"));
    static_cast<void>(server.handled(5));
    server.respond("/hold/2", 5'000'000);
    CHECK(server.activeRequests() == 4);
    server.respond("/hold/4", 1'000);
    CHECK(server.cancelled(1) == Targets{"/hold/5"});
    CHECK(server.unwrittenResponses() == 1);
    CHECK(server.events(ConcurrencyEvent::ResponsesDropped) == 1);
    server.respond("/hold/1");
    std::string received = connection.readUntil("[/hold/2]"); // it is being written, and does not count any more
    server.respond("/hold/3");
    received += connection.readAll();
    CHECK(answered(received) == Targets{"/hold/1", "/hold/2", "/hold/3"});
    CHECK_THAT(received.substr(received.rfind("HTTP/1.1")), Catch::Contains("Connection: close"));
    CHECK(server.activeRequests() == 0);
}

// Guards against work that continues for a caller that has left, also when the server has stopped reading.
TEST_CASE("a peer that disconnects cancels all requests of its connection", "[http][pipelining]")
{
    const std::string longBody = endOfHead + std::string(20'000, 'x');
    for (const std::string &behind :
         {std::string(), post("/a"), "PUT /b HTTP/1.1\r\nContent-Length: 2000000" + longBody,
          "PUT /above/the/limit HTTP/1.1\r\nContent-Length: 90000000" + longBody, std::string("malformed\r\n\r\n")}) {
        INFO(behind.substr(0, 60));
        PipeliningServer server;
        {
            RawConnection connection(server.port());
            connection.write(get("/hold/1") + get("/hold/2") + get("/c/3") + get("/hold/4") + behind);
            CHECK(server.handled(4).size() == 4);
        }
        CHECK(server.cancelled(3) == Targets{"/hold/1", "/hold/2", "/hold/4"});
        CHECK(server.handledAfterQuietTime(4).size() == 4);
        CHECK(server.activeRequests() == 0);
        CHECK(server.unwrittenResponses() == 0);
        CHECK(server.connections() == 0);
    }
}

// Guards against a request that a stopping server has passed on without a response, and against one that it passes on
// although its client was told to send it elsewhere.
TEST_CASE("a draining server answers the requests passed on, the last one with Connection: close", "[http][pipelining]")
{
    PipeliningServer server;
    RawConnection connection(server.port());
    connection.write(get("/hold/1") + get("/hold/2") + get("/hold/3") + post("/a/4") + post("/a/5"));
    static_cast<void>(server.handled(3));
    server.drain();
    connection.write(get("/a/6"));
    server.respond("/hold/3");
    server.respond("/hold/1");
    server.respond("/hold/2");
    const std::string received = connection.readAll();
    CHECK(answered(received) == Targets{"/hold/1", "/hold/2", "/hold/3"});
    const std::size_t close = received.find("Connection: close");
    CHECK(close > received.find("[/hold/2]"));
    CHECK(close < received.find("[/hold/3]"));
    CHECK(server.handledAfterQuietTime(3) == Targets{"/hold/1", "/hold/2", "/hold/3"});
    CHECK(server.activeRequests() == 0);
}

// Guards against a drain that passes on requests without end, because others are in progress all the time.
TEST_CASE("a draining server passes on no request beside others", "[http][pipelining]")
{
    PipeliningServer server;
    RawConnection connection(server.port());
    connection.write(get("/hold/1"));
    static_cast<void>(server.handled(1));
    server.drain();
    connection.write(get("/a/2"));
    CHECK(server.handledAfterQuietTime(1) == Targets{"/hold/1"});
    server.respond("/hold/1");
    CHECK_THAT(connection.readAll(), Catch::Contains("Connection: close") && !Catch::Contains("[/a/2]"));
}

// Guards against an order that runs twice: its client sends it again because the connection ended before it.
TEST_CASE("no request is passed on behind one that closes the connection", "[http][pipelining]")
{
    PipeliningServer server;
    RawConnection connection(server.port());
    connection.write(get("/hold/1") + get("/hold/2", "Connection: close\r\n") + get("/a/3") + post("/a/4"));
    CHECK(server.handledAfterQuietTime(2) == Targets{"/hold/1", "/hold/2"});
    server.respond("/hold/2");
    server.respond("/hold/1");
    const std::string received = connection.readUntil("[/hold/2]");
    CHECK(answered(received) == Targets{"/hold/1", "/hold/2"});
    connection.write(post("/a/5"));
    CHECK(server.handledAfterQuietTime(2) == Targets{"/hold/1", "/hold/2"});
}

// Guards against an order that runs although it arrived after the response that closed its connection.
TEST_CASE("a request that arrives after the response that closes the connection is not passed on", "[http][pipelining]")
{
    for (const bool isConcurrent : {true, false}) {
        PipeliningServer server(isConcurrent);
        RawConnection connection(server.port());
        connection.write(get("/a/1", "Connection: close\r\n"));
        CHECK(answered(connection.readUntil("[/a/1]")) == Targets{"/a/1"});
        connection.write(post("/a/2"));
        CHECK(server.handledAfterQuietTime(1) == Targets{"/a/1"});
    }
}

// Guards against responses that a reset of the connection destroys before the client has read them, because the server
// closes the connection while bytes of the client are unread.
TEST_CASE("a client that goes on sending gets the complete response that closes the connection", "[http][pipelining]")
{
    constexpr std::size_t bodySize = 1'000'000; // a part is in the server's send buffer when it would close
    PipeliningServer server;
    RawConnection connection(server.port());
    connection.write(get("/hold/1", "Connection: close\r\n") + get("/a/2") + std::string(300'000, 'x'));
    static_cast<void>(server.handled(1));
    server.respond("/hold/1", bodySize);
    std::this_thread::sleep_for(quietTime);
    const std::string received = connection.readAll();
    CHECK(received.size() - received.find(endOfHead) - endOfHead.size() == bodySize);
}

// Guards against a failed handler that takes the responses before it along, or that leaves those behind it running.
TEST_CASE("an aborted request ends the connection behind the responses before it", "[http][pipelining]")
{
    PipeliningServer server;
    RawConnection connection(server.port());
    connection.write(get("/hold/1") + get("/hold/2") + get("/hold/3") + get("/a/4"));
    static_cast<void>(server.handled(4));
    server.abort("/hold/2");
    CHECK(server.cancelled(1) == Targets{"/hold/3"});
    CHECK(server.activeRequests() == 1);
    CHECK(server.unwrittenResponses() == 0);
    server.respond("/hold/1");
    const std::string received = connection.readAll();
    CHECK(answered(received) == Targets{"/hold/1"});
    CHECK_THAT(received, Catch::Contains("Connection: close"));

    RawConnection other(server.port());
    other.write(get("/hold/5") + get("/throw/6") + get("/a/7"));
    CHECK(server.handledAfterQuietTime(6).back() == "/throw/6");
    server.respond("/hold/5");
    CHECK(answered(other.readAll()) == Targets{"/hold/5"});

    RawConnection first(server.port());
    first.write(get("/hold/8") + get("/hold/9"));
    static_cast<void>(server.handled(8));
    server.abort("/hold/8");
    CHECK(first.readAll().empty());
    CHECK(server.cancelled(2).back() == "/hold/9");
    CHECK(server.activeRequests() == 0);
}

// Guards against a malformed or unfinished request that costs the requests before it their responses.
TEST_CASE("a malformed or truncated head behind others does not affect them", "[http][pipelining]")
{
    PipeliningServer server;
    RawConnection malformed(server.port());
    malformed.write(get("/hold/1") + get("/hold/2") + "GET /a/3 HTTP/1.1\r\nno header\r\n\r\n" + get("/a/4"));
    static_cast<void>(server.handled(2));
    server.respond("/hold/2");
    server.respond("/hold/1");
    const std::string received = malformed.readAll();
    CHECK(answered(received) == Targets{"/hold/1", "/hold/2"});
    CHECK_THAT(received.substr(received.rfind("HTTP/1.1 200")), Catch::Contains("Connection: close"));
    RawConnection truncated(server.port());
    truncated.write(get("/hold/1") + get("/hold/2") + "GET /a/3 HTTP/1.1\r\nHo");
    static_cast<void>(server.handled(4));
    server.respond("/hold/2");
    server.respond("/hold/1");
    CHECK(answered(truncated.readUntil("[/hold/2]")) == Targets{"/hold/1", "/hold/2"});
    truncated.write("st: h\r\n\r\n");
    CHECK(answered(truncated.readUntil("[/a/3]")) == Targets{"/a/3"});
    CHECK(server.handled(0).size() == 5);
}

// Guards against a status 100 within the response to an earlier request, and against a client that waits for it
// forever.
TEST_CASE("a request with Expect: 100-continue behind others gets the status 100 after their responses",
          "[http][pipelining]")
{
    PipeliningServer server;
    RawConnection connection(server.port());
    connection.write(get("/hold/1") + get("/a/2")
                     + "PUT /b/3? HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
    static_cast<void>(server.handled(2));
    std::this_thread::sleep_for(quietTime);
    server.respond("/hold/1");
    const std::string received = connection.readUntil("100 Continue\r\n\r\n");
    CHECK(answered(received) == Targets{"/hold/1", "/a/2"});
    CHECK_THAT(received, Catch::EndsWith("[/a/2]HTTP/1.1 100 Continue\r\n\r\n"));
    connection.write("body" + get("/a/4"));
    CHECK(answered(connection.readUntil("[/a/4]")) == Targets{"/b/3?body", "/a/4"});
}

// Guards against bodies without a bound that are held while a request before them is in progress.
TEST_CASE("a long body behind others is read when they have ended", "[http][pipelining]")
{
    constexpr std::size_t bodySize = 8'000'000; // more than the sockets' buffers hold, below the limit of the server
    const std::string body(bodySize, 'x');
    for (const std::string &upload :
         {absl::StrCat("PUT /b/2? HTTP/1.1\r\nContent-Length: ", bodySize, endOfHead, body),
          "PUT /b/2? HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7A1200\r\n" + body + "\r\n0\r\n\r\n"}) {
        PipeliningServer server;
        RawConnection connection(server.port());
        connection.write(get("/hold/1"));
        static_cast<void>(server.handled(1));
        std::atomic<bool> isSent{false};
        std::thread sender([&] {
            connection.write(upload + get("/a/3"));
            isSent = true;
        });
        CHECK(server.handledAfterQuietTime(1) == Targets{"/hold/1"});
        CHECK_FALSE(isSent);
        server.respond("/hold/1");
        CHECK(answered(connection.readUntil("[/a/3]")) == Targets{"/hold/1", "/b/2?" + body, "/a/3"});
        sender.join();
    }
}

// Guards against clients of HTTP/1.0, whose requests run one after the other.
TEST_CASE("a request of HTTP/1.0 runs beside no other", "[http][pipelining]")
{
    PipeliningServer server;
    RawConnection connection(server.port());
    const std::string keepAlive = " HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n";
    connection.write("GET /hold/1" + keepAlive + "GET /hold/2" + keepAlive + "GET /a/3 HTTP/1.0\r\n\r\n" + get("/a/4"));
    CHECK(server.handledAfterQuietTime(1) == Targets{"/hold/1"});
    server.respond("/hold/1");
    CHECK(server.handledAfterQuietTime(2) == Targets{"/hold/1", "/hold/2"});
    server.respond("/hold/2");
    CHECK(answered(connection.readAll()) == Targets{"/hold/1", "/hold/2", "/a/3"});
}

// Guards against requests that go on for a client that reads no responses.
TEST_CASE("a client that does not read loses its requests when the response before them stalls", "[http][pipelining]")
{
    PipeliningServer server;
    RawConnection connection(server.port());
    connection.write(get("/hold/1") + get("/hold/2"));
    static_cast<void>(server.handled(2));
    server.respond("/hold/1", 24'000'000); // more than the socket buffers of both sides hold
    CHECK(server.cancelled(1).empty());    // waits for 5 s
    connection.write(get("/a/3"));         // sending is no progress
    static_cast<void>(server.cancelled(1));
    CHECK(server.cancelled(1) == Targets{"/hold/2"});
    CHECK(server.activeRequests() == 0);
    CHECK(server.connections() == 0);
}

} // namespace dandeliondock::testing
