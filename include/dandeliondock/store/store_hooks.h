#pragma once

#include <dandeliondock/core/ids.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dandeliondock {

/// \brief A row of the platform's table; an absent row has version 0 and no value.
struct TableRow
{
    RowKey key;
    RowVersion version;
    std::string value;

    bool operator==(const TableRow &) const = default;
};

/// \brief A condition of a commit: the row's version when the transaction takes effect.
struct RowCondition
{
    RowKey key;
    RowVersion version; ///< 0 demands that the row is absent

    bool operator==(const RowCondition &) const = default;
};

/// \brief A write of a commit; without a value it removes the row.
struct RowWrite
{
    RowKey key;
    std::optional<std::string> value;

    bool operator==(const RowWrite &) const = default;
};

/// \brief A conditional transaction.
struct Transaction
{
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;

    bool operator==(const Transaction &) const = default;
};

/// \brief What a commit did when its answer is known.
struct CommitResult
{
    bool committed = false;
    RowKey failedKey; ///< the row whose condition did not hold, when not committed
};

/// \brief A range of rows by key.
struct ScanRange
{
    std::string prefix;
    std::string from; ///< first key to return; empty starts at the prefix
    std::size_t limit = 0;
};

/// \brief The one interface to the platform's table and object store.
///
/// \remark Hooks must be callable from any thread and return within their own time bound. Errors are StoreUnavailable
/// (nothing happened) or, of a write, OutcomeUnknown (the write may have taken effect).
struct StoreHooks
{
    /// Rows in the order of the keys, absent ones included.
    std::function<absl::StatusOr<std::vector<TableRow>>(const std::vector<RowKey> &)> read;
    /// Present rows of a range in the order of their keys.
    std::function<absl::StatusOr<std::vector<TableRow>>(const ScanRange &)> scan;
    std::function<absl::StatusOr<CommitResult>(const Transaction &)> commit;
    std::function<absl::Status(const std::string &name, const std::string &content)> putObject;
    /// NotFound when there is no such object.
    std::function<absl::StatusOr<std::string>(const std::string &name)> fetchObject;
};

} // namespace dandeliondock
