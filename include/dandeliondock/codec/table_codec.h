#pragma once

#include <dandeliondock/store/async_table.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <string>

namespace dandeliondock {

/// \brief A follower's call for changes of a table.
struct TablePoll
{
    TableName table;
    RowVersion after;
    bool isFull = false; ///< every row at once instead of the changes after a version
};

// Changes of a table as proxies pass them on, compressed. All functions are thread-safe; the decoders return
// InvalidMessage.

[[nodiscard]] std::string encodeTablePoll(const TablePoll &poll);
[[nodiscard]] absl::StatusOr<TablePoll> decodeTablePoll(absl::string_view bytes);
[[nodiscard]] std::string encodeTableReadResult(const TableReadResult &reading);
[[nodiscard]] absl::StatusOr<TableReadResult> decodeTableReadResult(absl::string_view bytes);

} // namespace dandeliondock
