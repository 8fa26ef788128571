#include "standins/target_server.h"
#include "support/child_process.h"
#include "support/fixed_routing.h"
#include "support/raw_socket.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/node/ingress.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <atomic>
#include <future>
#include <sys/resource.h>
#include <thread>

namespace dandeliondock::testing {
namespace {

using standins::TargetServer;
using Fault = wire::TargetFault;

constexpr Milliseconds testTimeout{5'000};
constexpr absl::string_view outcomeHeader = "X-Dandeliondock-Outcome";

std::unique_ptr<TargetServer> startTarget()
{
    auto target = TargetServer::start({});
    REQUIRE(target.ok());
    return *std::move(target);
}

/// \brief Sets the fault of a target. KIND_STATUS makes it shed requests with status 429 without executing them.
void setFault(TargetServer &target, Fault::Kind kind, std::uint32_t delay = 0, std::uint32_t cutAfter = 100)
{
    wire::TargetBehaviour behaviour;
    behaviour.set_shed_status(429);
    behaviour.mutable_fault()->set_kind(kind);
    behaviour.mutable_fault()->set_delay_ms(delay);
    behaviour.mutable_fault()->set_status(429);
    behaviour.mutable_fault()->set_cut_after_bytes(cutAfter);
    target.setBehaviour(behaviour);
}

/// \brief An ingress that sends requests to the given targets.
struct IngressFixture
{
    explicit IngressFixture(const std::vector<Address> &targets, Milliseconds timeout = Milliseconds(2'000),
                            RetryBudgetLimits limits = {})
        : routing(std::make_shared<FixedRouting>(targets, timeout)),
          attemptReports(std::make_shared<BoundedRing<AttemptReport>>(1'024, OverflowPolicy::DropOldest)),
          metrics(std::make_shared<MetricsRegistry>())
    {
        auto started = IngressBuilder()
                               .listen("127.0.0.1", 0)
                               .routing(routing->hooks())
                               .attemptReports(attemptReports)
                               .budget(std::make_shared<RetryBudget>(limits))
                               .metrics(metrics)
                               .start();
        REQUIRE(started.ok());
        ingress = *std::move(started);
        address = Address(absl::StrCat("127.0.0.1:", ingress->port()));
    }

    SendResult call(HttpRequest request, Milliseconds timeout = testTimeout)
    {
        SendOptions options;
        options.timeout = timeout;
        return client.send(address, request, options);
    }

    std::shared_ptr<FixedRouting> routing;
    std::shared_ptr<BoundedRing<AttemptReport>> attemptReports;
    std::shared_ptr<MetricsRegistry> metrics;
    std::unique_ptr<Ingress> ingress;
    Address address;
    HttpClient client;
};

HttpRequest orderWithId(const std::string &id)
{
    HttpRequest request{"POST", "/orders", {}, "finisher"};
    request.headers.add("X-Request-Id", id);
    return request;
}

std::string outcomeOf(const HttpResponse &response)
{
    return std::string(response.headers.first(outcomeHeader).value_or(""));
}

} // namespace

// Guards against a request that is executed twice, and against a refusal that wrongly says "not-run".
TEST_CASE("a non-idempotent request runs at most once under any target fault", "[node]")
{
    const auto first = startTarget();
    const auto second = startTarget();
    // Large, because an exhausted budget would prevent, and so hide, a retry that the attempt tracker wrongly allows.
    const RetryBudgetLimits largeBudget{fullShare, 10'000};
    IngressFixture fixture({first->address(), second->address(), Address("127.0.0.1:1")}, Milliseconds(150),
                           largeBudget);
    int order = 0;
    rc::prop("at most one run, and the reported outcome is correct",
             [&](std::uint8_t firstFault, std::uint8_t secondFault) {
                 constexpr int kinds = Fault::KIND_CLOSE + 1;
                 setFault(*first, static_cast<Fault::Kind>(firstFault % kinds), 200);
                 setFault(*second, static_cast<Fault::Kind>(secondFault % kinds), 200);
                 const std::string id = absl::StrCat("order-", ++order);
                 const SendResult result = fixture.call(orderWithId(id));
                 const std::uint32_t runs = first->runs(id) + second->runs(id);
                 RC_ASSERT(runs <= 1U);
                 if (!result.response.ok()) {
                     RC_ASSERT(errorKind(result.response.status()) == ErrorKind::Truncated);
                     return;
                 }
                 const std::string outcome = outcomeOf(*result.response);
                 RC_ASSERT((outcome == "not-run") == (runs == 0U));
                 RC_ASSERT(outcome.empty() == result.response->headers.first("X-Version").has_value());
             });
    CHECK(eventually([&] { return fixture.routing->openSessions() == 0; }, testTimeout));
}

// Guards against a late response that is delivered to another caller's request or for an abandoned attempt.
TEST_CASE("each response belongs to its request when responses are late", "[node]")
{
    const auto target = startTarget();
    IngressFixture fixture({target->address()}, Milliseconds(60));
    setFault(*target, Fault::KIND_SLOW, 70);
    std::atomic<int> mismatched{0};
    std::atomic<int> responded{0};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 8; ++caller) {
        callers.emplace_back([&, caller] {
            for (int n = 0; n < 25; ++n) {
                if (caller == 0)
                    setFault(*target, Fault::KIND_SLOW, n % 3 == 0 ? 70 : static_cast<std::uint32_t>(n % 10));
                const std::string path = absl::StrCat("/lookup/", caller, "/", n);
                const SendResult result = fixture.call({"GET", path, {}, {}});
                if (!result.response.ok() || result.response->status != 200)
                    continue;
                ++responded;
                mismatched += result.response->body == absl::StrCat("GET ", path, " ") ? 0 : 1;
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    CHECK(mismatched == 0);
    CHECK(responded > 20);
}

// Guards against a planned stop that aborts requests or streamed downloads.
TEST_CASE("a drain aborts no request and lets a download finish", "[node]")
{
    const auto target = startTarget();
    IngressFixture fixture({target->address()});
    wire::TargetBehaviour behaviour;
    behaviour.set_body_bytes(1U << 20U);
    behaviour.set_body_block_delay_ms(5);
    behaviour.set_work_ms(50);
    target->setBehaviour(behaviour);
    std::vector<std::future<SendResult>> calls;
    for (int i = 0; i < 4; ++i)
        calls.push_back(std::async(std::launch::async, [&] { return fixture.call({"GET", "/archive", {}, {}}); }));
    REQUIRE(eventually([&] { return fixture.ingress->activeRequests() == 4; }, testTimeout));
    CHECK(fixture.ingress->drain(testTimeout));
    fixture.ingress->stop();
    for (std::future<SendResult> &call : calls) {
        const SendResult result = call.get();
        REQUIRE(result.response.ok());
        CHECK(result.response->body.size() == 1U << 20U);
    }
    CHECK(fixture.routing->openSessions() == 0);
}

// Guards against a stop that drops a request sent on a keep-alive connection just after the previous one ended.
TEST_CASE("a drain serves requests that arrive on open connections", "[node]")
{
    const auto target = startTarget();
    IngressFixture fixture({target->address()});
    const RawConnection caller(fixture.ingress->port());
    const std::string request = "GET /late HTTP/1.1\r\nHost: a\r\n\r\n";
    caller.write(request);
    REQUIRE_FALSE(caller.readUntil("GET /late").empty());
    auto stopped = std::async(std::launch::async, [&] {
        const bool drained = fixture.ingress->drain(testTimeout);
        fixture.ingress->stop();
        return drained;
    });
    std::this_thread::sleep_for(Milliseconds(300));
    caller.write(request);
    const std::string response = caller.readAll();
    CHECK(absl::StrContains(response, "GET /late"));
    CHECK(absl::StrContains(response, "Connection: close"));
    CHECK(stopped.get());
}

// Guards against a request that comes late in a planned stop, is passed on and is cut off without a response when the
// time for the stop ends.
TEST_CASE("a drain refuses requests whose deadline is later than its end", "[node]")
{
    const auto target = startTarget();
    IngressFixture fixture({target->address()});
    wire::TargetBehaviour behaviour;
    behaviour.set_work_ms(600);
    target->setBehaviour(behaviour);
    const RawConnection late(fixture.ingress->port());
    auto busy = std::async(std::launch::async, [&] { return fixture.call(orderWithId("busy")); });
    REQUIRE(eventually([&] { return fixture.ingress->activeRequests() == 1; }, testTimeout));
    auto stopped = std::async(std::launch::async, [&] {
        const bool drained = fixture.ingress->drain(Milliseconds(900));
        fixture.ingress->stop();
        return drained;
    });
    std::this_thread::sleep_for(Milliseconds(400));
    late.write("POST /orders HTTP/1.1\r\nHost: a\r\nX-Request-Id: late\r\nContent-Length: 0\r\n\r\n");
    const std::string response = late.readAll();
    CHECK_THAT(response, Catch::Contains("503 "));
    CHECK_THAT(response, Catch::Contains("not-run"));
    CHECK(target->runs("late") == 0);
    CHECK(busy.get().response.ok());
    CHECK(stopped.get());
}

// Guards against a shed request that is reported as a failure, and against a retry on the same target.
TEST_CASE("a shed request is retried on another target", "[node]")
{
    const auto shedding = startTarget();
    const auto healthy = startTarget();
    setFault(*shedding, Fault::KIND_STATUS);
    IngressFixture fixture({shedding->address(), healthy->address()});
    const SendResult result = fixture.call(orderWithId("a"));
    REQUIRE(result.response.ok());
    CHECK(result.response->status == 200);
    CHECK(healthy->runs("a") == 1);
    CHECK(fixture.metrics->counter("ingress_extra_attempts_total", "overloaded").value() == 1);
    const std::optional<AttemptReport> first = fixture.attemptReports->popFor(testTimeout);
    REQUIRE(first);
    CHECK(first->outcome.result == AttemptResult::Shed);
    CHECK(first->outcome.reportedLoad);

    setFault(*healthy, Fault::KIND_STATUS);
    const SendResult refused = fixture.call(orderWithId("b"));
    CHECK(refused.response->status == 503);
    CHECK(outcomeOf(*refused.response) == "not-run");
}

// Guards against reporting "not-run" for a request that an unresponsive or closing target may have executed.
TEST_CASE("a lost response is reported as may-have-run", "[node]")
{
    const auto target = startTarget();
    IngressFixture fixture({target->address()}, Milliseconds(100));
    setFault(*target, Fault::KIND_CLOSE);
    const SendResult closed = fixture.call(orderWithId("closed"));
    CHECK(closed.response->status == 502);
    CHECK(outcomeOf(*closed.response) == "may-have-run");
    setFault(*target, Fault::KIND_SILENT);
    const SendResult silent = fixture.call(orderWithId("silent"));
    CHECK(silent.response->status == 504);
    CHECK(outcomeOf(*silent.response) == "may-have-run");
    const SendResult unmatched = fixture.call({"GET", "/absent", {}, {}});
    CHECK(unmatched.response->status == 404);
    CHECK(outcomeOf(*unmatched.response) == "not-run");
    IngressFixture empty({});
    CHECK(outcomeOf(*empty.call(orderWithId("none")).response) == "not-run");
}

// Guards against a body that the target truncates and that looks complete to the caller.
TEST_CASE("a truncated body is visible to the caller", "[node]")
{
    const auto target = startTarget();
    IngressFixture fixture({target->address()});
    setFault(*target, Fault::KIND_CUT, 0, 200'000);
    const SendResult late = fixture.call({"GET", "/archive", {}, {}});
    CHECK(errorKind(late.response.status()) == ErrorKind::Truncated);
    CHECK(eventually([&] { return fixture.metrics->counter("ingress_cut_bodies_total").value() == 1; }, testTimeout));
}

// Guards against a truncated short response that is forwarded as a complete one.
TEST_CASE("a truncated short response becomes an error", "[node]")
{
    RawListener target([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("finisher"));
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    });
    IngressFixture fixture({target.address()});
    const SendResult result = fixture.call(orderWithId("a"));
    REQUIRE(result.response.ok());
    CHECK(result.response->status == 502);
    CHECK(outcomeOf(*result.response) == "may-have-run");
}

// Guards against a node that buffers a complete download in memory.
TEST_CASE("a long response is streamed in constant memory", "[node]")
{
    constexpr std::uint64_t bodyBytes = std::uint64_t{400} << 20U;
    constexpr long allowedGrowthKilobytes = 64 * 1024;
    const auto target = startTarget();
    IngressFixture fixture({target->address()}, Milliseconds(1'000));
    wire::TargetBehaviour behaviour;
    behaviour.set_body_bytes(bodyBytes);
    target->setBehaviour(behaviour);
    struct rusage before = {};
    getrusage(RUSAGE_SELF, &before);
    const auto call = fixture.client.start(fixture.address, {"GET", "/archive", {}, {}}, {}, ByteCount(1U << 16U));
    while (!call->isResponseReady())
        static_cast<void>(HttpCall::wait({call.get()}, {}, testTimeout));
    std::vector<char> buffer(1U << 16U);
    std::uint64_t received = 0;
    while (true) {
        const absl::StatusOr<std::size_t> part = call->read(buffer.data(), buffer.size(), testTimeout);
        REQUIRE(part.ok());
        if (*part == 0)
            break;
        received += *part;
    }
    struct rusage after = {};
    getrusage(RUSAGE_SELF, &after);
    CHECK(received == bodyBytes);
    CHECK(after.ru_maxrss - before.ru_maxrss < allowedGrowthKilobytes);
}

// Guards against work that continues at a target after the caller has disconnected.
TEST_CASE("a caller that disconnects cancels its request", "[node]")
{
    const auto target = startTarget();
    IngressFixture fixture({target->address()}, Milliseconds(10'000));
    setFault(*target, Fault::KIND_SILENT);
    {
        const RawConnection caller(fixture.ingress->port());
        caller.write("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
        REQUIRE(eventually([&] { return target->busy() == 1; }, testTimeout));
    }
    CHECK(eventually([&] { return target->cancelled() == 1; }, testTimeout));
    CHECK(eventually([&] { return fixture.routing->openSessions() == 0; }, testTimeout));
    const std::optional<AttemptReport> report = fixture.attemptReports->popFor(testTimeout);
    REQUIRE(report);
    CHECK(report->outcome.result == AttemptResult::Cancelled);
}

// Guards against an idempotent request that waits for a slow target while another one is idle.
TEST_CASE("a slow idempotent request is hedged", "[node]")
{
    const auto quick = startTarget();
    const auto slow = startTarget();
    IngressFixture fixture({quick->address(), slow->address()});
    for (int i = 0; i < 100; ++i)
        REQUIRE(fixture.call({"GET", "/lookup", {}, {}}).response.ok());
    setFault(*slow, Fault::KIND_SILENT);
    for (int i = 0; i < 4; ++i) {
        const SendResult result = fixture.call({"GET", "/lookup", {}, {}});
        REQUIRE(result.response.ok());
        CHECK(result.response->status == 200);
    }
    CHECK(fixture.metrics->counter("ingress_extra_attempts_total", "hedge").value() >= 1);
}

// Guards against forwarding hop-by-hop headers, an outdated deadline or the verdict of another node.
TEST_CASE("only end-to-end headers are forwarded, with the current deadline", "[node]")
{
    std::string received;
    RawListener target([&](const RawConnection &connection, int) {
        received = connection.readUntil("\r\n\r\n");
        connection.write("HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nConnection: close, X-Hop\r\n"
                         "X-Hop: 1\r\nX-Dandeliondock-Outcome: not-run\r\nContent-Length: 2\r\n\r\nok");
    });
    IngressFixture fixture({target.address()}, Milliseconds(500));
    HttpRequest request{"GET", "/a%2Fb?x=%ff", {}, {}};
    request.headers.add("Proxy-Authorization", "secret");
    request.headers.add("X-Deadline-Ms", "9000");
    const SendResult result = fixture.call(request);
    REQUIRE(result.response.ok());
    CHECK(absl::StartsWith(received, "GET /a%2Fb?x=%ff HTTP/1.1\r\n"));
    CHECK_FALSE(absl::StrContains(received, "secret"));
    const std::size_t at = received.find("X-Deadline-Ms: ");
    REQUIRE(at != std::string::npos);
    CHECK(std::stoi(received.substr(at + 15)) <= 500);
    CHECK_FALSE(result.response->headers.first("X-Hop"));
    CHECK_FALSE(result.response->headers.first(outcomeHeader));
    int cookies = 0;
    for (const HttpHeader &line : result.response->headers.lines())
        cookies += absl::EqualsIgnoreCase(line.name, "Set-Cookie") ? 1 : 0;
    CHECK(cookies == 2);
}

} // namespace dandeliondock::testing
