#include <dandeliondock/proxy/relay_read_log.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace dandeliondock {

namespace {

absl::string_view sourceName(const Address &source)
{
    return source.value().empty() ? absl::string_view("store") : absl::string_view(source.value());
}

std::string sourceNames(const std::vector<Address> &sources)
{
    return absl::StrJoin(sources, ",",
                         [](std::string *out, const Address &source) { absl::StrAppend(out, sourceName(source)); });
}

absl::string_view nameOf(PlatformReadKind kind)
{
    switch (kind) {
    case PlatformReadKind::Full:
        return "full";
    case PlatformReadKind::Changes:
        return "changes";
    case PlatformReadKind::Probe:
        break;
    }
    return "probe";
}

} // namespace

void RelayReadLog::recordSuccess(const RelayRead &read, const Address &source, const TableReadResult &result,
                                 MonotonicTime now)
{
    const auto [known, isFirst] = m_sources.try_emplace(read.table, source);
    if ((isFirst || known->second != source) && m_sourceLimiter.allow(now, m_log)) {
        LogEvent(LogLevel::Info, "relay.source")
                .field("table", read.table)
                .field("source", sourceName(source))
                .field("version", result.asOfVersion)
                .write(m_log);
    }
    known->second = source;
    if (!read.isFull)
        return;
    m_metrics.histogram("table_full_read_seconds").record(read.duration);
    if (!m_fullReadLimiter.allow(now, m_log))
        return;
    LogEvent(LogLevel::Info, "table.full_read")
            .field("table", read.table)
            .field("source", sourceName(source))
            .field("called", sourceNames(read.sources))
            .field("version", result.asOfVersion)
            .field("rows", result.rows.size())
            .field("age_ms", result.age.count())
            .field("took_ms", read.duration.count())
            .write(m_log);
}

void RelayReadLog::recordFailure(const RelayRead &read, const absl::Status &status, MonotonicTime now)
{
    m_metrics.counter("relay_read_failures_total", MetricLabel{"table", read.table.value()}).add();
    if (!m_failureLimiter.allow(now, m_log))
        return;
    LogEvent(LogLevel::Info, "relay.read_failed")
            .field("table", read.table)
            .field("full", read.isFull)
            .field("called", sourceNames(read.sources))
            .field("after_ms", read.duration.count())
            .error(status)
            .write(m_log);
}

void RelayReadLog::recordPlatformRead(const PlatformRead &read, const absl::StatusOr<TableReadResult> &result,
                                      MonotonicTime now)
{
    const ByteCount bytes = result.ok() ? result->bytes : ByteCount();
    const MetricLabel label{"read", nameOf(read.kind)};
    m_metrics.counter("platform_reads_total", label).add();
    m_metrics.counter("platform_read_bytes_total", label).add(bytes.value());
    if (!result.ok())
        m_metrics.counter("platform_read_failures_total", label).add();
    const bool isLong = bytes >= longPlatformReadBytes || read.duration >= longPlatformReadTime;
    if ((result.ok() && !isLong) || !m_platformReadLimiter.allow(now, m_log))
        return;
    LogEvent event(LogLevel::Info, "platform.read");
    event.field("table", read.table)
            .field("read", nameOf(read.kind))
            .field("took_ms", read.duration.count())
            .field("in_progress", read.inProgress);
    if (result.ok())
        event.field("bytes", bytes).field("changes", result->changes).field("version", result->asOfVersion);
    else
        event.error(result.status());
    event.write(m_log);
}

Counter &relayedBytes(MetricsRegistry &metrics, RelayDirection direction, const TableName &table, bool isFull)
{
    const absl::string_view read = isFull ? "full" : "changes";
    const absl::string_view way = direction == RelayDirection::Sent ? "sent" : "received";
    return metrics.counter(absl::StrCat("relay_", read, "_", way, "_bytes_total"), MetricLabel{"table", table.value()});
}

} // namespace dandeliondock
