#pragma once

#include <dandeliondock/config/ticket.h>
#include <dandeliondock/tickets/ticket_status.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <tickets.pb.h>

namespace dandeliondock {

/// \brief Parses the JSON that an operator files. Thread-safe.
/// \return InvalidTicket naming the field for everything that is no ticket.
[[nodiscard]] absl::StatusOr<Ticket> parseTicket(absl::string_view json);

/// \brief Status with author and note of the accepted ticket. Thread-safe.
[[nodiscard]] wire::TicketStatus encodeTicketStatus(const Revision &accepted, const TicketStatus &status);

} // namespace dandeliondock
