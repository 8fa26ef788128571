#include <dandeliondock/node/target_health_monitor.h>

#include <utility>

namespace dandeliondock {

TargetWatch::TargetWatch(TargetWatchHooks hooks, Milliseconds interval)
    : m_hooks(std::move(hooks)), m_interval(interval), m_thread([this] { run(); })
{
}

TargetWatch::~TargetWatch()
{
    stop();
    m_thread.join();
}

void TargetWatch::answer(AnswerSign sign)
{
    const std::scoped_lock lock(m_changes);
    if (const auto change = m_health.answer(sign, m_hooks.time.monotonic()))
        m_hooks.onChange(*change);
}

void TargetWatch::stop()
{
    const std::scoped_lock lock(m_mutex);
    m_stopping = true;
    m_wake.notify_all();
}

void TargetWatch::run()
{
    do {
        pollOnce();
    } while (waitForNext());
}

void TargetWatch::pollOnce()
{
    const HealthPoll result = m_hooks.probe();
    const std::scoped_lock lock(m_changes);
    if (const auto change = m_health.poll(result, m_hooks.time.monotonic()))
        m_hooks.onChange(*change);
}

bool TargetWatch::waitForNext()
{
    std::unique_lock lock(m_mutex);
    return !m_wake.wait_for(lock, m_interval, [this] { return m_stopping; });
}

} // namespace dandeliondock
