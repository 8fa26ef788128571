#include <dandeliondock/core/log_duty.h>

namespace dandeliondock {

LogDuty::LogDuty(LogSink sink)
    : m_sink(std::move(sink)), m_ring(logRingCapacity, OverflowPolicy::DropOldest), m_thread([this] { run(); })
{
}

LogDuty::~LogDuty()
{
    stop();
}

void LogDuty::stop()
{
    m_ring.close();
    m_stop.close();
    if (m_thread.joinable())
        m_thread.join();
}

LogSink LogDuty::sink()
{
    return [this](LogLevel level, const std::string &line) { m_ring.push({level, line}); };
}

void LogDuty::run()
{
    while (auto item = m_ring.pop()) {
        // Collects lines, so that the thread does not wake up for each of them.
        static_cast<void>(m_stop.popFor(logFlushInterval));
        m_sink(item->first, item->second);
        for (std::size_t waiting = m_ring.size(); waiting > 0; --waiting) {
            if ((item = m_ring.popFor(Microseconds{0})))
                m_sink(item->first, item->second);
        }
        reportDropped();
    }
}

void LogDuty::reportDropped()
{
    const std::uint64_t dropped = m_ring.dropped();
    if (dropped == m_reportedDrops)
        return;
    LogEvent(LogLevel::Warn, "log.dropped").field("lines", dropped - m_reportedDrops).write(m_sink);
    m_reportedDrops = dropped;
}

} // namespace dandeliondock
