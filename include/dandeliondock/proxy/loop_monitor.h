#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/event_loop.h>

#include <absl/strings/string_view.h>

#include <ctime>
#include <functional>
#include <string>

namespace dandeliondock {

/// \brief Time between two measurements of a loop's lateness.
inline constexpr Milliseconds loopSampleInterval{1'000};
/// \brief Lateness from which a loop is logged as late.
inline constexpr Milliseconds lateLoopThreshold{100};

/// \brief Measures the timer lateness of a duty's event loop.
///
/// Records it in the histogram \c NAME_loop_lateness_seconds and logs \c proxy.short_of_time when the loop is late.
///
/// \remark Belongs to the loop's thread.
class LoopMonitor
{
public:
    /// Adds fields about the work in progress to the log line of a late loop.
    using DetailHook = std::function<void(LogEvent &)>;

    /// \pre \c name is in snake case.
    LoopMonitor(EventLoop &loop, absl::string_view name, MetricsRegistry &metrics, LogSink log, DetailHook details);

    /// \pre Called once.
    void start();

    /// \brief Returns the lateness at the last measurement, or the present one if the next measurement is overdue by
    /// more.
    [[nodiscard]] Milliseconds lateness() const;

private:
    void takeSample();
    void scheduleSample();

    EventLoop &m_loop;
    const std::string m_name;
    LatencyHistogram &m_histogram;
    LogSink m_log;
    DetailHook m_details;
    LoopTimer m_timer;
    MonotonicTime m_sampleDue;
    std::clock_t m_processorTimeBefore = 0; ///< processor time of the process when the sample was scheduled
    Microseconds m_lateness{0};
};

} // namespace dandeliondock
