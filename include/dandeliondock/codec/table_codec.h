#pragma once

#include <dandeliondock/codec/compression.h>
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

/// \brief Rows and removals of a table in the form in which they are sent.
struct EncodedTableRows
{
    CompressedPrefix bytes;
};

// Conversions of the requests and responses of the table relay between proxies to and from bytes. Responses are
// compressed with zlib. All functions are thread-safe. The decoders return InvalidMessage.

[[nodiscard]] std::string encodeTablePoll(const TablePoll &poll);
[[nodiscard]] absl::StatusOr<TablePoll> decodeTablePoll(absl::string_view bytes);
[[nodiscard]] std::string encodeTableReadResult(const TableReadResult &result);
/// Encodes the rows and removals of a result, which many responses have in common.
[[nodiscard]] EncodedTableRows encodeTableRows(const TableReadResult &result);
/// Encodes a result whose rows and removals are encoded already; those of \c result are not read.
[[nodiscard]] std::string encodeTableReadResult(const EncodedTableRows &rows, const TableReadResult &result);
[[nodiscard]] absl::StatusOr<TableReadResult> decodeTableReadResult(absl::string_view bytes);

} // namespace dandeliondock
