#pragma once

#include <dandeliondock/config/ticket.h>
#include <dandeliondock/store/row_types.h>
#include <dandeliondock/store/store_hooks.h>

#include <absl/status/statusor.h>

#include <string>

namespace dandeliondock {

// Conversions between the content of table rows and their bytes. All functions are thread-safe. The decoders return
// InvalidRow with the row's key if the bytes are not the encoding of a valid value.

[[nodiscard]] std::string encodeHeadRow(const HeadRow &head);
[[nodiscard]] std::string encodeTicketRow(const Revision &accepted);
[[nodiscard]] std::string encodeRevisionRow(const Revision &revision);
[[nodiscard]] std::string encodeLeaseRow(const LeaseRow &lease);
[[nodiscard]] std::string encodeRolloutRow(const RolloutRow &rollout);

/// \brief Decodes the row `head`; returns the default value for an absent row.
[[nodiscard]] absl::StatusOr<VersionedHead> decodeHeadRow(const TableRow &row);
/// \pre The row is present.
[[nodiscard]] absl::StatusOr<Revision> decodeTicketRow(const TableRow &row);
/// \pre The row is present.
[[nodiscard]] absl::StatusOr<Revision> decodeRevisionRow(const TableRow &row);
/// \pre The row is present.
[[nodiscard]] absl::StatusOr<LeaseRow> decodeLeaseRow(const TableRow &row);
/// \pre The row is present.
[[nodiscard]] absl::StatusOr<RolloutRow> decodeRolloutRow(const TableRow &row);

} // namespace dandeliondock
