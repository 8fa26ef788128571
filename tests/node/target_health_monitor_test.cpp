#include <dandeliondock/node/target_health_monitor.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

namespace dandeliondock {

// Guards against a drain marker that is only reported after the next poll, and against a monitor that does not stop.
TEST_CASE("the monitor reports a drain marker before recordResponse() returns", "[node]")
{
    std::promise<void> serving;
    std::atomic<EndpointState> state = EndpointState::Starting;
    TargetHealthMonitorHooks hooks;
    hooks.time = systemTime();
    hooks.probe = [] { return HealthCheckResult::Healthy; };
    hooks.onChange = [&](EndpointState change) {
        state = change;
        if (change == EndpointState::Serving)
            serving.set_value();
    };
    TargetHealthMonitor monitor(hooks, Milliseconds(5));
    REQUIRE(serving.get_future().wait_for(Seconds(20)) == std::future_status::ready);
    monitor.recordResponse(PassiveHealthSignal::Draining);
    CHECK(state == EndpointState::Leaving);
    monitor.stop();
}

} // namespace dandeliondock
