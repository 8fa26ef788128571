#pragma once

#include <dandeliondock/config/ticket.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/rollout/rollout_record.h>

#include <cstdint>
#include <string>
#include <vector>

namespace dandeliondock {

/// \brief State of an accepted ticket.
enum class TicketState {
    Accepted,   ///< committed to the platform's table
    InForce,    ///< applied by every attached node; the ticket starts no rollout
    RollingOut, ///< a rollout of the ticket is running
    Completed,  ///< every rollout of the ticket is completed
    RolledBack, ///< a rollout of the ticket was rolled back
};

/// \brief Lowest of the revisions that the attached nodes have, and their number, as last reported to the root.
struct AcknowledgedRevisions
{
    RevisionNumber lowest;
    std::uint64_t nodes = 0;

    bool operator==(const AcknowledgedRevisions &) const = default;
};

/// \brief A rollout's record with the traffic share of its current stage.
struct TicketRollout
{
    RolloutRecord record;
    Share share;

    bool operator==(const TicketRollout &) const = default;
};

/// \brief Data from which the status of an accepted ticket is computed.
struct TicketStatusInput
{
    AcknowledgedRevisions acknowledged;  ///< revisions of the attached nodes
    std::vector<TicketRollout> rollouts; ///< of all tickets
    bool storeAvailable = true;
    WallTime now;
};

/// \brief Status of an accepted ticket, as reported to operators.
struct TicketStatus
{
    TicketNumber number;
    RevisionNumber revision;
    TicketState state = TicketState::Accepted;
    bool inForce = false;               ///< applied by every attached node
    bool isOverdue = false;             ///< a running rollout is past its deadline and none was rolled back
    std::string reason;                 ///< of a rollback or a delay; empty otherwise
    Share share;                        ///< lowest current traffic share among the rollouts of the ticket
    AcknowledgedRevisions acknowledged; ///< revisions of the attached nodes

    bool operator==(const TicketStatus &) const = default;
};

/// \brief Computes the status of an accepted ticket. Thread-safe.
///
/// \remark A rollback takes precedence over every other state. A rollout without a record counts as running at share 0.
[[nodiscard]] TicketStatus ticketStatus(const Revision &accepted, const TicketStatusInput &input);

} // namespace dandeliondock
