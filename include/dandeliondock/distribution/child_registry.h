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
inline constexpr Milliseconds childTimeout{5'000};
inline constexpr Milliseconds directoryResyncInterval{2'000};

/// \brief Order of the polls of one child at one relay.
using PollNumber = StrongType<struct PollNumberTag, std::uint64_t>;

/// \brief Why a poll was not accepted.
enum class PollRefusal { None, WrongDeployment, NoPath, Loop, Full, Leaving, StaleIncarnation };

/// \brief What was decided about a poll.
struct PollDecision
{
    PollResult result = PollResult::NoPath;
    PollRefusal refusal = PollRefusal::None;
    std::vector<Address> redirects;
    bool isNewChild = false;     ///< the child is new here
    bool acceptOutcomes = false; ///< the batch was not taken before
    PollNumber poll;             ///< identifies the poll among those of its child
};

/// \brief What this node holds now, compared with what each child has.
struct LocalState
{
    RevisionNumber revision;
    DirectoryDigest directoryDigest;
    ChangeCursor endpointCursor;
    std::vector<RolloutRecord> rollouts;
};

/// \brief What one child still lacks.
struct PendingUpdate
{
    bool revisions = false;
    bool path = false;
    bool fullEndpoints = false;                 ///< the digests differ although every change was sent
    std::optional<ChangeCursor> endpointsAfter; ///< send the changes after this one
    std::vector<RolloutRecord> rollouts;

    [[nodiscard]] bool any() const noexcept
    {
        return revisions || path || fullEndpoints || endpointsAfter.has_value() || !rollouts.empty();
    }
};

/// \brief A child that stopped polling.
struct LostChild
{
    NodeId node;
    Incarnation incarnation;
    Address controlAddress;
};

/// \brief The children of one node and what each of them has.
///
/// \remark One thread at a time.
class ChildRegistry
{
public:
    /// \pre \c fanOut is greater than 0.
    ChildRegistry(DeploymentName deployment, NodeId self, RegionName region, std::size_t fanOut);

    /// \brief Sets the path from the root to this node, itself included; empty while there is none.
    void setPath(std::vector<NodeId> path);

    /// \brief From now on children are told to leave.
    void setLeaving() noexcept { m_leaving = true; }

    [[nodiscard]] PollDecision onPoll(const PollRequest &request, MonotonicTime now);

    /// \brief What the child lacks; nothing when it is not attached.
    [[nodiscard]] PendingUpdate pendingUpdateFor(const NodeId &child, const LocalState &view, MonotonicTime now) const;

    /// \brief Whether the child has sent no poll after this one, so that it still waits for the answer.
    [[nodiscard]] bool isLatest(const NodeId &child, PollNumber poll) const;

    /// \brief Notes what was put into the answer to a poll; the answer to an earlier poll is not counted as received.
    void onResponseSent(const NodeId &child, PollNumber poll, const LocalState &view, const PendingUpdate &need,
                        MonotonicTime now);

    /// \brief Removes and returns the children that missed polls for childTimeout.
    [[nodiscard]] std::vector<LostChild> expire(MonotonicTime now);

    /// \brief The sum over this node and its subtree.
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
        MonotonicTime lastRepair;
        std::optional<ChangeCursor> endpointsSent;
        std::vector<RolloutRecord> rolloutsSent;
        std::optional<std::vector<NodeId>> pathSent;

        void forgetSent();
    };

    [[nodiscard]] PollRefusal refusalOf(const PollRequest &request) const;
    [[nodiscard]] PollDecision refuse(PollRefusal refusal) const;
    [[nodiscard]] PollDecision accept(const PollRequest &request, MonotonicTime now);

    DeploymentName m_deployment;
    NodeId m_self;
    RegionName m_region;
    std::size_t m_fanOut;
    bool m_leaving = false;
    std::vector<NodeId> m_path;
    std::map<NodeId, Child> m_children;
};

/// \brief The path from the root to a node: its parent's path and itself; a top without a parent begins a path. Empty
/// when the node is neither attached nor a top. Thread-safe.
[[nodiscard]] std::vector<NodeId> pathFromRoot(const NodeId &self, const std::vector<NodeId> &parentPath, bool top);

} // namespace dandeliondock
