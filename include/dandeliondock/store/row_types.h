#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/rollout/rollout_record.h>

namespace dandeliondock {

/// \brief Content of the row `head`. An absent row has the default value.
struct HeadRow
{
    RevisionNumber revision;         ///< the latest accepted revision; 0 before the first ticket
    TicketNumber lastTicket;         ///< the ticket of that revision
    RevisionNumber snapshotRevision; ///< the latest snapshot in the object store; 0 when there is none

    bool operator==(const HeadRow &) const = default;
};

/// \brief The row `head` with its version, on which a write can be made conditional.
struct VersionedHead
{
    HeadRow head;
    RowVersion version;

    bool operator==(const VersionedHead &) const = default;
};

/// \brief Content of a row `lease/<scope>/<i>`; an empty holder marks a released lease.
struct LeaseRow
{
    NodeId holder;
    Address controlAddress;
    FencingToken fence;
    WallTime expiresAt; ///< for information only; processes detect a vacant lease with their monotonic clock

    bool operator==(const LeaseRow &) const = default;
};

/// \brief Content of a row `rollout/<ticket>`.
struct RolloutRow
{
    RolloutRecord record;
    FencingToken fence; ///< of the driver that wrote the row

    bool operator==(const RolloutRow &) const = default;
};

} // namespace dandeliondock
