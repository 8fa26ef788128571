#include <dandeliondock/codec/proxy_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/target_row.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

TargetRow::TargetRow(TargetRowDependencies dependencies) : m_dependencies(std::move(dependencies)) {}

RowKey TargetRow::keyOf(const Address &inboundAddress)
{
    return RowKey(absl::StrCat(targetRowPrefix, inboundAddress.value()));
}

void TargetRow::start()
{
    read();
}

void TargetRow::announce(const Endpoint &endpoint)
{
    m_announced = endpoint;
    writeIfNeeded();
}

void TargetRow::handleTableVersion(const TableVersion &version)
{
    m_tableEra = std::max(m_tableEra, version.era);
    if (!m_isRead || m_isBusy || version <= m_version)
        return;
    m_isRead = false;
    read();
}

void TargetRow::handleRowAbsent(const TableVersion &asOfVersion)
{
    m_tableEra = std::max(m_tableEra, asOfVersion.era);
    if (!m_isRead || m_isBusy || m_version.isAbsent() || asOfVersion < m_version)
        return;
    m_isRead = false;
    read();
}

void TargetRow::read()
{
    m_isBusy = true;
    m_dependencies.table->read(m_dependencies.tableName, keyOf(m_dependencies.inboundAddress),
                               [this](const absl::StatusOr<TableReadResult> &result) { handleRead(result); });
}

void TargetRow::handleRead(const absl::StatusOr<TableReadResult> &result)
{
    if (!result.ok()) {
        retryLater(result.status());
        return;
    }
    if (result->asOfVersion.era < m_tableEra) {
        retryLater(makeError(ErrorKind::StoreUnavailable, "the row was read in an earlier era of the table"));
        return;
    }
    m_isBusy = false;
    m_isRead = true;
    m_stored.reset();
    m_version = {result->asOfVersion.era, RowVersion()};
    if (!result->rows.empty()) {
        const TableRow &row = result->rows.front();
        m_version = result->versionOf(row);
        // A row that cannot be decoded says nothing about the target and is replaced.
        if (auto record = decodeTargetRow(m_dependencies.inboundAddress, row.value); record.ok())
            m_stored = *std::move(record);
    }
    if (m_announced && m_stored == m_announced)
        m_dependencies.onRecorded(*m_announced);
    else
        m_dependencies.onRead(m_stored);
    writeIfNeeded();
}

void TargetRow::writeIfNeeded()
{
    if (!m_isRead || m_isBusy || !m_announced || m_announced == m_stored)
        return;
    m_isBusy = true;
    const RowKey key = keyOf(m_dependencies.inboundAddress);
    TableTransaction transaction;
    transaction.conditions.push_back({m_dependencies.tableName, key, m_version});
    transaction.writes.push_back({m_dependencies.tableName, {key, encodeTargetRow(*m_announced)}});
    m_dependencies.table->commit(transaction,
                                 [this, written = *m_announced](const absl::StatusOr<TableCommitResult> &result) {
                                     handleCommit(written, result);
                                 });
}

void TargetRow::handleCommit(const Endpoint &written, const absl::StatusOr<TableCommitResult> &result)
{
    if (!result.ok() || !result->committed) {
        // The write may have taken effect, or another one came first: the row is read before the next write.
        m_isRead = false;
        if (result.ok())
            read();
        else
            retryLater(result.status());
        return;
    }
    m_isBusy = false;
    m_stored = written;
    m_version = result->version;
    m_dependencies.onRecorded(written);
    // The write took effect before the table came back from an older copy, which may be without it.
    if (isOfEarlierEra()) {
        m_isRead = false;
        read();
        return;
    }
    writeIfNeeded();
}

void TargetRow::retryLater(const absl::Status &status)
{
    LogEvent event(LogLevel::Warn, "target.row_not_written");
    if (m_announced)
        event.field("target", m_announced->target);
    event.error(status).write(m_dependencies.log);
    const auto jitter =
            Milliseconds(uniformBelow(m_dependencies.random, static_cast<std::uint64_t>(rowWriteRetryDelay.count())));
    m_retryTimer = m_dependencies.loop->after(rowWriteRetryDelay / 2 + jitter, [this] { read(); });
}

} // namespace dandeliondock
