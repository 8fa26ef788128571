#pragma once

#include <dandeliondock/config/ticket.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/rollout/rollout_record.h>

#include <cstdint>
#include <string>
#include <vector>

namespace dandeliondock {

/// \brief How far an accepted ticket has come.
enum class TicketState {
    Accepted,   ///< in the platform's table
    InForce,    ///< held by every attached node; it started no rollout
    RollingOut, ///< a rollout that it started runs
    Completed,  ///< every rollout that it started is completed
    RolledBack, ///< a rollout that it started was rolled back
};

/// \brief What the attached nodes hold, as the root last saw it.
struct AcknowledgedRevisions
{
    RevisionNumber lowest;
    std::uint64_t nodes = 0;

    bool operator==(const AcknowledgedRevisions &) const = default;
};

/// \brief A rollout's record with the share of its present stage.
struct TicketRollout
{
    RolloutRecord record;
    Share share;

    bool operator==(const TicketRollout &) const = default;
};

/// \brief What is known beside the accepted ticket.
struct TicketStatusInput
{
    AcknowledgedRevisions held;
    std::vector<TicketRollout> rollouts; ///< of any ticket
    bool storeAvailable = true;
    WallTime now;
};

/// \brief The status that operators see.
struct TicketStatus
{
    TicketNumber number;
    RevisionNumber revision;
    TicketState state = TicketState::Accepted;
    bool inForce = false;   ///< held by every attached node
    bool isOverdue = false; ///< past the deadline of a rollout that is neither completed nor rolled back
    std::string reason;     ///< of a rollback, or of the delay
    Share share;            ///< lowest present share of the rollouts that it started
    AcknowledgedRevisions held;

    bool operator==(const TicketStatus &) const = default;
};

/// \brief Status of an accepted ticket. Thread-safe.
///
/// \remark A rollback takes precedence over every other state. A rollout without a record counts as running at share 0.
[[nodiscard]] TicketStatus ticketStatus(const Revision &accepted, const TicketStatusInput &view);

} // namespace dandeliondock
