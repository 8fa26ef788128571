#include "support/loop_thread.h"
#include "support/raw_socket.h"

#include <dandeliondock/core/random_source.h>
#include <dandeliondock/proxy/inbound_handler.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace dandeliondock::testing {
namespace {

const std::string endOfHead = "\r\n\r\n";
const ServiceName service("s");
const TargetId targetId("t-1");
constexpr int requestCount = 150;
constexpr std::uint64_t distinctIds = 12; // ids repeat, as those of retries do

HeaderNames headerNames()
{
    HeaderNames names;
    names.requestId = "Request-Id";
    names.timeBudget = "Time-Budget";
    names.expectTarget = "Expect-Target";
    names.callerService = "Caller-Service";
    names.seal = "Seal";
    names.notExecuted = "Not-Executed";
    return names;
}

std::string headerValue(const std::string &head, const std::string &name)
{
    const std::size_t begin = head.find(name + ": ");
    if (begin == std::string::npos)
        return {};
    const std::size_t value = begin + name.size() + 2;
    return head.substr(value, head.find("\r\n", value) - value);
}

/// A target that runs about half of its requests, refuses the others, and writes earlier responses of a connection once
/// more, with their id or without one.
class FaultyTarget
{
public:
    FaultyTarget() : m_listener([this](const RawConnection &connection, int) { serve(connection); }) {}

    [[nodiscard]] Address address() const { return m_listener.address(); }

    [[nodiscard]] bool hasRun(const std::string &attempt)
    {
        const std::scoped_lock lock(m_mutex);
        return m_hasRun[attempt];
    }

private:
    void serve(const RawConnection &connection)
    {
        std::vector<std::string> earlier;
        while (true) {
            const std::string head = connection.readUntil(endOfHead);
            if (head.find(endOfHead) == std::string::npos)
                return;
            const std::string response = handle(head, earlier, connection);
            connection.write(response);
            earlier.push_back(response);
        }
    }

    std::string handle(const std::string &head, const std::vector<std::string> &earlier,
                       const RawConnection &connection)
    {
        const std::scoped_lock lock(m_mutex);
        if (!earlier.empty() && uniformBelow(m_random, 2) == 0) {
            std::string copy = earlier[uniformBelow(m_random, earlier.size())];
            if (uniformBelow(m_random, 2) == 0) {
                const std::string id = "Request-Id: " + headerValue(copy, "Request-Id") + "\r\n";
                copy.erase(copy.find(id), id.size());
            }
            connection.write(copy);
        }
        const std::string attempt = headerValue(head, "Attempt");
        const bool runs = uniformBelow(m_random, 2) == 0;
        m_hasRun[attempt] = runs;
        const std::string id = headerValue(head, "Request-Id");
        if (!runs)
            return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id
                   + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        return absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", id, "\r\nSeal: x\r\nContent-Length: ", attempt.size(),
                            endOfHead, attempt);
    }

    std::mutex m_mutex;
    RandomSource m_random = seededRandom(20261205);
    std::map<std::string, bool> m_hasRun;
    RawListener m_listener;
};

} // namespace

