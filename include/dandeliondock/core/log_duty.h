#pragma once

#include <dandeliondock/core/bounded_ring.h>
#include <dandeliondock/core/log_event.h>

#include <string>
#include <thread>
#include <utility>

namespace dandeliondock {

/// \brief Number of lines that can wait for the log thread; beyond it the oldest lines are dropped and counted.
inline constexpr std::size_t logRingCapacity = 4'096;

/// \brief Time for which lines are collected before they are written together.
inline constexpr Milliseconds logFlushInterval{250};

/// \brief Writes log lines on a thread of its own, so that a slow reader of the output does not block other duties.
///
/// \remark Sinks returned by sink() can be called from any thread and must not be called after this object is
/// destroyed.
class LogDuty
{
public:
    /// \param sink writes one line; called on the log thread only.
    explicit LogDuty(LogSink sink);
    ~LogDuty();
    LogDuty(const LogDuty &) = delete;
    LogDuty &operator=(const LogDuty &) = delete;

    /// \brief Writes the waiting lines and ends the thread; later lines are dropped.
    /// \pre Not called by several threads at once.
    void stop();

    /// \brief Returns a sink that queues lines for the log thread and never waits for the output. Thread-safe.
    [[nodiscard]] LogSink sink();

private:
    void run();
    void reportDropped();

    LogSink m_sink;
    BoundedRing<std::pair<LogLevel, std::string>> m_ring;
    BoundedRing<bool> m_stop{1, OverflowPolicy::Reject}; ///< closed by stop() to end the collection time early
    std::uint64_t m_reportedDrops = 0;
    std::thread m_thread;
};

} // namespace dandeliondock
