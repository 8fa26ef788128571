#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/event_loop.h>

#include <absl/strings/string_view.h>

#include <ctime>
#include <functional>
#include <string>

namespace dandeliondock {

/// \brief Time between two looks at how late a loop runs.
inline constexpr Milliseconds loopSampleInterval{1'000};
/// \brief Lateness from which on a loop is said to be short of processor time.
inline constexpr Milliseconds lateLoopThreshold{100};

/// \brief Measures how late a duty's loop runs its timers.
///
/// Fills the histogram \c NAME_loop_lateness_seconds and writes \c proxy.short_of_time when the loop is late.
///
/// \remark Belongs to the loop's thread.
class LoopMonitor
{
public:
    /// Adds what was open at that time to the log line.
    using DetailHook = std::function<void(LogEvent &)>;

    /// \pre \c name is in snake case.
    LoopMonitor(EventLoop &loop, absl::string_view name, MetricsRegistry &metrics, LogSink log, DetailHook details);

    /// \pre Called once.
    void start();

    /// \brief How late the loop ran when it was last looked at, or runs now if the next look is overdue.
    [[nodiscard]] Milliseconds lateness() const;

private:
    void look();
    void await();

    EventLoop &m_loop;
    const std::string m_name;
    LatencyHistogram &m_histogram;
    LogSink m_log;
    DetailHook m_details;
    LoopTimer m_timer;
    MonotonicTime m_due;
    std::clock_t m_usedBefore = 0;
    Microseconds m_late{0};
};

} // namespace dandeliondock
