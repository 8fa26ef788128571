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
    scheduleSample();
}

Milliseconds LoopMonitor::lateness() const
{
    return std::chrono::duration_cast<Milliseconds>(std::max<Microseconds>(m_lateness, EventLoop::now() - m_sampleDue));
}

void LoopMonitor::scheduleSample()
{
    m_sampleDue = EventLoop::now() + loopSampleInterval;
    m_processorTimeBefore = std::clock();
    m_timer = m_loop.after(loopSampleInterval, [this] { takeSample(); });
}

void LoopMonitor::takeSample()
{
    m_lateness = EventLoop::now() - m_sampleDue;
    m_histogram.record(m_lateness);
    if (m_lateness >= lateLoopThreshold) {
        const auto processorMs =
                static_cast<std::int64_t>(std::clock() - m_processorTimeBefore) * 1'000 / CLOCKS_PER_SEC;
        LogEvent event(LogLevel::Warn, "proxy.short_of_time");
        event.field("loop", m_name)
                .field("late_ms", std::chrono::duration_cast<Milliseconds>(m_lateness).count())
                .field("processor_ms", processorMs);
        m_details(event);
        event.write(m_log);
    }
    scheduleSample();
}

} // namespace dandeliondock
