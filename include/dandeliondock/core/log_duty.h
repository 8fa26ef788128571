#pragma once

#include <dandeliondock/core/bounded_ring.h>
#include <dandeliondock/core/log_event.h>

#include <string>
#include <thread>
#include <utility>

namespace dandeliondock {

/// \brief Lines that may wait for the log's thread; the oldest are dropped and counted when there are more.
inline constexpr std::size_t logRingCapacity = 4'096;

/// \brief Time for which lines gather before they are written together.
inline constexpr Milliseconds logFlushInterval{250};

/// \brief Writes log lines on a thread of its own, so that no other duty waits for a slow reader of the output.
///
/// \remark sink() may be used from any thread as long as this object lives.
class LogDuty
{
public:
    /// \param sink writes one line; called on the log's thread only.
    explicit LogDuty(LogSink sink);
    ~LogDuty();
    LogDuty(const LogDuty &) = delete;
    LogDuty &operator=(const LogDuty &) = delete;

    /// \brief Writes what waits and ends the thread; later lines are dropped. Call from one thread.
    void finish();

    /// \brief A sink that never blocks. Thread-safe.
    [[nodiscard]] LogSink sink();

private:
    void run();
    void tellDropped();

    LogSink m_sink;
    BoundedRing<std::pair<LogLevel, std::string>> m_ring;
    BoundedRing<bool> m_stop{1, OverflowPolicy::Reject}; ///< closed to end a wait early
    std::uint64_t m_told = 0;
    std::thread m_thread;
};

} // namespace dandeliondock