// Guards against an order that runs and is reported as not run, or that gets the response to another one, because a
// target writes earlier responses again on a connection that is in use.
TEST_CASE("an outcome belongs to the attempt although the target repeats earlier responses", "[proxy]")
{
    FaultyTarget target;
    LoopThread thread;
    MetricsRegistry metrics;
    LinkSchedule link{DataRate()};
    std::unique_ptr<AsyncHttpClient> client;
    std::unique_ptr<InboundHandler> handler;
    thread.run([&] {
        client = std::make_unique<AsyncHttpClient>(thread.loop());
        InboundHandlerDependencies dependencies;
        dependencies.loop = &thread.loop();
        dependencies.client = client.get();
        dependencies.link = &link;
        dependencies.metrics = &metrics;
        dependencies.headerNames = headerNames();
        dependencies.target = target.address();
        dependencies.versions = [](const ServiceName &) -> const ServiceVersions * { return nullptr; };
        dependencies.lastDependencyFailure = [] { return MonotonicTime(); };
        handler = std::make_unique<InboundHandler>(dependencies);
        handler->applyRecord(std::nullopt);
        handler->announce({targetId,
                           Incarnation(1),
                           SequenceNumber(1),
                           EndpointState::Serving,
                           target.address(),
                           service,
                           VersionName("v1"),
                           SlotCount(4),
                           {}});
    });
    RandomSource random = seededRandom(7);
    int notRun = 0;
    int responded = 0;
    for (int index = 0; index < requestCount; ++index) {
        const std::string attempt = std::to_string(index);
        InboundRequest request;
        request.id = RequestId(absl::StrCat("id-", uniformBelow(random, distinctIds)));
        request.request = {"GET", "/a", {}, {}};
        request.request.headers.add("Host", "h");
        request.request.headers.add("Request-Id", request.id.value());
        request.request.headers.add("Attempt", attempt);
        request.target = targetId;
        request.service = service;
        request.route = RouteName("r");
        request.isIdempotent = true;
        std::promise<InboundResult> finished;
        thread.run([&] {
            request.deadline = EventLoop::now() + Seconds(5);
            request.softDeadline = request.deadline;
            handler->handle(request, [&finished](InboundResult result) { finished.set_value(std::move(result)); });
        });
        const InboundResult result = finished.get_future().get();
        if (result.outcome == ForwardOutcome::NotRun) {
            ++notRun;
            CHECK_FALSE(target.hasRun(attempt));
        } else if (result.outcome == ForwardOutcome::Responded) {
            ++responded;
            CHECK(result.response.body == attempt);
        }
    }
    CHECK(notRun > requestCount / 4);
    CHECK(responded > requestCount / 4);
    thread.run([&] {
        handler.reset();
        client.reset();
    });
    thread.stop();
}

// Guards against a full target that is taken for a faulty one because it resets the connection, and against the
// reverse.
TEST_CASE("a lost connection shows a full target only if its slots are in use", "[proxy]")
{
    RawListener target([](const RawConnection &connection, int) {
        CHECK(connection.readUntil(endOfHead).find(endOfHead) != std::string::npos);
    });
    LoopThread thread;
    MetricsRegistry metrics;
    LinkSchedule link{DataRate()};
    for (const std::uint32_t slots : {1U, 2U}) {
        std::unique_ptr<AsyncHttpClient> client;
        std::unique_ptr<InboundHandler> handler;
        std::promise<InboundResult> finished;
        thread.run([&] {
            client = std::make_unique<AsyncHttpClient>(thread.loop());
            InboundHandlerDependencies dependencies;
            dependencies.loop = &thread.loop();
            dependencies.client = client.get();
            dependencies.link = &link;
            dependencies.metrics = &metrics;
            dependencies.headerNames = headerNames();
            dependencies.target = target.address();
            dependencies.versions = [](const ServiceName &) -> const ServiceVersions * { return nullptr; };
            dependencies.lastDependencyFailure = [] { return MonotonicTime(); };
            handler = std::make_unique<InboundHandler>(dependencies);
            handler->applyRecord(std::nullopt);
            handler->announce({targetId,
                               Incarnation(1),
                               SequenceNumber(1),
                               EndpointState::Serving,
                               target.address(),
                               service,
                               VersionName("v1"),
                               SlotCount(slots),
                               {}});
            InboundRequest request;
            request.id = RequestId("id-1");
            request.request = {"GET", "/a", {}, {}};
            request.request.headers.add("Host", "h");
            request.target = targetId;
            request.service = service;
            request.route = RouteName("r");
            request.deadline = EventLoop::now() + Seconds(5);
            request.softDeadline = request.deadline;
            handler->handle(request, [&finished](InboundResult result) { finished.set_value(std::move(result)); });
        });
        const InboundResult result = finished.get_future().get();
        CHECK(result.outcome == ForwardOutcome::MayHaveRun);
        CHECK(result.isTargetFull == (slots == 1));
        thread.run([&] {
            handler.reset();
            client.reset();
        });
    }
    thread.stop();
}

} // namespace dandeliondock::testing
