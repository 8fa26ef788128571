#include "support/loop_thread.h"
#include "support/raw_socket.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/http/async_client.h>

#include <catch2/catch.hpp>

#include <future>
#include <memory>
#include <thread>

namespace dandeliondock::testing {
namespace {

constexpr Milliseconds patience{3'000};
const std::string endOfHead = "\r\n\r\n";

std::string responseTo(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr std::size_t pieces = 400; ///< in which bytes without an end are written; bounded, as tests must end
const std::string piece(65'536, 'x');

/// Answers with a beginning and then with the same bytes again and again.
RawListener::Script endless(const std::string &beginning, const std::string &again)
{
    return [beginning, again](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write(beginning);
        for (std::size_t index = 0; index < pieces; ++index)
            connection.write(again);
        static_cast<void>(connection.readAll());
    };
}

/// A client on its own loop, whose calls are waited for.
class Caller
{
public:
    explicit Caller(const AsyncClientLimits &limits = {})
    {
        m_thread.run([&] { m_client = std::make_unique<AsyncHttpClient>(m_thread.loop(), limits); });
    }

    ~Caller()
    {
        if (m_client)
            m_thread.run([this] { m_client.reset(); });
    }

    AsyncCallResult call(const Address &address, const std::string &id, const std::string &method = "POST",
                         Milliseconds time = patience)
    {
        const auto result = std::make_shared<std::promise<AsyncCallResult>>();
        m_thread.run([&] {
            HttpRequest request{method, "/a", {}, method == "POST" ? "body" : ""};
            request.headers.add("Id", id);
            AsyncCallOptions options;
            options.deadline = EventLoop::now() + time;
            options.correlationHeader = "Id";
            m_client->send(address, request, options,
                           [result](AsyncCallResult ended) { result->set_value(std::move(ended)); });
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
    std::unique_ptr<AsyncHttpClient> m_client;
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
    const AsyncCallResult lost = caller.call(listener.address(), "2");
    CHECK(errorKind(lost.status) == ErrorKind::MayHaveRun);
    CHECK(lost.maybeSent);
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
    const AsyncCallResult result = caller.call(listener.address(), "1");
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
    const AsyncCallResult second = caller.call(listener.address(), "2");
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
    const AsyncCallResult whole = caller.call(unframed.address(), "1");
    REQUIRE(whole.status.ok());
    CHECK(whole.response.body == "to the end");
}

// Guards against a refusal that says "not run" for a request that may have run, and the reverse.
TEST_CASE("a refused connection sent nothing, a silent one may have run the request", "[http]")
{
    Caller caller;
    const AsyncCallResult refused = caller.call(Address("127.0.0.1:1"), "1");
    CHECK(errorKind(refused.status) == ErrorKind::NotSent);
    CHECK_FALSE(refused.maybeSent);
    RawListener silent([](const RawConnection &connection, int) { static_cast<void>(connection.readAll()); });
    const AsyncCallResult late = caller.call(silent.address(), "1", "POST", Milliseconds(150));
    CHECK(errorKind(late.status) == ErrorKind::DeadlineExceeded);
    CHECK(late.maybeSent);
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
    const AsyncCallResult result = caller.call(listener.address(), "1");
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
    const AsyncCallResult result = caller.call(listener.address(), "1");
    REQUIRE(result.status.ok());
    CHECK(result.response.body.size() == bodySize);
    CHECK(caller.stop() < bodySize / shortestPiece);
}

// Guards against targets that send bytes without an end: they held a caller until its deadline, and a few of them
// filled the memory of the whole process.
TEST_CASE("a response without an end fails soon and leaves other calls alone", "[http]")
{
    AsyncClientLimits limits;
    limits.maxResponseBytes = ByteCount(100'000'000);
    limits.maxBufferedBytes = ByteCount(1'000'000);
    Caller caller(limits);
    constexpr Milliseconds longTime{30'000};
    constexpr Milliseconds soon{2'000};
    const auto kindOf = [&](const RawListener &listener) {
        const auto begin = std::chrono::steady_clock::now();
        const ErrorKind kind = errorKind(caller.call(listener.address(), "1", "POST", longTime).status);
        CHECK(std::chrono::steady_clock::now() - begin < soon);
        return kind;
    };
    RawListener unframed(endless("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", piece));
    CHECK(kindOf(unframed) == ErrorKind::Truncated);
    RawListener chunked(
            endless("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + piece + "\r\n"));
    CHECK(kindOf(chunked) == ErrorKind::Truncated);
    RawListener head(endless("HTTP/1.1 200 OK\r\nId: 1\r\n", "X: " + piece.substr(0, 1'000) + "\r\n"));
    CHECK(kindOf(head) == ErrorKind::MayHaveRun);
    RawListener interim(endless("", "HTTP/1.1 102 Processing\r\n\r\n"));
    CHECK(kindOf(interim) == ErrorKind::MayHaveRun);
    RawListener others(endless("", responseTo("another", "wrong")));
    CHECK(kindOf(others) == ErrorKind::MayHaveRun);
    RawListener sound([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write(responseTo("1", std::string(900'000, 'x')));
        static_cast<void>(connection.readAll());
    });
    CHECK(caller.call(sound.address(), "1").status.ok());
}

// Guards against a bound for each response that many of them exceed together, and against a sound response that pays
// for one without an end.
TEST_CASE("when responses hold too much memory the longest one fails", "[http]")
{
    AsyncClientLimits limits;
    limits.maxBufferedBytes = ByteCount(1'000'000);
    RawListener half([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 300000\r\n\r\n" + std::string(200'000, 'x'));
        std::this_thread::sleep_for(Milliseconds(1'000));
        connection.write(std::string(100'000, 'x'));
        static_cast<void>(connection.readAll());
    });
    RawListener unframed(endless("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", piece));
    Caller caller(limits);
    auto sound = std::async(std::launch::async, [&] { return caller.call(half.address(), "1"); });
    std::this_thread::sleep_for(Milliseconds(200));
    CHECK(errorKind(caller.call(unframed.address(), "1").status) == ErrorKind::Truncated);
    const AsyncCallResult whole = sound.get();
    REQUIRE(whole.status.ok());
    CHECK(whole.response.body.size() == 300'000);
}

} // namespace dandeliondock::testing
