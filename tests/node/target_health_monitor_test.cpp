#include <dandeliondock/node/target_health_monitor.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

namespace dandeliondock {

// Guards against a drain mark that waits for the next poll, and against a watch that does not end.
TEST_CASE("the watch reports a drain mark before the answer is handed on", "[node]")
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
    TargetHealthMonitor watch(hooks, Milliseconds(5));
    REQUIRE(serving.get_future().wait_for(Seconds(20)) == std::future_status::ready);
    watch.recordResponse(PassiveHealthSignal::Draining);
    CHECK(state == EndpointState::Leaving);
    watch.stop();
}

} // namespace dandeliondock
