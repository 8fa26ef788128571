#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/membership/endpoint.h>
#include <dandeliondock/store/async_table.h>

#include <absl/strings/string_view.h>

#include <functional>
#include <optional>

namespace dandeliondock {

/// \brief Prefix of the row keys of targets in the shared table.
inline constexpr absl::string_view targetRowPrefix = "target/";

/// \brief Base delay before a failed read or write of a target's or service's row is retried.
inline constexpr Milliseconds rowWriteRetryDelay{400};

/// \brief Dependencies of a target row.
struct TargetRowDependencies
{
    EventLoop *loop = nullptr;
    const AsyncTableHooks *table = nullptr; ///< of the platform, not relayed
    TableName tableName;
    Address inboundAddress; ///< of this proxy; part of the row's key
    RandomSource random;
    LogSink log;
    /// Called with the record that the row holds, empty if there is none: first after start(), and again when another
    /// writer has changed the row.
    std::function<void(const std::optional<Endpoint> &)> onRead;
    /// Called when the row holds an announced record.
    std::function<void(const Endpoint &)> onRecorded;
};

/// \brief The row of the target on this instance in the shared table.
///
/// The row outlives the process: it tells the next process at this address what this one has acknowledged to the
/// target. It is read from the platform before the first write, and each write is conditional on the version last seen,
/// so that a late write of an earlier process replaces no newer record. When the table comes back from an older copy,
/// the row is read, and written again if it was lost.
///
/// \remark Belongs to the control duty's thread.
class TargetRow
{
public:
    explicit TargetRow(TargetRowDependencies dependencies);
    TargetRow(const TargetRow &) = delete;
    TargetRow &operator=(const TargetRow &) = delete;

    /// \brief Reads the row, and retries until the platform responds.
    void start();

    /// \brief Writes a record, and retries until the row holds it or another one is announced.
    void announce(const Endpoint &endpoint);

    /// \brief Takes note of the row's version in the shared table. The version of another writer is read, and its
    /// record is replaced by the announced one.
    void handleTableVersion(const TableVersion &version);

    /// \brief Takes note that a version of the shared table has no such row. If the row was written before, it is
    /// written again.
    void handleRowAbsent(const TableVersion &asOfVersion);

    /// \brief Returns the key of the row of the target behind an inbound address. Thread-safe.
    [[nodiscard]] static RowKey keyOf(const Address &inboundAddress);

private:
    void read();
    /// Whether the row has to be read again because the shared table is of a later era than the row as known here.
    [[nodiscard]] bool isOfEarlierEra() const { return m_version.era < m_tableEra; }
    void handleRead(const absl::StatusOr<TableReadResult> &result);
    void writeIfNeeded();
    void handleCommit(const Endpoint &written, const absl::StatusOr<TableCommitResult> &result);
    void retryLater(const absl::Status &status);

    TargetRowDependencies m_dependencies;
    std::optional<Endpoint> m_announced;
    std::optional<Endpoint> m_stored; ///< record in the row as last read or written
    TableVersion m_version;           ///< of m_stored; absent if there is no row
    StoreEra m_tableEra;              ///< latest era in which the shared table was read
    bool m_isRead = false;            ///< the version is known, so that the row can be written
    bool m_isBusy = false;            ///< a read or write is in progress, or a retry is scheduled
    LoopTimer m_retryTimer;
};

} // namespace dandeliondock
