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

/// \brief Row of the platform's table; an absent row has version 0 and an empty value.
struct TableRow
{
    RowKey key;
    RowVersion version;
    std::string value;

    bool operator==(const TableRow &) const = default;
};

/// \brief Condition of a commit: the version that a row must have when the transaction takes effect.
struct RowCondition
{
    RowKey key;
    RowVersion version; ///< 0 requires that the row is absent

    bool operator==(const RowCondition &) const = default;
};

/// \brief Write of a commit; without a value it removes the row.
struct RowWrite
{
    RowKey key;
    std::optional<std::string> value;

    bool operator==(const RowWrite &) const = default;
};

/// \brief Conditional transaction: the writes take effect together when every condition holds.
struct Transaction
{
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;

    bool operator==(const Transaction &) const = default;
};

/// \brief Result of a commit whose response was received.
struct CommitResult
{
    bool committed = false;
    RowKey failedKey; ///< row whose condition did not hold; empty when committed
};

/// \brief Range of rows by key.
struct ScanRange
{
    std::string prefix;    ///< prefix of the keys to return
    std::string from;      ///< first key to return; empty to start at the prefix
    std::size_t limit = 0; ///< maximum number of rows
};

/// \brief Interface to the platform's table and object store; all synchronous access goes through it.
///
/// \remark Hooks must be callable from any thread and must return within a time limit of their own. Errors are
/// StoreUnavailable (nothing was written) or, for a write, OutcomeUnknown (the write may have taken effect).
struct StoreHooks
{
    /// Reads rows in the order of the given keys, including absent rows.
    std::function<absl::StatusOr<std::vector<TableRow>>(const std::vector<RowKey> &)> read;
    /// Reads the existing rows of a range in the order of their keys.
    std::function<absl::StatusOr<std::vector<TableRow>>(const ScanRange &)> scan;
    /// Commits a transaction.
    std::function<absl::StatusOr<CommitResult>(const Transaction &)> commit;
    /// Writes an object; an existing one is replaced.
    std::function<absl::Status(const std::string &name, const std::string &content)> putObject;
    /// Reads an object; returns NotFound when it does not exist.
    std::function<absl::StatusOr<std::string>(const std::string &name)> fetchObject;
};

} // namespace dandeliondock
