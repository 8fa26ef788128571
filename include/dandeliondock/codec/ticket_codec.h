#pragma once

#include <dandeliondock/config/ticket.h>
#include <dandeliondock/tickets/ticket_status.h>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <tickets.pb.h>

namespace dandeliondock {

/// \brief Parses the JSON of a ticket that an operator files. Thread-safe.
/// \return InvalidTicket with the reason, such as the name of the wrong field, if the text is not a ticket.
[[nodiscard]] absl::StatusOr<Ticket> parseTicket(absl::string_view json);

/// \brief Encodes a ticket's status together with the author and the note of the accepted ticket. Thread-safe.
[[nodiscard]] wire::TicketStatus encodeTicketStatus(const Revision &accepted, const TicketStatus &status);

} // namespace dandeliondock
