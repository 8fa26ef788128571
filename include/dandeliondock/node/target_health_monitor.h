#pragma once

#include <dandeliondock/core/time_source.h>
#include <dandeliondock/membership/target_health.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace dandeliondock {

/// \brief Hooks through which the monitor polls the target and reports state changes.
struct TargetHealthMonitorHooks
{
    TimeSource time;
    std::function<HealthCheckResult()> probe;    ///< polls the health page once; must return within a bounded time
    std::function<void(EndpointState)> onChange; ///< called in the order of the changes; must not call the monitor
};

/// \brief Thread that polls the local target's health page and reports state changes.
///
/// \remark Every method is thread-safe; \c onChange must not call back into the monitor.
class TargetHealthMonitor
{
public:
    TargetHealthMonitor(TargetHealthMonitorHooks hooks, Milliseconds interval);
    ~TargetHealthMonitor();

    TargetHealthMonitor(const TargetHealthMonitor &) = delete;
    TargetHealthMonitor &operator=(const TargetHealthMonitor &) = delete;

    /// \brief Records what a request showed of the target's health; a drain marker is reported before this returns.
    void recordResponse(PassiveHealthSignal signal);

    /// \brief Requests the thread to stop; the destructor waits for it.
    void stop();

private:
    void run();
    void pollOnce();
    [[nodiscard]] bool waitForNextPoll();

    TargetHealthMonitorHooks m_hooks;
    Milliseconds m_interval;
    std::mutex m_changeMutex; ///< locked while a change is decided and reported, so that reports keep their order
    TargetHealth m_health;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopRequested = false;
    std::thread m_thread;
};

} // namespace dandeliondock
