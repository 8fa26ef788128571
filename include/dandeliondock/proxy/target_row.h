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
/// so that a late write of an earlier process replaces no newer record.
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

    /// \brief Takes note of a version of the row in the shared table, 0 if the row was removed. A version of another
    /// writer is read, and replaced by the announced record.
    void handleTableVersion(RowVersion version);

    /// \brief Returns the key of the row of the target behind an inbound address. Thread-safe.
    [[nodiscard]] static RowKey keyOf(const Address &inboundAddress);

private:
    void read();
    void handleRead(const absl::StatusOr<TableReadResult> &result);
    void writeIfNeeded();
    void handleCommit(const Endpoint &written, const absl::StatusOr<TableCommitResult> &result);
    void retryLater(const absl::Status &status);

    TargetRowDependencies m_dependencies;
    std::optional<Endpoint> m_announced;
    std::optional<Endpoint> m_stored; ///< record in the row as last read or written
    RowVersion m_version;             ///< of m_stored; 0 if there is no row
    bool m_isRead = false;            ///< the version is known, so that the row can be written
    bool m_isBusy = false;            ///< a read or write is in progress, or a retry is scheduled
    LoopTimer m_retryTimer;
};

} // namespace dandeliondock
