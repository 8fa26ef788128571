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

constexpr Milliseconds callTimeout{3'000};
const std::string endOfHead = "\r\n\r\n";

std::string responseTo(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr std::size_t blockCount = 400; ///< blocks that an "endless" response has; bounded so that the test ends
const std::string block(65'536, 'x');

/// Responds with a beginning, followed by the same bytes many times.
RawListener::Script endlessResponse(const std::string &beginning, const std::string &repeated)
{
    return [beginning, repeated](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write(beginning);
        for (std::size_t index = 0; index < blockCount; ++index)
            connection.write(repeated);
        static_cast<void>(connection.readAll());
    };
}

/// A client on its own event loop; call() blocks until the call has finished.
class TestClient
{
public:
    explicit TestClient(const AsyncClientLimits &limits = {})
    {
        m_thread.run([&] { m_client = std::make_unique<AsyncHttpClient>(m_thread.loop(), limits); });
    }

    ~TestClient()
    {
        if (m_client)
            m_thread.run([this] { m_client.reset(); });
    }

    AsyncCallResult call(const Address &address, const std::string &id, const std::string &method = "POST",
                         Milliseconds timeout = callTimeout)
    {
        const auto result = std::make_shared<std::promise<AsyncCallResult>>();
        m_thread.run([&] {
            HttpRequest request{method, "/a", {}, method == "POST" ? "body" : ""};
            request.headers.add("Id", id);
            AsyncCallOptions options;
            options.deadline = EventLoop::now() + timeout;
            options.correlationHeader = "Id";
            m_client->send(address, request, options,
                           [result](AsyncCallResult finished) { result->set_value(std::move(finished)); });
        });
        return result->get_future().get();
    }

    /// Destroys the client and stops its loop; returns the number of handlers that ran.
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

// Guards against an order that is executed twice because the client retries it on a new connection.
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
    TestClient client;
    REQUIRE(client.call(listener.address(), "1").status.ok());
    const AsyncCallResult second = client.call(listener.address(), "2");
    CHECK(errorKind(second.status) == ErrorKind::MayHaveRun);
    CHECK(second.maybeSent);
    CHECK(requests == 2);
    CHECK(listener.connections() == 1);
}

// Guards against a duplicate or late response that is passed on as the response to the next request.
TEST_CASE("a response to another request is skipped", "[http]")
{
    RawListener listener([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write(responseTo("another", "wrong") + responseTo("1", "right"));
        static_cast<void>(connection.readAll());
    });
    TestClient client;
    const AsyncCallResult result = client.call(listener.address(), "1");
    REQUIRE(result.status.ok());
    CHECK(result.response.body == "right");
}

// Guards against a failure that is passed on as a success with an empty or short body.
TEST_CASE("a response that ends within its head is an error", "[http]")
{
    const std::string response = responseTo("1", "first");
    const std::size_t headSize = response.find(endOfHead) + endOfHead.size();
    for (std::size_t length = 0; length < headSize; ++length) {
        RawListener listener([&](const RawConnection &connection, int) {
            static_cast<void>(connection.readUntil("body"));
            connection.write(response.substr(0, length));
        });
        TestClient client;
        const AsyncCallResult result = client.call(listener.address(), "1");
        INFO("a head of " << length << " bytes");
        CHECK(errorKind(result.status) == ErrorKind::MayHaveRun);
    }
}

// Guards against a response with an invalid status that is passed on to the caller, or that is skipped as an interim
// one until the deadline.
TEST_CASE("a response whose status is no status of a final response is an error", "[http]")
{
    for (const std::string status : {"000", "099", "101", "600", "999", "20", "2", "2000", "20x", "-20", ""}) {
        for (const std::string id : {"1", "another"}) {
            RawListener listener([&](const RawConnection &connection, int) {
                static_cast<void>(connection.readUntil("body"));
                connection.write("HTTP/1.1 " + status + " Wrong\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n");
                static_cast<void>(connection.readAll());
            });
            TestClient client;
            const AsyncCallResult result = client.call(listener.address(), "1");
            INFO("status " << status << " with id " << id);
            CHECK(errorKind(result.status) == ErrorKind::MayHaveRun);
            CHECK(result.maybeSent);
        }
    }
}

// Guards against a call that fails because of a valid interim response, and one that fails because of an unusual
// status.
TEST_CASE("interim responses are skipped, and each status from 200 to 599 is passed on", "[http]")
{
    for (const int status : {200, 299, 304, 499, 507, 599}) {
        RawListener listener([&](const RawConnection &connection, int) {
            static_cast<void>(connection.readUntil("body"));
            connection.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 "
                             + std::to_string(status) + " Any\r\nId: 1\r\nContent-Length: 0\r\n\r\n");
            static_cast<void>(connection.readAll());
        });
        TestClient client;
        const AsyncCallResult result = client.call(listener.address(), "1");
        INFO("status " << status);
        CHECK(result.status.ok());
        CHECK(result.response.status == status);
    }
}

// Guards against a response put together from two: a faulty target begins to send an earlier response again, breaks off
// within its head and sends the response to the request. A failure became a success by the status of the earlier one.
TEST_CASE("a response whose head begins with a part of another response is not passed on", "[http]")
{
    const std::string earlier =
            "HTTP/1.1 200 OK\r\nServer: a b c\r\nLoad: 1,0,8\r\nId: 1\r\nContent-Length: 5\r\n\r\nfirst";
    const std::string failure = "HTTP/1.1 500 Internal Server Error\r\nId: 2\r\nContent-Length: 6\r\n\r\nfailed";
    for (std::size_t length = 1; length < earlier.size(); ++length) {
        RawListener listener([&](const RawConnection &connection, int) {
            static_cast<void>(connection.readUntil("body"));
            connection.write(earlier);
            static_cast<void>(connection.readUntil("body"));
            connection.write(earlier.substr(0, length) + failure);
        });
        TestClient client;
        REQUIRE(client.call(listener.address(), "1").status.ok());
        const AsyncCallResult result = client.call(listener.address(), "2");
        INFO("a part of " << length << " bytes");
        CHECK_FALSE(result.status.ok());
        CHECK(result.maybeSent);
    }
}

// Guards against a refusal that is taken for the response to a request that runs: a faulty target sends an earlier one
// again on a kept connection, without an id.
TEST_CASE("a response without an id on a reused connection is not taken for the response to the request", "[http]")
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    RawListener listener([&refusal](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write(responseTo("1", "first"));
        static_cast<void>(connection.readUntil("body"));
        connection.write(refusal);
        std::this_thread::sleep_for(Milliseconds(50));
        connection.write(responseTo("2", "second"));
        static_cast<void>(connection.readAll());
    });
    TestClient client;
    REQUIRE(client.call(listener.address(), "1").status.ok());
    const AsyncCallResult second = client.call(listener.address(), "2");
    REQUIRE(second.status.ok());
    CHECK(second.response.body == "second");
    CHECK(listener.connections() == 1);
    // The only request of a connection needs no id to be matched.
    RawListener single([&refusal](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write(refusal);
        static_cast<void>(connection.readAll());
    });
    const AsyncCallResult refused = client.call(single.address(), "3");
    REQUIRE(refused.status.ok());
    CHECK(refused.response.status == 503);
}

// Guards against the response to an attempt that is taken for the response to the retry with the same id: a target that
// runs the retry sends its refusal of the first attempt again.
TEST_CASE("a request with the same id is not sent twice on a connection", "[http]")
{
    RawListener listener([](const RawConnection &connection, int number) {
        static_cast<void>(connection.readUntil("body"));
        if (number > 0) {
            connection.write(responseTo("1", "run"));
            static_cast<void>(connection.readAll());
            return;
        }
        const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
        connection.write(refusal);
        static_cast<void>(connection.readUntil("body"));
        connection.write(refusal);
        static_cast<void>(connection.readAll());
    });
    TestClient client;
    CHECK(client.call(listener.address(), "1").response.status == 503);
    const AsyncCallResult retry = client.call(listener.address(), "1");
    REQUIRE(retry.status.ok());
    CHECK(retry.response.body == "run");
    CHECK(listener.connections() == 2);
}

// Guards against bytes after a response that are parsed as the response to the next request on the connection.
TEST_CASE("a connection with bytes after a response is not reused", "[http]")
{
    RawListener listener([](const RawConnection &connection, int number) {
        static_cast<void>(connection.readUntil("body"));
        connection.write(responseTo(number == 0 ? "1" : "2", "whole") + (number == 0 ? "stray" : ""));
        static_cast<void>(connection.readAll());
    });
    TestClient client;
    REQUIRE(client.call(listener.address(), "1").status.ok());
    const AsyncCallResult second = client.call(listener.address(), "2");
    REQUIRE(second.status.ok());
    CHECK(second.response.body == "whole");
    CHECK(listener.connections() == 2);
}

// Guards against a truncated response that is passed on as a complete one.
TEST_CASE("a response shorter than its Content-Length is an error, and one without a length ends at the close",
          "[http]")
{
    RawListener truncated([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nhalf");
    });
    RawListener unframed([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nto the end");
    });
    TestClient client;
    CHECK(errorKind(client.call(truncated.address(), "1").status) == ErrorKind::Truncated);
    const AsyncCallResult complete = client.call(unframed.address(), "1");
    REQUIRE(complete.status.ok());
    CHECK(complete.response.body == "to the end");
}

// Guards against an error that reports a request as not run although it may have run, and the reverse.
TEST_CASE("after a refused connection nothing was sent, after a timeout the request may have been sent", "[http]")
{
    TestClient client;
    const AsyncCallResult refused = client.call(Address("127.0.0.1:1"), "1");
    CHECK(errorKind(refused.status) == ErrorKind::NotSent);
    CHECK_FALSE(refused.maybeSent);
    RawListener unresponsive([](const RawConnection &connection, int) { static_cast<void>(connection.readAll()); });
    const AsyncCallResult late = client.call(unresponsive.address(), "1", "POST", Milliseconds(150));
    CHECK(errorKind(late.status) == ErrorKind::DeadlineExceeded);
    CHECK(late.maybeSent);
}

// Guards against an interim response that is passed on as the final response.
TEST_CASE("responses with status 100 are skipped", "[http]")
{
    RawListener listener([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write("HTTP/1.1 100 Continue\r\n\r\n" + responseTo("1", "final"));
        static_cast<void>(connection.readAll());
    });
    TestClient client;
    const AsyncCallResult result = client.call(listener.address(), "1");
    REQUIRE(result.status.ok());
    CHECK(result.response.body == "final");
}

// Guards against reads of 512 bytes, each with a system call and a wake-up, which took most of the processor time of a
// long response.
TEST_CASE("a long response is read in large blocks", "[http]")
{
    constexpr std::size_t bodySize = 1'000'000;
    constexpr std::size_t minBlockSize = 4'096;
    RawListener listener([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write(responseTo("1", std::string(bodySize, 'x')));
    });
    TestClient client;
    const AsyncCallResult result = client.call(listener.address(), "1");
    REQUIRE(result.status.ok());
    CHECK(result.response.body.size() == bodySize);
    CHECK(client.stop() < bodySize / minBlockSize);
}

// Guards against targets that send endless responses: each kept its caller waiting until the deadline, and a few of
// them used up the memory of the whole process.
TEST_CASE("an endless response fails early and does not affect other calls", "[http]")
{
    AsyncClientLimits limits;
    limits.maxResponseBytes = ByteCount(100'000'000);
    limits.maxBufferedBytes = ByteCount(1'000'000);
    TestClient client(limits);
    constexpr Milliseconds longTimeout{30'000};
    constexpr Milliseconds earlyLimit{2'000};
    const auto kindOf = [&](const RawListener &listener) {
        const auto begin = std::chrono::steady_clock::now();
        const ErrorKind kind = errorKind(client.call(listener.address(), "1", "POST", longTimeout).status);
        CHECK(std::chrono::steady_clock::now() - begin < earlyLimit);
        return kind;
    };
    RawListener unframed(endlessResponse("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", block));
    CHECK(kindOf(unframed) == ErrorKind::Truncated);
    RawListener chunked(endlessResponse("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                                        "10000\r\n" + block + "\r\n"));
    CHECK(kindOf(chunked) == ErrorKind::Truncated);
    RawListener head(endlessResponse("HTTP/1.1 200 OK\r\nId: 1\r\n", "X: " + block.substr(0, 1'000) + "\r\n"));
    CHECK(kindOf(head) == ErrorKind::MayHaveRun);
    RawListener interim(endlessResponse("", "HTTP/1.1 102 Processing\r\n\r\n"));
    CHECK(kindOf(interim) == ErrorKind::MayHaveRun);
    RawListener others(endlessResponse("", responseTo("another", "wrong")));
    CHECK(kindOf(others) == ErrorKind::MayHaveRun);
    RawListener valid([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write(responseTo("1", std::string(900'000, 'x')));
        static_cast<void>(connection.readAll());
    });
    CHECK(client.call(valid.address(), "1").status.ok());
}

// Guards against endless bytes that are no response, and that the client keeps until its process runs out of memory.
TEST_CASE("endless bytes outside the body of a response fail early", "[http]")
{
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string line = "X: " + block.substr(0, 1'000) + "\r\n";
    const std::pair<std::string, std::string> parts[] = {
            {"", block},                             // no status line
            {"HTTP/1.1 200 ", block},                // reason phrase
            {"HTTP/1.1 200 OK\r\n", block},          // name of a header
            {"HTTP/1.1 200 OK\r\nX: ", block},       // value of a header
            {chunkedHead, std::string(65'536, '0')}, // size of a chunk
            {chunkedHead + "5;", block},             // extension of a chunk
            {chunkedHead + "5\r\nhello", block},     // end of a chunk
            {chunkedHead + "0\r\n", line},           // trailers
            {chunkedHead + "0\r\nX: ", block},       // value of a trailer
            {"HTTP/1.1 200 OK\r\nId: 1\r\n", line},  // headers
    };
    TestClient client;
    for (const auto &[beginning, repeated] : parts) {
        RawListener listener(endlessResponse(beginning, repeated));
        INFO(beginning);
        const auto begin = std::chrono::steady_clock::now();
        const AsyncCallResult result = client.call(listener.address(), "1", "POST", Milliseconds(30'000));
        CHECK(std::chrono::steady_clock::now() - begin < Milliseconds(2'000));
        CHECK_FALSE(result.status.ok());
        CHECK(result.maybeSent);
    }
}

// Guards against many responses that each stay below their own limit but use too much memory together, and against a
// valid response that fails because of an endless one.
TEST_CASE("when buffered responses exceed the memory limit, the largest one fails", "[http]")
{
    AsyncClientLimits limits;
    limits.maxBufferedBytes = ByteCount(1'000'000);
    RawListener slow([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("body"));
        connection.write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 300000\r\n\r\n" + std::string(200'000, 'x'));
        std::this_thread::sleep_for(Milliseconds(1'000));
        connection.write(std::string(100'000, 'x'));
        static_cast<void>(connection.readAll());
    });
    RawListener unframed(endlessResponse("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", block));
    TestClient client(limits);
    auto valid = std::async(std::launch::async, [&] { return client.call(slow.address(), "1"); });
    std::this_thread::sleep_for(Milliseconds(200));
    CHECK(errorKind(client.call(unframed.address(), "1").status) == ErrorKind::Truncated);
    const AsyncCallResult complete = valid.get();
    REQUIRE(complete.status.ok());
    CHECK(complete.response.body.size() == 300'000);
}

} // namespace dandeliondock::testing
