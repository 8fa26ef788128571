#include "standins/target_server.h"

#include <dandeliondock/http/client.h>

#include <catch2/catch.hpp>

#include <future>
#include <string>
#include <thread>

namespace dandeliondock::testing {
namespace {

using standins::TargetServer;
using Fault = wire::TargetFault;

constexpr Milliseconds patience{10'000};
constexpr int faultStatus = 500;
constexpr std::uint32_t longMilliseconds = 600'000;

std::unique_ptr<TargetServer> startTarget(const wire::TargetBehaviour &behaviour)
{
    auto target = TargetServer::start({});
    REQUIRE(target.ok());
    (*target)->setBehaviour(behaviour);
    return *std::move(target);
}

wire::TargetBehaviour failing()
{
    wire::TargetBehaviour behaviour;
    behaviour.mutable_fault()->set_kind(Fault::KIND_STATUS);
    behaviour.mutable_fault()->set_status(faultStatus);
    return behaviour;
}

/// \brief Status 0 stands for a call that failed.
HttpResponse call(const TargetServer &target, const std::string &path)
{
    HttpClient client;
    SendOptions options;
    options.timeout = patience;
    const SendResult result = client.send(target.address(), {"GET", path, {}, {}}, options);
    return result.response.ok() ? *result.response : HttpResponse{0, {}, {}};
}

std::string headerOf(const HttpResponse &response, absl::string_view name)
{
    return std::string(response.headers.first(name).value_or("absent"));
}

void waitBusy(const TargetServer &target, std::uint32_t count)
{
    const MonotonicTime end = systemTime().monotonic() + patience;
    while (target.busy() != count && systemTime().monotonic() < end)
        std::this_thread::sleep_for(Milliseconds(2));
    REQUIRE(target.busy() == count);
}

/// \brief A request that stays in progress until the behaviour is replaced.
std::future<HttpResponse> holdRequest(TargetServer &target, wire::TargetBehaviour behaviour)
{
    behaviour.mutable_fault()->set_kind(Fault::KIND_SILENT);
    behaviour.mutable_fault()->set_path_prefix("/held");
    target.setBehaviour(behaviour);
    auto held = std::async(std::launch::async, [&target] { return call(target, "/held"); });
    waitBusy(target, 1);
    return held;
}

} // namespace

// Guards against a bad version of the rollout tests that fails from its start, so that they test no late fault.
TEST_CASE("a fault with a delay shows after it and stays", "[http]")
{
    constexpr std::uint32_t delay = 300;
    wire::TargetBehaviour behaviour = failing();
    behaviour.mutable_fault()->set_after_ms(delay);
    const auto target = startTarget({});
    const MonotonicTime set = systemTime().monotonic();
    target->setBehaviour(behaviour);
    MonotonicTime answered = set;
    while (call(*target, "/orders").status == 200 && answered < set + patience)
        answered = systemTime().monotonic();
    CHECK(systemTime().monotonic() >= set + Milliseconds(delay));
    CHECK(call(*target, "/orders").status == faultStatus);
}

// Guards against a load-only fault that shows without load, or never.
TEST_CASE("a fault above a concurrency shows only above it", "[http]")
{
    wire::TargetBehaviour behaviour = failing();
    behaviour.set_work_ms(1'000);
    behaviour.mutable_fault()->set_above_concurrency(1);
    const auto target = startTarget(behaviour);
    auto first = std::async(std::launch::async, [&] { return call(*target, "/a").status; });
    waitBusy(*target, 1);
    CHECK(call(*target, "/b").status == faultStatus);
    CHECK(first.get() == 200);
    CHECK(call(*target, "/c").status == 200);
}

// Guards against a fault of one route that hits all routes, which other evidence would find sooner.
TEST_CASE("a fault on a path prefix leaves other paths alone", "[http]")
{
    wire::TargetBehaviour behaviour = failing();
    behaviour.mutable_fault()->set_path_prefix("/orders");
    const auto target = startTarget(behaviour);
    CHECK(call(*target, "/orders/7?full=1").status == faultStatus);
    CHECK(call(*target, "/prices").status == 200);
}

// Guards against a cold start that is not slow, or that never ends.
TEST_CASE("a cold start slows requests and ends", "[http]")
{
    constexpr std::uint32_t extra = 150;
    wire::TargetBehaviour behaviour;
    behaviour.set_cold_start_ms(longMilliseconds);
    behaviour.set_cold_extra_ms(extra);
    const auto target = startTarget(behaviour);
    const MonotonicTime begin = systemTime().monotonic();
    CHECK(call(*target, "/prices").status == 200);
    CHECK(systemTime().monotonic() - begin >= Milliseconds(extra));
    behaviour.set_cold_start_ms(1);
    behaviour.set_cold_extra_ms(longMilliseconds);
    target->setBehaviour(behaviour);
    CHECK(call(*target, "/prices").status == 200);
}

// Guards against tests of lagging and false load that run with the true one.
TEST_CASE("the reported load is true, lags or is false as told", "[http]")
{
    wire::TargetBehaviour behaviour;
    behaviour.set_slots(2);
    std::string expected = "5000";
    SECTION("true") {}
    SECTION("lagging")
    {
        behaviour.set_load_lag_ms(longMilliseconds);
        expected = "0";
    }
    SECTION("false")
    {
        behaviour.set_fixed_load(9'000);
        expected = "9000";
    }
    const auto target = startTarget({});
    auto held = holdRequest(*target, behaviour);
    CHECK(headerOf(call(*target, "/prices"), "X-Load") == expected);
    target->setBehaviour({});
    CHECK(held.get().status == 200);
}

// Guards against a health page that follows the requests when it is meant to mislead.
TEST_CASE("the health page misleads as told", "[http]")
{
    wire::TargetBehaviour unwell;
    unwell.set_health_status(503);
    const auto target = startTarget(unwell);
    CHECK(call(*target, "/healthz").status == 503);
    CHECK(call(*target, "/prices").status == 200);
    wire::TargetBehaviour broken = failing();
    broken.set_health_status(200);
    target->setBehaviour(broken);
    CHECK(call(*target, "/healthz").status == 200);
    CHECK(call(*target, "/prices").status == faultStatus);
}

// Guards against a drain that shows on one of its two signs only.
TEST_CASE("a draining target says so on its health page and its answers", "[http]")
{
    wire::TargetBehaviour behaviour;
    behaviour.set_drain_header("X-Drain");
    const auto target = startTarget(behaviour);
    CHECK(headerOf(call(*target, "/prices"), "X-Drain") == "absent");
    behaviour.set_draining(true);
    target->setBehaviour(behaviour);
    CHECK(call(*target, "/healthz").status == 503);
    CHECK(headerOf(call(*target, "/prices"), "X-Drain") == "1");
}

// Guards against a shed that waits for a slot or counts as a run, which would hide a second run of an order.
TEST_CASE("a full target sheds without a run", "[http]")
{
    wire::TargetBehaviour behaviour;
    behaviour.set_slots(1);
    behaviour.set_shed_status(429);
    const auto target = startTarget({});
    auto held = holdRequest(*target, behaviour);
    HttpClient client;
    HttpRequest order{"POST", "/orders", {}, {}};
    order.headers.add("X-Request-Id", "order-1");
    const SendResult shed = client.send(target->address(), order, {});
    REQUIRE(shed.response.ok());
    CHECK(shed.response->status == 429);
    CHECK(target->runs("order-1") == 0);
    target->setBehaviour({});
    CHECK(held.get().status == 200);
}

} // namespace dandeliondock::testing
