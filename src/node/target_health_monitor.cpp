#include <dandeliondock/node/target_health_monitor.h>

#include <utility>

namespace dandeliondock {

TargetHealthMonitor::TargetHealthMonitor(TargetHealthMonitorHooks hooks, Milliseconds interval)
    : m_hooks(std::move(hooks)), m_interval(interval), m_thread([this] { run(); })
{
}

TargetHealthMonitor::~TargetHealthMonitor()
{
    stop();
    m_thread.join();
}

void TargetHealthMonitor::recordResponse(PassiveHealthSignal signal)
{
    const std::scoped_lock lock(m_changeMutex);
    if (const auto change = m_health.recordResponse(signal, m_hooks.time.monotonic()))
        m_hooks.onChange(*change);
}

void TargetHealthMonitor::stop()
{
    const std::scoped_lock lock(m_mutex);
    m_stopRequested = true;
    m_wake.notify_all();
}

void TargetHealthMonitor::run()
{
    do {
        pollOnce();
    } while (waitForNextPoll());
}

void TargetHealthMonitor::pollOnce()
{
    const HealthCheckResult result = m_hooks.probe();
    const std::scoped_lock lock(m_changeMutex);
    if (const auto change = m_health.poll(result, m_hooks.time.monotonic()))
        m_hooks.onChange(*change);
}

bool TargetHealthMonitor::waitForNextPoll()
{
    std::unique_lock lock(m_mutex);
    return !m_wake.wait_for(lock, m_interval, [this] { return m_stopRequested; });
}

} // namespace dandeliondock
