#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/table_watch.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

constexpr int mostDoublings = 6;

} // namespace

TableWatch::TableWatch(EventLoop &loop, const AsyncTableHooks &table, TableName name, WatchTiming pace,
                       RandomSource random, LogSink log, Handler handler, CurrentHandler onCurrent)
    : m_loop(loop), m_table(table), m_name(std::move(name)), m_pace(pace), m_random(std::move(random)),
      m_log(std::move(log)), m_handler(std::move(handler)), m_onCurrent(std::move(onCurrent))
{
}

void TableWatch::start()
{
    read();
}

void TableWatch::next()
{
    if (m_mustRead)
        read();
    else
        follow();
}

void TableWatch::read()
{
    m_table.list(m_name, [this](absl::StatusOr<TableReadResult> reading) { received(std::move(reading), true); });
}

void TableWatch::follow()
{
    const std::uint64_t call = ++m_lastCall;
    m_timer = m_loop.after(m_pace.responseTimeout, [this] {
        ++m_lastCall;
        failed(makeError(ErrorKind::StoreUnavailable, "no answer in time"));
    });
    m_table.pollChanges(m_name, m_upTo, m_pace.hold, [this, call](absl::StatusOr<TableReadResult> reading) {
        if (call == m_lastCall)
            received(std::move(reading), false);
        else
            receivedLate(reading);
    });
}

void TableWatch::received(absl::StatusOr<TableReadResult> reading, bool isWhole)
{
    if (!reading.ok()) {
        failed(reading.status());
        return;
    }
    // Rows that are older than those handed on would undo them for good, as only later changes are asked for.
    if (isWhole && reading->asOfVersion < m_upTo) {
        failed(makeError(ErrorKind::StoreUnavailable, "the table that was read is older than what is known"));
        return;
    }
    const std::size_t kept = reading->rows.size() + reading->removed.size();
    m_mustRead = reading->changes >= kept + maxSupersededChanges;
    if (reading->asOfVersion >= m_upTo)
        take(*reading, isWhole);
    m_timer = m_loop.after(kept > 0 ? m_pace.batchDelay : Milliseconds{0}, [this] { next(); });
}

// The call that took the place of the late one goes on.
void TableWatch::receivedLate(const absl::StatusOr<TableReadResult> &reading)
{
    if (reading.ok() && reading->asOfVersion >= m_upTo)
        take(*reading, false);
}

void TableWatch::take(const TableReadResult &reading, bool isWhole)
{
    if (m_failures > 0 || !m_isSynced) {
        LogEvent(LogLevel::Info, "table.regained")
                .field("table", m_name)
                .field("version", reading.asOfVersion)
                .field("failures", m_failures)
                .write(m_log);
        m_onCurrent(true);
    }
    m_failures = 0;
    m_isSynced = true;
    m_upTo = std::max(m_upTo, reading.asOfVersion);
    m_handler(reading, isWhole);
}

void TableWatch::failed(const absl::Status &status)
{
    // After a gap the table is read whole; a connection that broke may have cost nothing.
    // After more than one failure the rows as they stand are fewer than all their changes.
    if (errorKind(status) == ErrorKind::RevisionGap || m_failures > 0)
        m_mustRead = true;
    if (m_failures == 0) {
        LogEvent(LogLevel::Warn, "table.lost").field("table", m_name).error(status).write(m_log);
        m_onCurrent(false);
    }
    const Milliseconds base =
            std::min(m_pace.longestRetry, m_pace.firstRetry * (1 << std::min(m_failures, mostDoublings)));
    ++m_failures;
    const auto wait = Milliseconds(uniformBelow(m_random, static_cast<std::uint64_t>(base.count()))) + base / 2;
    m_timer = m_loop.after(wait, [this] { next(); });
}

} // namespace dandeliondock
