#include <dandeliondock/membership/target_health.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

MonotonicTime at(int milliseconds)
{
    return MonotonicTime(Milliseconds(milliseconds));
}

TargetHealth servingTarget()
{
    TargetHealth health;
    health.poll(HealthCheckResult::Healthy, at(0));
    health.poll(HealthCheckResult::Healthy, at(0));
    return health;
}

} // namespace

// Guards against announcing a target on the first response of a health page that is ready before the target itself.
TEST_CASE("a target is Serving after two healthy polls without a refused connection between them", "[membership]")
{
    TargetHealth health;
    CHECK_FALSE(health.poll(HealthCheckResult::Healthy, at(0)).has_value());
    CHECK_FALSE(health.poll(HealthCheckResult::Refused, at(1)).has_value());
    CHECK_FALSE(health.poll(HealthCheckResult::Healthy, at(2)).has_value());
    CHECK(health.poll(HealthCheckResult::Healthy, at(3)) == EndpointState::Serving);
}

// Guards against a wrong health page that withdraws a target which responds to requests.
TEST_CASE("an unhealthy page alone never withdraws a target that responds", "[membership]")
{
    rc::prop("while requests get responses, unhealthy polls change nothing", [](const std::vector<bool> &polls) {
        TargetHealth health = servingTarget();
        int time = 0;
        for (const bool noResponse : polls) {
            health.recordResponse(PassiveHealthSignal::Responded, at(time));
            const auto change = health.poll(noResponse ? HealthCheckResult::NoResponse : HealthCheckResult::Unhealthy,
                                            at(time + 1'999));
            RC_ASSERT(!change.has_value());
            time += 1'000;
        }
    });
}

// Guards against a target that hangs and stays Serving because it still accepts connections.
TEST_CASE("an unhealthy page withdraws a target that responds to no request", "[membership]")
{
    TargetHealth health = servingTarget();
    CHECK_FALSE(health.poll(HealthCheckResult::Unhealthy, at(1)).has_value());
    CHECK_FALSE(health.poll(HealthCheckResult::NoResponse, at(2)).has_value());
    CHECK(health.poll(HealthCheckResult::Unhealthy, at(3)) == EndpointState::Starting);
}

// Guards against a drain that is announced late, or undone by a health page that lags.
TEST_CASE("a response with the drain header is reported at once and no healthy page undoes it", "[membership]")
{
    TargetHealth health = servingTarget();
    CHECK(health.recordResponse(PassiveHealthSignal::Draining, at(1)) == EndpointState::Leaving);
    for (int time = 2; time < 20; ++time)
        CHECK_FALSE(health.poll(HealthCheckResult::Healthy, at(time)).has_value());
    CHECK(health.state() == EndpointState::Leaving);
}

// Guards against a target that stays Gone after its process was replaced.
TEST_CASE("refused connections mark a target Gone and healthy polls of a new process make it Serving again",
          "[membership]")
{
    TargetHealth health = servingTarget();
    CHECK_FALSE(health.recordResponse(PassiveHealthSignal::Refused, at(1)).has_value());
    CHECK_FALSE(health.poll(HealthCheckResult::Refused, at(2)).has_value());
    CHECK(health.recordResponse(PassiveHealthSignal::Refused, at(3)) == EndpointState::Gone);
    CHECK_FALSE(health.poll(HealthCheckResult::Healthy, at(4)).has_value());
    CHECK(health.poll(HealthCheckResult::Healthy, at(5)) == EndpointState::Serving);
}

} // namespace dandeliondock
