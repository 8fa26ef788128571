#pragma once

#include <dandeliondock/core/boot_clock.h>
#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/table_version.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/store/store_hooks.h>

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dandeliondock {

/// \brief Name of a table of the platform.
using TableName = StrongType<struct TableNameTag, std::string>;

/// \brief Rows and removals returned by a full read of a table or a read of its changes.
///
/// A key is either in rows or in removed, depending on its last change. All versions in it are of the era of
/// asOfVersion.
struct TableReadResult
{
    std::vector<TableRow> rows;
    std::vector<RowKey> removed;
    std::size_t unreadable = 0; ///< rows that were left out because their fields could not be read
    std::size_t changes = 0;    ///< number of changes added, including those that a later change replaced
    bool isFull = false;        ///< rows that are not in a result for a poll for changes do not exist
    TableVersion asOfVersion;   ///< version of the table up to which changes are included
    WallTime tableTime;         ///< time of the table's own clock
    Milliseconds age{0};        ///< time since the platform confirmed the data; 0 unless a proxy relayed it
    Milliseconds holdTime{0};   ///< time for which the relaying proxy held the poll
    /// A time at which the table certainly had no changes after asOfVersion; empty if none is known. Unlike age it does
    /// not assume that the platform's response arrived at once.
    std::optional<BootTime> confirmedAt;
    /// In a response of a relaying proxy: age of its confirmedAt when it responded.
    std::optional<Milliseconds> confirmedAge;
    ByteCount bytes; ///< read from the platform for this result; 0 if a proxy relayed it

    /// \brief Returns the version of one of the rows.
    [[nodiscard]] TableVersion versionOf(const TableRow &row) const { return {asOfVersion.era, row.version}; }

    /// \brief Appends a changed row; it replaces an earlier change with the same key.
    void put(TableRow row)
    {
        ++changes;
        std::erase(removed, row.key);
        std::erase_if(rows, [&row](const TableRow &held) { return held.key == row.key; });
        rows.push_back(std::move(row));
    }

    /// \brief Appends a removal; it replaces an earlier change with the same key.
    void remove(const RowKey &key)
    {
        ++changes;
        std::erase_if(rows, [&key](const TableRow &held) { return held.key == key; });
        std::erase(removed, key);
        removed.push_back(key);
    }
};

/// \brief Condition on a row of a table in a transaction.
struct TableCondition
{
    TableName table;
    RowKey key;
    TableVersion version; ///< that the row must have; an absent one requires that the row is absent
};

/// \brief Write to a row of a table in a transaction.
struct TableWrite
{
    TableName table;
    RowWrite row;
};

/// \brief A conditional transaction over rows of several tables.
struct TableTransaction
{
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;
};

/// \brief Result of a commit whose response was received.
struct TableCommitResult
{
    bool committed = false; ///< false when a condition did not hold; nothing was written then
    TableVersion version;   ///< of the written rows
};

using TableReadHandler = std::function<void(absl::StatusOr<TableReadResult>)>;
using TableCommitHandler = std::function<void(absl::StatusOr<TableCommitResult>)>;

/// \brief Asynchronous access to the platform's tables for a duty with an event loop.
///
/// \remark Hooks are called on the duty's thread and call their handler there exactly once, after the hook has
/// returned. Errors are StoreUnavailable, RevisionGap when the table no longer keeps the requested changes or never
/// reached the requested version in its present era, and OutcomeUnknown for a commit that may have taken effect. The
/// platform cannot compare the era of a version with its own: a result is of the era that it names, whatever the call
/// asked for.
struct AsyncTableHooks
{
    /// Reads one row of a table; the result is empty if there is no such row.
    std::function<void(const TableName &, const RowKey &, TableReadHandler)> read;
    /// Reads all rows of a table.
    std::function<void(const TableName &, TableReadHandler)> list;
    /// Reads the changes after a version; the call is held until there is a change or \c hold has passed.
    std::function<void(const TableName &, const TableVersion &after, Milliseconds hold, TableReadHandler)> pollChanges;
    /// Commits a transaction: all writes when every condition holds, otherwise none.
    std::function<void(const TableTransaction &, TableCommitHandler)> commit;
};

} // namespace dandeliondock
