#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/rollout/rollout_record.h>

namespace dandeliondock {

/// \brief Content of the row `head`. An absent row is the default value.
struct HeadRow
{
    RevisionNumber revision;         ///< the latest accepted revision; 0 before the first ticket
    TicketNumber lastTicket;         ///< the ticket of that revision
    RevisionNumber snapshotRevision; ///< the latest snapshot in the object store; 0 when there is none

    bool operator==(const HeadRow &) const = default;
};

/// \brief The row `head` with the version that a conditional write names.
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
    WallTime expiresAt; ///< for readers; whether the lease is vacant is decided on each process's monotonic clock

    bool operator==(const LeaseRow &) const = default;
};

/// \brief Content of a row `rollout/<ticket>`.
struct RolloutRow
{
    RolloutRecord record;
    FencingToken fence; ///< of the driver that wrote it

    bool operator==(const RolloutRow &) const = default;
};

} // namespace dandeliondock
