#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/table_watch.h>
#include <dandeliondock/relay/relay_protocol.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

constexpr int maxRetryDoublings = 6;

} // namespace

TableWatch::TableWatch(EventLoop &loop, const AsyncTableHooks &table, TableName name, WatchTiming timing,
                       RandomSource random, LogSink log, Handler handler, CurrentHandler onCurrentChanged)
    : m_loop(loop), m_table(table), m_name(std::move(name)), m_timing(timing), m_random(std::move(random)),
      m_log(std::move(log)), m_handler(std::move(handler)), m_onCurrentChanged(std::move(onCurrentChanged))
{
}

void TableWatch::start()
{
    readFull();
}

void TableWatch::readNext()
{
    if (m_needsFullRead)
        readFull();
    else
        pollChanges();
}

void TableWatch::readFull()
{
    m_table.list(m_name, [this](absl::StatusOr<TableReadResult> result) { handleResult(std::move(result), true); });
}

void TableWatch::pollChanges()
{
    const std::uint64_t poll = ++m_lastPoll;
    m_timer = m_loop.after(m_timing.responseTimeout, [this] {
        ++m_lastPoll;
        handleFailure(makeError(ErrorKind::StoreUnavailable, "no response within the response timeout"));
    });
    m_table.pollChanges(m_name, m_asOfVersion, m_timing.hold, [this, poll](absl::StatusOr<TableReadResult> result) {
        const bool isFull = result.ok() && result->isFull;
        if (poll == m_lastPoll)
            handleResult(std::move(result), isFull);
        else
            handleLateResult(result);
    });
}

void TableWatch::handleResult(absl::StatusOr<TableReadResult> result, bool isFull)
{
    if (!result.ok()) {
        handleFailure(result.status());
        return;
    }
    if (isFull && !isApplicable(*result, true)) {
        handleFailure(makeError(ErrorKind::StoreUnavailable, "the full read is older than the rows already applied"));
        return;
    }
    const std::size_t distinctChanges = result->rows.size() + result->removed.size();
    // Changes of a later era are not changes of the applied rows: the table was replaced by an older copy of itself.
    const bool isLaterEra = !isFull && result->asOfVersion.era > m_asOfVersion.era;
    m_needsFullRead = isLaterEra || result->changes >= distinctChanges + maxSupersededChanges;
    if (isApplicable(*result, isFull))
        apply(*result, isFull);
    m_timer = m_loop.after(distinctChanges > 0 ? m_timing.batchDelay : Milliseconds{0}, [this] { readNext(); });
}

// Applies the result of a poll that timed out; the poll that replaced it continues.
void TableWatch::handleLateResult(const absl::StatusOr<TableReadResult> &result)
{
    if (result.ok() && isApplicable(*result, result->isFull))
        apply(*result, result->isFull);
}

// Older rows would replace the applied ones permanently, because only changes after m_asOfVersion are polled.
bool TableWatch::isApplicable(const TableReadResult &result, bool isFull) const
{
    return result.asOfVersion >= m_asOfVersion && (isFull || result.asOfVersion.era == m_asOfVersion.era);
}

void TableWatch::apply(const TableReadResult &result, bool isFull)
{
    const bool wasCurrent = isCurrent();
    m_isRecent = result.age <= maxRelayedAge;
    if (m_isRecent != wasCurrent) {
        LogEvent(LogLevel::Info, m_isRecent ? "table.regained" : "table.outdated")
                .field("table", m_name)
                .field("version", result.asOfVersion)
                .field("age_ms", result.age.count())
                .field("failures", m_failures)
                .write(m_log);
        m_onCurrentChanged(m_isRecent);
    }
    if (result.unreadable > 0) {
        LogEvent(LogLevel::Warn, "table.rows_unreadable")
                .field("table", m_name)
                .field("version", result.asOfVersion)
                .field("rows", result.unreadable)
                .write(m_log);
    }
    if (m_isSynced && result.asOfVersion.era != m_asOfVersion.era) {
        LogEvent(LogLevel::Warn, "table.era_changed")
                .field("table", m_name)
                .field("from_version", m_asOfVersion)
                .field("version", result.asOfVersion)
                .field("rows", result.rows.size())
                .write(m_log);
    }
    m_failures = 0;
    m_isSynced = true;
    m_asOfVersion = std::max(m_asOfVersion, result.asOfVersion);
    m_handler(result, isFull);
}

void TableWatch::handleFailure(const absl::Status &status)
{
    // A revision gap means that changes were missed; a single other failure, such as a broken connection, need not.
    // After several failures a full read returns less data than all the changes.
    if (errorKind(status) == ErrorKind::RevisionGap || m_failures > 0)
        m_needsFullRead = true;
    if (m_failures == 0) {
        LogEvent(LogLevel::Warn, "table.lost").field("table", m_name).error(status).write(m_log);
        m_onCurrentChanged(false);
    } else if (m_failureLimiter.allow(EventLoop::now(), m_log)) {
        LogEvent(LogLevel::Info, "table.still_lost")
                .field("table", m_name)
                .field("version", m_asOfVersion)
                .field("failures", m_failures + 1)
                .error(status)
                .write(m_log);
    }
    const Milliseconds baseDelay = std::min(
            m_timing.maxRetryDelay, m_timing.initialRetryDelay * (1 << std::min(m_failures, maxRetryDoublings)));
    ++m_failures;
    const auto delay =
            Milliseconds(uniformBelow(m_random, static_cast<std::uint64_t>(baseDelay.count()))) + baseDelay / 2;
    m_timer = m_loop.after(delay, [this] { readNext(); });
}

} // namespace dandeliondock
