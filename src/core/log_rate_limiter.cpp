#include <dandeliondock/core/log_rate_limiter.h>

namespace dandeliondock {

bool LogRateLimiter::allow(MonotonicTime now, const LogSink &log)
{
    const std::int64_t second = std::chrono::floor<Seconds>(now.time_since_epoch()).count();
    if (second != m_second) {
        if (m_omitted > 0)
            LogEvent(LogLevel::Warn, "log.left_out").field("lines", m_omitted).write(log);
        m_second = second;
        m_written = 0;
        m_omitted = 0;
    }
    if (m_written >= maxLogLinesPerSecond) {
        ++m_omitted;
        return false;
    }
    ++m_written;
    return true;
}

} // namespace dandeliondock
