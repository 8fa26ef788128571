#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/units.h>

#include <cstdint>

namespace dandeliondock {

/// \brief Lines that one kind of event may write in a second; what is above it is counted.
inline constexpr std::uint32_t maxLogLinesPerSecond = 25;

/// \brief Bounds the lines of one kind of event, so that a flood of them costs no more than a few.
///
/// \remark Belongs to one thread.
class LogRateLimiter
{
public:
    /// \brief Whether a line may be written now. The first line of a second tells how many were left out before.
    [[nodiscard]] bool allow(MonotonicTime now, const LogSink &log);

private:
    std::int64_t m_second = -1;
    std::uint32_t m_written = 0;
    std::uint64_t m_leftOut = 0;
};

} // namespace dandeliondock
