#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/config/ticket.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <optional>

namespace dandeliondock {

/// \brief What the table said about a ticket's number and about the head.
struct AcceptanceInput
{
    RevisionNumber headRevision;              ///< 0 before the first ticket
    ConfigStatePtr state;                     ///< at the head's revision
    std::optional<Revision> existingRevision; ///< what was accepted under the ticket's number
};

/// \brief A ticket that may be committed, or the earlier acceptance that it repeats.
struct AcceptanceDecision
{
    Revision revision;
    bool alreadyAccepted = false; ///< nothing is to be written
};

/// \brief Decides whether a ticket may be accepted on top of a head. Thread-safe.
///
/// \pre \c view.state is at \c view.headRevision, or \c view.existingRevision is set.
/// \return TicketNumberUsed, TicketSuperseded, InvalidTicket or UnresolvedReference when it may not.
[[nodiscard]] absl::StatusOr<AcceptanceDecision> decideAcceptance(const AcceptanceInput &view, const Ticket &ticket,
                                                                  WallTime now);

/// \brief Checks what needs no knowledge of the table: number, author, resources by themselves, no key twice.
/// Thread-safe. \return InvalidTicket with the reason when a check fails.
[[nodiscard]] absl::Status validateTicket(const Ticket &ticket);

/// \brief The error for a ticket whose number is taken by other content. Thread-safe.
[[nodiscard]] absl::Status numberUsedError(const Revision &accepted);

} // namespace dandeliondock
