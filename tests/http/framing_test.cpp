#include "support/child_process.h"
#include "support/loop_thread.h"
#include "support/raw_socket.h"

#include <dandeliondock/http/async_server.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/strip.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

constexpr std::size_t lowHeadLimit = 1'000;
constexpr std::size_t lowBodyLimit = 20'000;
constexpr int earlyStatuses[] = {200, 200, 200, 503, 429, 401, 404};

/// A request that every limit of the test allows, as bytes, and the response that it must get.
struct ProperRequest
{
    std::string bytes;
    std::string expectedBody;
    int status = 200;
    bool closes = false;
};

/// Draws from the whole range in every case; RapidCheck draws from its lower part in the first ones otherwise.
template <typename Number>
Number drawBetween(Number first, Number end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(first, end));
}

std::string chunkedBody(const std::string &body)
{
    std::string encoded;
    std::size_t position = 0;
    while (position < body.size()) {
        const std::size_t size = std::min(body.size() - position, drawBetween<std::size_t>(1, 3'000));
        const std::string extension = *rc::gen::element<std::string>("", ";a=b", ";name=\"quoted\"");
        absl::StrAppend(&encoded, absl::StrFormat("%x", size), extension, "\r\n", body.substr(position, size), "\r\n");
        position += size;
    }
    const std::string trailer = *rc::gen::element<std::string>("", "X-Sum: 1\r\n", "A: b\r\nC: d\r\n");
    return absl::StrCat(encoded, "0\r\n", trailer, "\r\n");
}

ProperRequest drawRequest(int index, bool closes)
{
    ProperRequest request;
    request.closes = closes;
    request.status = *rc::gen::elementOf(std::vector<int>(std::begin(earlyStatuses), std::end(earlyStatuses)));
    const bool isDeferred = *rc::gen::arbitrary<bool>();
    const std::string target = absl::StrCat("/", index, "/", request.status, isDeferred ? "/later" : "/now");
    const std::string filler(drawBetween<std::size_t>(0, 600), 'f');
    std::string head = absl::StrCat(" ", target, " HTTP/1.1\r\nhOST: h\r\nX-Filler:", filler, "\r\n",
                                    closes ? "connection: Close\r\n" : "");
    const int kind = drawBetween(0, 4);
    if (kind == 0) {
        request.bytes = absl::StrCat("GET", head, "\r\n");
        request.expectedBody = absl::StrCat(target, " 0");
        return request;
    }
    const std::size_t size = *rc::gen::element<std::size_t>(0, 1, 500, 5'000, lowBodyLimit);
    std::string body(size, ' ');
    for (std::size_t position = 0; position < size; ++position)
        body[position] = "GET / HTTP/1.1\r\n\r\n"[position % 18];
    if (kind == 3 || drawBetween(0, 4) == 0)
        absl::StrAppend(&head, "Expect: 100-continue\r\n");
    if (kind == 1)
        request.bytes = absl::StrCat("POST", head, "Content-Length: ", size, "\r\n\r\n", body);
    else
        request.bytes = absl::StrCat("POST", head, "transfer-encoding: chunked\r\n\r\n", chunkedBody(body));
    request.expectedBody = absl::StrCat(target, " ", size);
    return request;
}

/// Responds with the target and the length of the body, with the status that the target names, at once or later.
class EchoServer
{
public:
    EchoServer()
    {
        m_thread.run([&] {
            m_server = std::make_unique<AsyncHttpServer>(
                    m_thread.loop(), [this](const HttpRequestContextPtr &request) { handle(request); });
            m_server->setConcurrency([](const HttpRequest &request) { return request.method == "GET"; });
            m_server->onRejected([this](const RequestRejection &) { ++rejections; });
            setLowLimits(true);
            REQUIRE(m_server->listen(Address(absl::StrCat("127.0.0.1:", port))).ok());
        });
    }

    ~EchoServer()
    {
        m_thread.run([this] {
            m_timers.clear();
            m_server.reset();
        });
    }

    void changeLimits()
    {
        m_thread.run([this] { setLowLimits(!m_isLow); });
    }

    const std::uint16_t port = freePort();
    std::atomic<int> handled{0};
    std::atomic<int> rejections{0};

private:
    void setLowLimits(bool isLow)
    {
        m_isLow = isLow;
        ConnectionLimits limits;
        limits.maxHeaderBytes = ByteCount(isLow ? lowHeadLimit : 100'000);
        limits.maxBodyBytes = ByteCount(isLow ? lowBodyLimit : 1'000'000);
        m_server->setLimits(limits);
    }

    void handle(const HttpRequestContextPtr &context)
    {
        ++handled;
        const std::string &target = context->request().target;
        HttpResponse response;
        response.body = absl::StrCat(target, " ", context->request().body.size());
        const std::size_t status = target.find('/', 1);
        if (status == std::string::npos || !absl::SimpleAtoi(target.substr(status + 1, 3), &response.status))
            response.status = 500;
        if (target.substr(target.rfind('/')) == "/now") {
            context->respond(std::move(response));
            return;
        }
        m_timers.push_back(m_thread.loop().after(
                Milliseconds(1), [context, response = std::move(response)] { context->respond(response); }));
    }

    LoopThread m_thread;
    std::unique_ptr<AsyncHttpServer> m_server;
    std::vector<LoopTimer> m_timers;
    bool m_isLow = true;
};

struct ReceivedResponse
{
    int status = 0;
    std::string body;
};

/// Takes the next final response from the front of \c bytes; an empty one if there is none.
ReceivedResponse takeResponse(std::string &bytes)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    while (bytes.substr(0, interim.size()) == interim)
        bytes.erase(0, interim.size());
    ReceivedResponse response;
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos || !absl::SimpleAtoi(bytes.substr(9, 3), &response.status))
        return {};
    const std::string name = "Content-Length: ";
    const std::size_t length = bytes.substr(0, end).find(name);
    std::size_t size = 0;
    if (length != std::string::npos)
        size = std::stoul(bytes.substr(length + name.size()));
    response.body = bytes.substr(end + 4, size);
    bytes.erase(0, end + 4 + size);
    return response;
}

} // namespace

// Guards against a request that is read from the wrong byte on, or under limits that no longer hold: behind an early
// refusal, a body in any framing, or a change of the limits. Its caller would get 400, 413 or 431, or a response that
// belongs to another request.
TEST_CASE("every proper request of a connection gets its own response, however its bytes arrive", "[http]")
{
    EchoServer server;
    rc::prop("responses match", [&server] {
        const int count = drawBetween(1, 9);
        const int closing = drawBetween(0, 2 * count); // requests behind this one must not be handled
        std::vector<ProperRequest> requests;
        std::string bytes;
        for (int index = 0; index < count; ++index) {
            requests.push_back(drawRequest(index, index == closing || index == count - 1));
            bytes += requests.back().bytes;
        }
        const auto expected = static_cast<std::size_t>(std::min(closing, count - 1)) + 1;
        server.handled = 0;
        server.rejections = 0;
        std::string received;
        {
            const RawConnection connection(server.port);
            std::size_t position = 0;
            while (position < bytes.size()) {
                const std::size_t largest = *rc::gen::element<std::size_t>(1, 4, 100, 2'000, 60'000);
                const std::size_t size = std::min(bytes.size() - position, drawBetween<std::size_t>(1, largest + 1));
                connection.write(bytes.substr(position, size));
                position += size;
                const int pause = drawBetween(0, 8);
                if (pause == 0)
                    server.changeLimits();
                else if (pause == 1)
                    std::this_thread::sleep_for(Microseconds(300));
            }
            received = connection.readAll();
        }
        for (std::size_t index = 0; index < expected; ++index) {
            const ReceivedResponse response = takeResponse(received);
            RC_ASSERT(response.status == requests[index].status);
            RC_ASSERT(response.body == requests[index].expectedBody);
        }
        RC_ASSERT(received.empty());
        RC_ASSERT(server.rejections == 0);
        RC_ASSERT(server.handled == static_cast<int>(expected));
    });
}

} // namespace dandeliondock::testing
