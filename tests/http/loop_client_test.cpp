#include "support/loop_thread.h"
#include "support/raw_socket.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/http/loop_client.h>

#include <catch2/catch.hpp>

#include <future>
#include <memory>

namespace dandeliondock::testing {
namespace {

constexpr Milliseconds patience{3'000};
const std::string endOfHead = "\r\n\r\n";

std::string responseTo(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A client on its own loop, whose calls are waited for.
class Caller
{
public:
    Caller()
    {
        m_thread.run([this] { m_client = std::make_unique<LoopClient>(m_thread.loop()); });
    }

    ~Caller()
    {
        if (m_client)
            m_thread.run([this] { m_client.reset(); });
    }

    LoopCallResult call(const Address &address, const std::string &id, const std::string &method = "POST",
                        Milliseconds time = patience)
    {
        const auto result = std::make_shared<std::promise<LoopCallResult>>();
        m_thread.run([&] {
            HttpRequest request{method, "/a", {}, method == "POST" ? "body" : ""};
            request.headers.add("Id", id);
            LoopCallOptions options;
            options.deadline = EventLoop::now() + time;
            options.echoHeader = "Id";
            m_client->send(address, request, options,
                           [result](LoopCallResult ended) { result->set_value(std::move(ended)); });
        });
        return result->get_future().get();
    }

    /// Ends the client and its loop; the number of handlers that ran.
    std::size_t stop()
    {
        m_thread.run([this] { m_client.reset(); });
        return m_thread.stop();
    }

private:
    LoopThread m_thread;
    std::unique_ptr<LoopClient> m_client;
};

} // namespace

// Guards against an order that runs twice because the client repeats it on a new connection by itself.
TEST_CASE("a request whose connection closes without a response is sent once", "[http]")
{
    std::atomic<int> requests{0};
    RawListener listener([&requests](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        ++requests;
        connection.write(responseTo("1", "first"));
        static_cast<void>(connection.readUntil("body"));
        ++requests;
    });
    Caller caller;
    REQUIRE(caller.call(listener.address(), "1").status.ok());
    const LoopCallResult lost = caller.call(listener.address(), "2");
    CHECK(errorKind(lost.status) == ErrorKind::MayHaveRun);
    CHECK(lost.wasSent);
    CHECK(requests == 2);
    CHECK(listener.connections() == 1);
}

// Guards against a second, late response that is taken for the response to the next request.
TEST_CASE("a response to another request is skipped", "[http]")
{
    RawListener listener([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write(responseTo("another", "wrong") + responseTo("1", "right"));
        static_cast<void>(connection.readAll());
    });
    Caller caller;
    const LoopCallResult result = caller.call(listener.address(), "1");
    REQUIRE(result.status.ok());
    CHECK(result.response.body == "right");
}

// Guards against bytes after a response that reach the next request on the connection.
TEST_CASE("a connection with bytes after a response is not used again", "[http]")
{
    RawListener listener([](const RawConnection &connection, int number) {
        static_cast<void>(connection.readUntil("body"));
        connection.write(responseTo(number == 0 ? "1" : "2", "whole") + (number == 0 ? "stray" : ""));
        static_cast<void>(connection.readAll());
    });
    Caller caller;
    REQUIRE(caller.call(listener.address(), "1").status.ok());
    const LoopCallResult second = caller.call(listener.address(), "2");
    REQUIRE(second.status.ok());
    CHECK(second.response.body == "whole");
    CHECK(listener.connections() == 2);
}

// Guards against a cut response that is passed on as a whole one.
TEST_CASE("a response that ends before its length is an error, one without a length ends with its connection", "[http]")
{
    RawListener cut([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nhalf");
    });
    RawListener unframed([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nto the end");
    });
    Caller caller;
    CHECK(errorKind(caller.call(cut.address(), "1").status) == ErrorKind::Truncated);
    const LoopCallResult whole = caller.call(unframed.address(), "1");
    REQUIRE(whole.status.ok());
    CHECK(whole.response.body == "to the end");
}

// Guards against a refusal that says "not run" for a request that may have run, and the reverse.
TEST_CASE("a refused connection sent nothing, a silent one may have run the request", "[http]")
{
    Caller caller;
    const LoopCallResult refused = caller.call(Address("127.0.0.1:1"), "1");
    CHECK(errorKind(refused.status) == ErrorKind::NotSent);
    CHECK_FALSE(refused.wasSent);
    RawListener silent([](const RawConnection &connection, int) { static_cast<void>(connection.readAll()); });
    const LoopCallResult late = caller.call(silent.address(), "1", "POST", Milliseconds(150));
    CHECK(errorKind(late.status) == ErrorKind::DeadlineExceeded);
    CHECK(late.wasSent);
}

// Guards against a go-ahead that is taken for the response.
TEST_CASE("responses of status 100 are passed over", "[http]")
{
    RawListener listener([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write("HTTP/1.1 100 Continue\r\n\r\n" + responseTo("1", "final"));
        static_cast<void>(connection.readAll());
    });
    Caller caller;
    const LoopCallResult result = caller.call(listener.address(), "1");
    REQUIRE(result.status.ok());
    CHECK(result.response.body == "final");
}

// Guards against reads of 512 bytes, each with a system call and a wake-up: most of the processor time of a long
// response was spent on them.
TEST_CASE("a long response is read in long pieces", "[http]")
{
    constexpr std::size_t bodySize = 1'000'000;
    constexpr std::size_t shortestPiece = 4'096;
    RawListener listener([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write(responseTo("1", std::string(bodySize, 'x')));
    });
    Caller caller;
    const LoopCallResult result = caller.call(listener.address(), "1");
    REQUIRE(result.status.ok());
    CHECK(result.response.body.size() == bodySize);
    CHECK(caller.stop() < bodySize / shortestPiece);
}

} // namespace dandeliondock::testing
