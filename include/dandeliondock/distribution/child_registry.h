#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/distribution/poll.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace dandeliondock {

inline constexpr std::size_t defaultFanOut = 8;
/// \brief Time without a poll after which a child is removed.
inline constexpr Milliseconds childTimeout{5'000};
/// \brief Minimum time between two full resends of the endpoint directory to a child.
inline constexpr Milliseconds directoryResyncInterval{2'000};

/// \brief Number of a poll among those that one parent accepted from one child, in the order of arrival.
using PollNumber = StrongType<struct PollNumberTag, std::uint64_t>;

/// \brief Reason why a poll was rejected.
enum class PollRefusal { None, WrongDeployment, NoPath, Loop, Full, Leaving, StaleIncarnation };

/// \brief Result of ChildRegistry::onPoll().
struct PollDecision
{
    PollResult result = PollResult::NoPath;
    PollRefusal refusal = PollRefusal::None;
    std::vector<Address> redirects; ///< control addresses of the children, when this node is full or leaving
    bool isNewChild = false;        ///< the child was not attached before, or it restarted
    bool acceptOutcomes = false;    ///< the outcome batch is new and must be applied
    PollNumber poll;                ///< number of the poll; 0 when it was rejected or the child is leaving
};

/// \brief State held by this node; it is compared with the state that each child has.
struct LocalState
{
    RevisionNumber revision;
    DirectoryDigest directoryDigest;
    ChangeCursor endpointCursor;
    std::vector<RolloutRecord> rollouts;
};

/// \brief Data that one child does not have yet.
struct PendingUpdate
{
    bool revisions = false;
    bool path = false;
    /// Send the full endpoint directory: none was sent yet, or the digests differ although every change was sent.
    bool fullEndpoints = false;
    std::optional<ChangeCursor> endpointsAfter; ///< send the endpoint changes after this cursor
    std::vector<RolloutRecord> rollouts;

    [[nodiscard]] bool any() const noexcept
    {
        return revisions || path || fullEndpoints || endpointsAfter.has_value() || !rollouts.empty();
    }
};

/// \brief A child that was removed because it stopped polling.
struct LostChild
{
    NodeId node;
    Incarnation incarnation;
    Address controlAddress;
};

/// \brief The children of one node, with the state that each of them reported and was sent.
///
/// \remark Not thread-safe.
class ChildRegistry
{
public:
    /// \pre \c fanOut is greater than 0.
    ChildRegistry(DeploymentName deployment, NodeId self, RegionName region, std::size_t fanOut);

    /// \brief Sets the path from the root to this node, this node included; empty while there is no path.
    void setPath(std::vector<NodeId> path);

    /// \brief Rejects all further polls and redirects the children to each other.
    void setLeaving() noexcept { m_leaving = true; }

    /// \brief Accepts or rejects a poll. An accepted poll adds the child or updates its recorded state. A leaving child
    /// and a child that would form a loop are removed.
    [[nodiscard]] PollDecision onPoll(const PollRequest &request, MonotonicTime now);

    /// \brief Returns the data that a child does not have yet; nothing when the child is not attached.
    [[nodiscard]] PendingUpdate pendingUpdateFor(const NodeId &child, const LocalState &state, MonotonicTime now) const;

    /// \brief Whether the child has sent no later poll than this one, so that it still waits for the response.
    [[nodiscard]] bool isLatest(const NodeId &child, PollNumber poll) const;

    /// \brief Records what the response to a poll contained. Does nothing for any poll but the latest, because the
    /// child no longer waits for the response to an earlier one.
    void onResponseSent(const NodeId &child, PollNumber poll, const LocalState &state, const PendingUpdate &update,
                        MonotonicTime now);

    /// \brief Removes and returns the children that sent no poll for childTimeout.
    [[nodiscard]] std::vector<LostChild> expire(MonotonicTime now);

    /// \brief Returns the lowest revision and the number of nodes over this node and its subtree.
    /// \param own the revision that this node holds.
    [[nodiscard]] AcknowledgementSum acknowledgement(RevisionNumber own) const;

    [[nodiscard]] const std::vector<NodeId> &path() const noexcept { return m_path; }

    [[nodiscard]] bool leaving() const noexcept { return m_leaving; }

    [[nodiscard]] std::vector<NodeId> children() const;

private:
    struct Child
    {
        Incarnation incarnation;
        PollNumber poll;
        RegionName region;
        Address controlAddress;
        RevisionNumber revision;
        DirectoryDigest digest;
        AcknowledgementSum acknowledgement;
        SequenceNumber outcomeSequence;
        MonotonicTime lastPoll;
        MonotonicTime lastResync;
        std::optional<ChangeCursor> endpointsSent;
        std::vector<RolloutRecord> rolloutsSent;
        std::optional<std::vector<NodeId>> pathSent;

        void clearSent();
    };

    [[nodiscard]] PollRefusal rejectionReason(const PollRequest &request) const;
    [[nodiscard]] PollDecision reject(PollRefusal refusal) const;
    [[nodiscard]] PollDecision accept(const PollRequest &request, MonotonicTime now);

    DeploymentName m_deployment;
    NodeId m_self;
    RegionName m_region;
    std::size_t m_fanOut;
    bool m_leaving = false;
    std::vector<NodeId> m_path;
    std::map<NodeId, Child> m_children;
};

/// \brief Returns the path from the root to a node: its parent's path and the node itself. A node with \c startsPath
/// and without a parent path is the first of its path. Empty when neither holds. Thread-safe.
[[nodiscard]] std::vector<NodeId> pathFromRoot(const NodeId &self, const std::vector<NodeId> &parentPath,
                                               bool startsPath);

} // namespace dandeliondock
