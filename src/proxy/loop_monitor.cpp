#include <dandeliondock/proxy/loop_monitor.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

LoopMonitor::LoopMonitor(EventLoop &loop, absl::string_view name, MetricsRegistry &metrics, LogSink log,
                         DetailHook details)
    : m_loop(loop), m_name(name), m_histogram(metrics.histogram(absl::StrCat(name, "_loop_lateness_seconds"))),
      m_log(std::move(log)), m_details(std::move(details))
{
}

void LoopMonitor::start()
{
    await();
}

Milliseconds LoopMonitor::lateness() const
{
    return std::chrono::duration_cast<Milliseconds>(std::max<Microseconds>(m_late, EventLoop::now() - m_due));
}

void LoopMonitor::await()
{
    m_due = EventLoop::now() + loopSampleInterval;
    m_usedBefore = std::clock();
    m_timer = m_loop.after(loopSampleInterval, [this] { look(); });
}

void LoopMonitor::look()
{
    m_late = EventLoop::now() - m_due;
    m_histogram.record(m_late);
    if (m_late >= lateLoopThreshold) {
        const auto used = static_cast<std::int64_t>(std::clock() - m_usedBefore) * 1'000 / CLOCKS_PER_SEC;
        LogEvent event(LogLevel::Warn, "proxy.short_of_time");
        event.field("loop", m_name)
                .field("late_ms", std::chrono::duration_cast<Milliseconds>(m_late).count())
                .field("processor_ms", used);
        m_details(event);
        event.write(m_log);
    }
    await();
}

} // namespace dandeliondock
