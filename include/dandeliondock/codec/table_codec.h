#pragma once

#include <dandeliondock/store/async_table.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <string>

namespace dandeliondock {

/// \brief Request of a table relay client for the changes of a table or for all of its rows.
struct TablePoll
{
    TableName table;
    TableVersion after;
    bool isFull = false; ///< requests all rows instead of the changes after a version
};

// Conversions of the requests and responses of the table relay between proxies to and from bytes. Responses are
// compressed with zlib. All functions are thread-safe. The decoders return InvalidMessage.

[[nodiscard]] std::string encodeTablePoll(const TablePoll &poll);
[[nodiscard]] absl::StatusOr<TablePoll> decodeTablePoll(absl::string_view bytes);
[[nodiscard]] std::string encodeTableReadResult(const TableReadResult &result);
[[nodiscard]] absl::StatusOr<TableReadResult> decodeTableReadResult(absl::string_view bytes);

} // namespace dandeliondock
