#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/config/ticket.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <optional>

namespace dandeliondock {

/// \brief Store contents on which the acceptance of a ticket is decided.
struct AcceptanceInput
{
    RevisionNumber headRevision;              ///< 0 before the first ticket
    ConfigStatePtr state;                     ///< configuration at headRevision
    std::optional<Revision> existingRevision; ///< the revision accepted under the ticket's number, if any
};

/// \brief The revision to commit, or the earlier revision that accepted the same ticket.
struct AcceptanceDecision
{
    Revision revision;
    bool alreadyAccepted = false; ///< the revision is the earlier one; nothing needs to be written
};

/// \brief Decides whether a ticket can be accepted on top of the head revision. Thread-safe.
///
/// \pre \c input.state is the configuration at \c input.headRevision, or \c input.existingRevision is set.
/// \return TicketNumberUsed, TicketSuperseded, InvalidTicket or UnresolvedReference if the ticket is rejected.
[[nodiscard]] absl::StatusOr<AcceptanceDecision> decideAcceptance(const AcceptanceInput &input, const Ticket &ticket,
                                                                  WallTime now);

/// \brief Checks a ticket without reading the store: number, author, each resource by itself, no key twice.
/// Thread-safe.
/// \return InvalidTicket with the reason if a check fails.
[[nodiscard]] absl::Status validateTicket(const Ticket &ticket);

/// \brief Returns the error for a ticket whose number was accepted with other content. Thread-safe.
[[nodiscard]] absl::Status numberUsedError(const Revision &accepted);

} // namespace dandeliondock
