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
/// \brief Position in the sequence of endpoint changes that one process has received.
using ChangeCursor = StrongType<struct ChangeCursorTag, std::uint64_t>;
/// \brief Number of nodes.
using NodeCount = StrongType<struct NodeCountTag, std::uint64_t>;

/// \brief Number of nodes of a subtree and the lowest revision that they hold.
struct AcknowledgementSum
{
    RevisionNumber lowest;
    NodeCount nodes;

    bool operator==(const AcknowledgementSum &) const = default;
};

/// \brief Long poll that a child sends to its parent.
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
    Milliseconds hold{0};       ///< longest time for which the parent holds the poll
    bool fullEndpoints = false; ///< endpoints is the full directory, not changes
    bool resynchronise = false; ///< the response to the last poll was not received
    RevisionNumber knownHead;   ///< head revision of the store that this subtree has not applied; 0 for none

    bool operator==(const PollRequest &) const = default;
};

enum class PollResult { Attached, Full, NoPath, WrongDeployment, Leaving };

/// \brief Response of a parent to a child's poll.
struct PollAnswer
{
    PollResult result = PollResult::NoPath;
    std::vector<NodeId> path;       ///< from the root to the parent; empty while the parent has no path
    std::vector<Address> redirects; ///< control addresses of nodes to try as the parent
    std::vector<Revision> revisions;
    bool snapshotNeeded = false;    ///< the parent's log no longer reaches back to the child's revision
    RevisionNumber revision;        ///< that the parent holds
    SequenceNumber outcomeSequence; ///< of the acknowledged outcome batch
    DirectoryDigest directoryDigest;
    std::vector<Endpoint> endpoints;
    std::vector<RolloutRecord> rollouts;
    Milliseconds retryAfter{0};
    std::optional<AcknowledgementSum> acknowledgement; ///< of the whole tree, as last computed by the root
    Address grandparent;                               ///< control address of the parent's parent; may be empty
    RegionName region;                                 ///< of the parent
    std::vector<RegionName> recentRegions;             ///< regions from which the parent recently received updates

    bool operator==(const PollAnswer &) const = default;
};

/// \brief Request of a child for the full configuration.
struct SnapshotRequest
{
    DeploymentName deployment;
    NodeId node;
    RevisionNumber revision;
    RegionName region;

    bool operator==(const SnapshotRequest &) const = default;
};

} // namespace dandeliondock
