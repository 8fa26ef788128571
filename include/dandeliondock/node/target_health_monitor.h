#pragma once

#include <dandeliondock/core/time_source.h>
#include <dandeliondock/membership/target_health.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace dandeliondock {

/// \brief How the watch reaches the target and the rest of the node.
struct TargetHealthMonitorHooks
{
    TimeSource time;
    std::function<HealthCheckResult()> probe;    ///< one poll of the health page; must return within a bound
    std::function<void(EndpointState)> onChange; ///< called in the order of the changes; must not call the watch
};

/// \brief The thread that watches the local target.
///
/// \remark Every method is thread-safe; \c onChange must not call back into the watch.
class TargetHealthMonitor
{
public:
    TargetHealthMonitor(TargetHealthMonitorHooks hooks, Milliseconds interval);
    ~TargetHealthMonitor();

    TargetHealthMonitor(const TargetHealthMonitor &) = delete;
    TargetHealthMonitor &operator=(const TargetHealthMonitor &) = delete;

    /// \brief Takes in what a request showed; a drain mark is reported before this returns.
    void recordResponse(PassiveHealthSignal sign);

    /// \brief Asks the thread to end; the destructor waits for it.
    void stop();

private:
    void run();
    void pollOnce();
    [[nodiscard]] bool waitForNext();

    TargetHealthMonitorHooks m_hooks;
    Milliseconds m_interval;
    std::mutex m_changes; ///< held while a change is decided and reported, so that reports keep their order
    TargetHealth m_health;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dandeliondock
