#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/units.h>

#include <cstdint>

namespace dandeliondock {

/// \brief Number of lines that one kind of event may write per second; further lines are left out and counted.
inline constexpr std::uint32_t maxLogLinesPerSecond = 25;

/// \brief Limits the log lines per second of one kind of event, so that a flood of events costs little.
///
/// \remark Must be used by one thread.
class LogRateLimiter
{
public:
    /// \brief Whether a line may be written now; counts the line. The first call in a new second logs the number of
    /// lines that were left out before, if there were any.
    [[nodiscard]] bool allow(MonotonicTime now, const LogSink &log);

private:
    std::int64_t m_second = -1;
    std::uint32_t m_written = 0;
    std::uint64_t m_omitted = 0;
};

} // namespace dandeliondock
