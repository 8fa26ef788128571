#include "support/child_process.h"
#include "support/loop_thread.h"
#include "support/raw_socket.h"

#include <dandeliondock/http/async_server.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>

namespace dandeliondock::testing {
namespace {

const std::string endOfHead = "\r\n\r\n";

/// A server on its own loop that counts requests and calls that were cancelled.
class Served
{
public:
    explicit Served(std::function<void(const HttpRequestContextPtr &)> handler, ConnectionLimits limits = {})
    {
        m_thread.run([&] {
            m_server = std::make_unique<AsyncHttpServer>(m_thread.loop(), std::move(handler));
            m_server->setLimits(limits);
            REQUIRE(m_server->listen(Address("127.0.0.1:" + std::to_string(m_port))).ok());
        });
    }

    ~Served()
    {
        if (m_server)
            m_thread.run([this] { m_server.reset(); });
    }

    /// Ends the server and its loop; the number of handlers that ran.
    std::size_t stop()
    {
        m_thread.run([this] { m_server.reset(); });
        return m_thread.stop();
    }

    LoopThread &thread() { return m_thread; }
    AsyncHttpServer &server() { return *m_server; }
    [[nodiscard]] std::uint16_t port() const { return m_port; }

private:
    const std::uint16_t m_port = freePort();
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpServer> m_server;
};

void echo(const HttpRequestContextPtr &exchange)
{
    HttpResponse response;
    response.body = exchange->request().target + " " + exchange->request().body;
    exchange->respond(std::move(response));
}

} // namespace

// Guards against requests that are smuggled in another one's body.
TEST_CASE("a request with two different lengths never reaches the handler", "[http]")
{
    std::atomic<int> handled{0};
    Served served([&handled](const HttpRequestContextPtr &exchange) {
        ++handled;
        echo(exchange);
    });
    for (const char *head :
         {"Content-Length: 4\r\nContent-Length: 40\r\n", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"}) {
        RawConnection connection(served.port());
        connection.write(std::string("POST /a HTTP/1.1\r\nHost: h\r\n") + head
                         + "\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
        CHECK_THAT(connection.readAll(), Catch::Contains("400 Bad Request"));
    }
    CHECK(handled == 0);
}

// Guards against a truncated order: a body above the limit must not be handled, with or without a length.
TEST_CASE("a body or a head that is too long is refused", "[http]")
{
    std::atomic<int> handled{0};
    ConnectionLimits limits;
    limits.maxBodyBytes = ByteCount(10);
    limits.maxHeaderBytes = ByteCount(200);
    Served served([&handled](const HttpRequestContextPtr &) { ++handled; }, limits);
    RawConnection sized(served.port());
    sized.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n01234567890");
    CHECK_THAT(sized.readAll(), Catch::Contains("413 "));
    RawConnection chunked(served.port());
    chunked.write("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n");
    CHECK_THAT(chunked.readAll(), Catch::Contains("413 "));
    RawConnection head(served.port());
    head.write("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
    CHECK_THAT(head.readAll(), Catch::Contains("431 "));
    CHECK(handled == 0);
}

// Guards against responses that change places on a connection.
TEST_CASE("requests that arrive together are answered in their order, chunked bodies whole", "[http]")
{
    Served served(echo);
    RawConnection connection(served.port());
    connection.write("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                     "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const std::string received = connection.readAll();
    const std::size_t first = received.find("/1 abcde");
    const std::size_t second = received.find("/2 ");
    REQUIRE(first != std::string::npos);
    REQUIRE(second != std::string::npos);
    CHECK(first < second);
}

// Guards against work that goes on after its caller left.
TEST_CASE("a peer that leaves before the response cancels its exchange", "[http]")
{
    std::promise<void> arrived;
    std::promise<void> cancelled;
    HttpRequestContextPtr held;
    Served served([&](const HttpRequestContextPtr &exchange) {
        held = exchange;
        exchange->onCancelled([&cancelled] { cancelled.set_value(); });
        arrived.set_value();
    });
    {
        RawConnection connection(served.port());
        connection.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        arrived.get_future().wait();
    }
    CHECK(cancelled.get_future().wait_for(Seconds(3)) == std::future_status::ready);
    served.thread().run([&] { held.reset(); });
}

// Guards against a planned stop that cuts a request in progress or lets a new one in.
TEST_CASE("a server that drains answers what it read, with a close, and then takes nothing", "[http]")
{
    std::promise<HttpRequestContextPtr> arrived;
    Served served([&arrived](const HttpRequestContextPtr &exchange) { arrived.set_value(exchange); });
    RawConnection idle(served.port());
    RawConnection busy(served.port());
    busy.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    HttpRequestContextPtr exchange = arrived.get_future().get();
    served.thread().run([&] {
        served.server().setDraining();
        served.server().stopAccepting();
    });
    CHECK(idle.readAll().empty());
    served.thread().run([&] {
        CHECK(served.server().activeRequests() == 1);
        echo(exchange);
        exchange.reset();
    });
    const std::string received = busy.readAll();
    CHECK_THAT(received, Catch::Contains("200 OK"));
    CHECK_THAT(received, Catch::Contains("Connection: close"));
}

// Guards against callers that wait for a go-ahead before they send a body.
TEST_CASE("a body that waits for a go-ahead is asked for", "[http]")
{
    Served served(echo);
    RawConnection connection(served.port());
    connection.write("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK_THAT(connection.readUntil(endOfHead), Catch::Contains("100 Continue"));
    connection.write("ok");
    CHECK_THAT(connection.readUntil("/a ok"), Catch::Contains("200 OK"));
}

// Guards against reads of 512 bytes of a long body, each with a system call and a wake-up.
TEST_CASE("a long request is read in long pieces", "[http]")
{
    constexpr std::size_t bodySize = 1'000'000;
    constexpr std::size_t shortestPiece = 4'096;
    Served served([](const HttpRequestContextPtr &exchange) {
        HttpResponse response;
        response.body = std::to_string(exchange->request().body.size());
        exchange->respond(std::move(response));
    });
    RawConnection connection(served.port());
    connection.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodySize) + endOfHead
                     + std::string(bodySize, 'x'));
    CHECK_THAT(connection.readUntil(std::to_string(bodySize)), Catch::Contains("200 OK"));
    CHECK(served.stop() < bodySize / shortestPiece);
}

} // namespace dandeliondock::testing
