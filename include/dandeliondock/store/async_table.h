#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/store/store_hooks.h>

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace dandeliondock {

using TableName = StrongType<struct TableNameTag, std::string>;

/// \brief What a read of a table showed. A key stands in rows or in removed, by its last change.
struct TableReadResult
{
    std::vector<TableRow> rows;
    std::vector<RowKey> removed;
    std::size_t changes = 0;  ///< number of changes added, those that a later one replaced included
    RowVersion asOfVersion;   ///< changes after this version are not in the reading
    WallTime tableTime;       ///< the table's own clock
    Milliseconds age{0};      ///< since the platform confirmed it; greater than 0 when another process passed it on
    Milliseconds holdTime{0}; ///< time for which the process that passed it on held the call

    /// \brief Adds a change of a row after those added before.
    void put(TableRow row)
    {
        ++changes;
        std::erase(removed, row.key);
        std::erase_if(rows, [&row](const TableRow &held) { return held.key == row.key; });
        rows.push_back(std::move(row));
    }

    /// \brief Adds a removal after the changes added before.
    void remove(const RowKey &key)
    {
        ++changes;
        std::erase_if(rows, [&key](const TableRow &held) { return held.key == key; });
        std::erase(removed, key);
        removed.push_back(key);
    }
};

/// \brief A condition or a write of a transaction over several tables.
struct TableCondition
{
    TableName table;
    RowCondition row;
};

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

/// \brief What a commit did when its response is known.
struct TableCommitResult
{
    bool committed = false; ///< otherwise a condition did not hold and nothing was written
    RowVersion version;     ///< of the rows written
};

using TableReadHandler = std::function<void(absl::StatusOr<TableReadResult>)>;
using TableCommitHandler = std::function<void(absl::StatusOr<TableCommitResult>)>;

/// \brief The platform's table as a duty with an event loop uses it.
///
/// \remark Hooks are called on the duty's thread and call their handler there, once, never from within the call. Errors
/// are StoreUnavailable, RevisionGap when the changes asked for are no longer kept, and OutcomeUnknown of a commit that
/// may have taken effect.
struct AsyncTableHooks
{
    /// Every row of a table.
    std::function<void(const TableName &, TableReadHandler)> list;
    /// Changes after a version; held until there is one or the time is over.
    std::function<void(const TableName &, RowVersion after, Milliseconds hold, TableReadHandler)> pollChanges;
    std::function<void(const TableTransaction &, TableCommitHandler)> commit;
};

} // namespace dandeliondock
