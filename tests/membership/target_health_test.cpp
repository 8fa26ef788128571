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

// Guards against a start that is announced on the first answer of a page that leads the target.
TEST_CASE("a target serves after two healthy polls without a refusal between them", "[membership]")
{
    TargetHealth health;
    CHECK_FALSE(health.poll(HealthCheckResult::Healthy, at(0)).has_value());
    CHECK_FALSE(health.poll(HealthCheckResult::Refused, at(1)).has_value());
    CHECK_FALSE(health.poll(HealthCheckResult::Healthy, at(2)).has_value());
    CHECK(health.poll(HealthCheckResult::Healthy, at(3)) == EndpointState::Serving);
}

// Guards against a misleading page that takes a target out while it answers requests.
TEST_CASE("an unhealthy page alone never withdraws a target that answers", "[membership]")
{
    rc::prop("as long as answers come, unhealthy polls change nothing", [](const std::vector<bool> &polls) {
        TargetHealth health = servingTarget();
        int time = 0;
        for (const bool silent : polls) {
            health.recordResponse(PassiveHealthSignal::Responded, at(time));
            const auto change =
                    health.poll(silent ? HealthCheckResult::NoAnswer : HealthCheckResult::Unhealthy, at(time + 1'999));
            RC_ASSERT(!change.has_value());
            time += 1'000;
        }
    });
}

// Guards against a target that hangs and is kept because nothing refuses a connection.
TEST_CASE("an unhealthy page withdraws a target that answers nothing", "[membership]")
{
    TargetHealth health = servingTarget();
    CHECK_FALSE(health.poll(HealthCheckResult::Unhealthy, at(1)).has_value());
    CHECK_FALSE(health.poll(HealthCheckResult::NoAnswer, at(2)).has_value());
    CHECK(health.poll(HealthCheckResult::Unhealthy, at(3)) == EndpointState::Starting);
}

// Guards against a drain that is announced late, or undone by a page that lags.
TEST_CASE("a drain mark is reported at once and no healthy page undoes it", "[membership]")
{
    TargetHealth health = servingTarget();
    CHECK(health.recordResponse(PassiveHealthSignal::Draining, at(1)) == EndpointState::Leaving);
    for (int time = 2; time < 20; ++time)
        CHECK_FALSE(health.poll(HealthCheckResult::Healthy, at(time)).has_value());
    CHECK(health.state() == EndpointState::Leaving);
}

// Guards against a target that never returns after its process was replaced.
TEST_CASE("refused connections mark a target gone and a new process brings it back", "[membership]")
{
    TargetHealth health = servingTarget();
    CHECK_FALSE(health.recordResponse(PassiveHealthSignal::Refused, at(1)).has_value());
    CHECK_FALSE(health.poll(HealthCheckResult::Refused, at(2)).has_value());
    CHECK(health.recordResponse(PassiveHealthSignal::Refused, at(3)) == EndpointState::Gone);
    CHECK_FALSE(health.poll(HealthCheckResult::Healthy, at(4)).has_value());
    CHECK(health.poll(HealthCheckResult::Healthy, at(5)) == EndpointState::Serving);
}

} // namespace dandeliondock
