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

constexpr Milliseconds callTimeout{10'000};
constexpr int faultStatus = 500;
constexpr std::uint32_t longDurationMs = 600'000;

std::unique_ptr<TargetServer> startTarget(const wire::TargetBehaviour &behaviour)
{
    auto target = TargetServer::start({});
    REQUIRE(target.ok());
    (*target)->setBehaviour(behaviour);
    return *std::move(target);
}

wire::TargetBehaviour failingBehaviour()
{
    wire::TargetBehaviour behaviour;
    behaviour.mutable_fault()->set_kind(Fault::KIND_STATUS);
    behaviour.mutable_fault()->set_status(faultStatus);
    return behaviour;
}

/// \brief Sends a GET request; returns status 0 when the call fails.
HttpResponse call(const TargetServer &target, const std::string &path)
{
    HttpClient client;
    SendOptions options;
    options.timeout = callTimeout;
    const SendResult result = client.send(target.address(), {"GET", path, {}, {}}, options);
    return result.response.ok() ? *result.response : HttpResponse{0, {}, {}};
}

std::string headerValue(const HttpResponse &response, absl::string_view name)
{
    return std::string(response.headers.first(name).value_or("absent"));
}

void waitForBusy(const TargetServer &target, std::uint32_t count)
{
    const MonotonicTime end = systemTime().monotonic() + callTimeout;
    while (target.busy() != count && systemTime().monotonic() < end)
        std::this_thread::sleep_for(Milliseconds(2));
    REQUIRE(target.busy() == count);
}

/// \brief Starts a request that stays in progress until the behaviour is replaced.
std::future<HttpResponse> holdRequest(TargetServer &target, wire::TargetBehaviour behaviour)
{
    behaviour.mutable_fault()->set_kind(Fault::KIND_SILENT);
    behaviour.mutable_fault()->set_path_prefix("/held");
    target.setBehaviour(behaviour);
    auto heldRequest = std::async(std::launch::async, [&target] { return call(target, "/held"); });
    waitForBusy(target, 1);
    return heldRequest;
}

} // namespace

// Guards against a faulty version in the rollout tests that fails from its start, so that a late fault is not tested.
TEST_CASE("a delayed fault begins after its delay and lasts", "[http]")
{
    constexpr std::uint32_t delay = 300;
    wire::TargetBehaviour behaviour = failingBehaviour();
    behaviour.mutable_fault()->set_after_ms(delay);
    const auto target = startTarget({});
    const MonotonicTime faultSetAt = systemTime().monotonic();
    target->setBehaviour(behaviour);
    MonotonicTime lastCall = faultSetAt;
    while (call(*target, "/orders").status == 200 && lastCall < faultSetAt + callTimeout)
        lastCall = systemTime().monotonic();
    CHECK(systemTime().monotonic() >= faultSetAt + Milliseconds(delay));
    CHECK(call(*target, "/orders").status == faultStatus);
}

// Guards against a fault under load that also occurs without load, or never.
TEST_CASE("a fault above a concurrency limit occurs only above it", "[http]")
{
    wire::TargetBehaviour behaviour = failingBehaviour();
    behaviour.set_work_ms(1'000);
    behaviour.mutable_fault()->set_above_concurrency(1);
    const auto target = startTarget(behaviour);
    auto first = std::async(std::launch::async, [&] { return call(*target, "/a").status; });
    waitForBusy(*target, 1);
    CHECK(call(*target, "/b").status == faultStatus);
    CHECK(first.get() == 200);
    CHECK(call(*target, "/c").status == 200);
}

// Guards against a fault of one route that affects all routes, which would be detected earlier by other evidence.
TEST_CASE("a fault on a path prefix does not affect other paths", "[http]")
{
    wire::TargetBehaviour behaviour = failingBehaviour();
    behaviour.mutable_fault()->set_path_prefix("/orders");
    const auto target = startTarget(behaviour);
    CHECK(call(*target, "/orders/7?full=1").status == faultStatus);
    CHECK(call(*target, "/prices").status == 200);
}

// Guards against a cold start that does not slow requests down, or that never ends.
TEST_CASE("a cold start slows requests down and ends", "[http]")
{
    constexpr std::uint32_t extra = 150;
    wire::TargetBehaviour behaviour;
    behaviour.set_cold_start_ms(longDurationMs);
    behaviour.set_cold_extra_ms(extra);
    const auto target = startTarget(behaviour);
    const MonotonicTime begin = systemTime().monotonic();
    CHECK(call(*target, "/prices").status == 200);
    CHECK(systemTime().monotonic() - begin >= Milliseconds(extra));
    behaviour.set_cold_start_ms(1);
    behaviour.set_cold_extra_ms(longDurationMs);
    target->setBehaviour(behaviour);
    CHECK(call(*target, "/prices").status == 200);
}

// Guards against tests of a delayed or wrong load that in fact get the true load.
TEST_CASE("the reported load is true, delayed or fixed as configured", "[http]")
{
    wire::TargetBehaviour behaviour;
    behaviour.set_slots(2);
    std::string expected = "5000";
    SECTION("true") {}
    SECTION("delayed")
    {
        behaviour.set_load_lag_ms(longDurationMs);
        expected = "0";
    }
    SECTION("fixed")
    {
        behaviour.set_fixed_load(9'000);
        expected = "9000";
    }
    const auto target = startTarget({});
    auto heldRequest = holdRequest(*target, behaviour);
    CHECK(headerValue(call(*target, "/prices"), "X-Load") == expected);
    target->setBehaviour({});
    CHECK(heldRequest.get().status == 200);
}

// Guards against a health page that reflects the state of the requests although a different status is configured.
TEST_CASE("the health page returns the configured status", "[http]")
{
    wire::TargetBehaviour unhealthy;
    unhealthy.set_health_status(503);
    const auto target = startTarget(unhealthy);
    CHECK(call(*target, "/healthz").status == 503);
    CHECK(call(*target, "/prices").status == 200);
    wire::TargetBehaviour broken = failingBehaviour();
    broken.set_health_status(200);
    target->setBehaviour(broken);
    CHECK(call(*target, "/healthz").status == 200);
    CHECK(call(*target, "/prices").status == faultStatus);
}

// Guards against a drain that shows only on the health page or only in the response header.
TEST_CASE("a draining target reports it on its health page and in its responses", "[http]")
{
    wire::TargetBehaviour behaviour;
    behaviour.set_drain_header("X-Drain");
    const auto target = startTarget(behaviour);
    CHECK(headerValue(call(*target, "/prices"), "X-Drain") == "absent");
    behaviour.set_draining(true);
    target->setBehaviour(behaviour);
    CHECK(call(*target, "/healthz").status == 503);
    CHECK(headerValue(call(*target, "/prices"), "X-Drain") == "1");
}

// Guards against a shed request that waits for a slot or counts as a run, which would hide a second run of an order.
TEST_CASE("a full target rejects a request without running it", "[http]")
{
    wire::TargetBehaviour behaviour;
    behaviour.set_slots(1);
    behaviour.set_shed_status(429);
    const auto target = startTarget({});
    auto heldRequest = holdRequest(*target, behaviour);
    HttpClient client;
    HttpRequest order{"POST", "/orders", {}, {}};
    order.headers.add("X-Request-Id", "order-1");
    const SendResult shed = client.send(target->address(), order, {});
    REQUIRE(shed.response.ok());
    CHECK(shed.response->status == 429);
    CHECK(target->runs("order-1") == 0);
    target->setBehaviour({});
    CHECK(heldRequest.get().status == 200);
}

} // namespace dandeliondock::testing
