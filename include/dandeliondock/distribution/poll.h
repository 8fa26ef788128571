#pragma once

#include <dandeliondock/config/ticket.h>
#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/membership/endpoint.h>
#include <dandeliondock/rollout/outcomes.h>
#include <dandeliondock/rollout/rollout_record.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Digest of an endpoint directory; equal directories have equal digests.
using DirectoryDigest = StrongType<struct DirectoryDigestTag, std::uint64_t>;
/// \brief Position in the order in which one process learnt of endpoint changes.
using ChangeCursor = StrongType<struct ChangeCursorTag, std::uint64_t>;
/// \brief Number of nodes.
using NodeCount = StrongType<struct NodeCountTag, std::uint64_t>;

/// \brief The lowest revision that the counted nodes hold.
struct AcknowledgementSum
{
    RevisionNumber lowest;
    NodeCount nodes;

    bool operator==(const AcknowledgementSum &) const = default;
};

/// \brief What a child tells its parent.
struct PollRequest
{
    DeploymentName deployment;
    NodeId node;
    Incarnation incarnation;
    RegionName region;
    DataCentreName dataCentre;
    Address controlAddress;
    RevisionNumber revision;
    DirectoryDigest directoryDigest;
    AcknowledgementSum acknowledgement;
    std::optional<OutcomeBatch> outcomes;
    std::vector<Endpoint> endpoints;
    std::vector<RolloutRecord> rollouts;
    bool leaving = false;
    Milliseconds hold{0};
    bool fullEndpoints = false; ///< endpoints holds the whole directory
    bool resynchronise = false; ///< the answer to the last poll was not received
    RevisionNumber knownHead;   ///< a revision that the store holds and this subtree lacks; 0 for none

    bool operator==(const PollRequest &) const = default;
};

enum class PollResult { Attached, Full, NoPath, WrongDeployment, Leaving };

/// \brief What a parent tells its child.
struct PollAnswer
{
    PollResult result = PollResult::NoPath;
    std::vector<NodeId> path;       ///< from the root to the parent; empty while the parent has none
    std::vector<Address> redirects; ///< control addresses to try
    std::vector<Revision> revisions;
    bool snapshotNeeded = false;
    RevisionNumber revision; ///< that the parent holds
    SequenceNumber outcomeSequence;
    DirectoryDigest directoryDigest;
    std::vector<Endpoint> endpoints;
    std::vector<RolloutRecord> rollouts;
    Milliseconds retryAfter{0};
    std::optional<AcknowledgementSum> acknowledgement; ///< of the whole tree, as the root last saw it
    Address grandparent;                               ///< control address of the parent's parent; may be empty
    RegionName region;                                 ///< of the parent
    std::vector<RegionName> recentRegions;             ///< regions that the parent heard from lately

    bool operator==(const PollAnswer &) const = default;
};

/// \brief A request for the whole configuration.
struct SnapshotRequest
{
    DeploymentName deployment;
    NodeId node;
    RevisionNumber revision;
    RegionName region;

    bool operator==(const SnapshotRequest &) const = default;
};

} // namespace dandeliondock
