#pragma once

#include <dandeliondock/distribution/child_registry.h>
#include <dandeliondock/distribution/revision_log.h>
#include <dandeliondock/http/cancellation_token.h>
#include <dandeliondock/node/control_hooks.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace dandeliondock {

/// \brief Lease holders above this node and the leases that it holds, as last read by the lease manager.
struct LeaseStatus
{
    std::vector<Address> higherHolders; ///< control addresses of holders of higher leases, tried as parents
    bool holdsLease = false;
    bool holdsRootLease = false;
    bool startsPath = false; ///< this node starts a relay path without a parent
};

/// \brief State shared by the control threads of one node: its children, the revision log, the path to the root and the
/// leases.
///
/// \remark Every method is thread-safe. Hooks are called without the lock.
class RelayCoordinator
{
public:
    RelayCoordinator(ControlIdentity identity, ControlHooks hooks);

    /// \brief Handles one long poll of a child; blocks until there is an update for it or its hold time ends.
    [[nodiscard]] PollAnswer servePoll(const PollRequest &request);

    /// \brief Wakes the held polls of children after a change of configuration, endpoints or rollout records.
    void wakeHeldPolls();

    /// \brief Wakes the held polls and cancels this node's own poll, which is then sent again with the change for the
    /// parent.
    void notifyParent();

    /// \brief Returns the token that cancels the poll of the parent, so that it is sent again.
    [[nodiscard]] CancellationToken &parentPollCancellation() noexcept { return m_parentPollCancellation; }

    /// \brief Applies revisions in order and adds them to the log.
    /// \return The error of the first rejected revision; later ones are not applied.
    absl::Status applyRevisions(const std::vector<Revision> &revisions);

    /// \brief Replaces the configuration by a snapshot and restarts the log after its revision.
    void applySnapshot(ConfigState state);

    /// \brief Records that the store holds a revision. When it is not applied here, the parent is polled immediately
    /// with its number, so that the root reads it without waiting for its next read of the store.
    void recordStoreHead(RevisionNumber head);

    /// \brief Returns the latest known store head that this node has not applied; 0 for none.
    [[nodiscard]] RevisionNumber unappliedHead() const;

    void setParent(std::vector<NodeId> path, Address address);
    void setLeases(LeaseStatus leases);
    void setTreeAcknowledgement(AcknowledgementSum sum);

    /// \brief Marks this node as leaving; children are told to find another parent from now on.
    void leave();

    /// \brief Removes children that stopped polling and calls \c childLost for each.
    void expireChildren();

    /// \brief Marks this node as ready, because a response to a request sent at \c requestedAt confirmed that its data
    /// is current.
    /// \remark Does nothing when the request was sent before the last pause of the process.
    void confirmCurrent(MonotonicTime requestedAt);

    /// \brief Handles a pause of this process: the node is not ready until confirmCurrent() is called for a later
    /// request.
    void onPause();

    [[nodiscard]] bool ready() const;
    [[nodiscard]] LeaseStatus leases() const;
    [[nodiscard]] Address parent() const;
    [[nodiscard]] std::vector<NodeId> path() const;
    [[nodiscard]] std::size_t children() const;
    [[nodiscard]] AcknowledgementSum acknowledgement() const;

    /// \brief Returns the lowest acknowledged revision and number of nodes of the whole tree, as last received from the
    /// parent; on the root, its own sum.
    [[nodiscard]] AcknowledgementSum treeAcknowledgement() const;

    [[nodiscard]] const ControlIdentity &identity() const noexcept { return m_identity; }

    [[nodiscard]] const ControlHooks &hooks() const noexcept { return m_hooks; }

    /// \brief Increments a counter with the reason as label and writes a log line.
    void report(LogLevel level, absl::string_view event, absl::string_view counter, absl::string_view reason) const;

private:
    [[nodiscard]] LocalState localState() const;
    [[nodiscard]] PendingUpdate waitForUpdate(const PollRequest &request, PollNumber poll, LocalState &state);
    void fillResponse(const PollRequest &request, PollNumber poll, const PendingUpdate &update, const LocalState &state,
                      PollAnswer &response);
    void mergeFromChild(const PollRequest &request, bool acceptOutcomes);
    void updatePath();

    ControlIdentity m_identity;
    ControlHooks m_hooks;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_generation = 0;
    ChildRegistry m_children;
    RevisionLog m_log;
    std::vector<NodeId> m_parentPath;
    Address m_parent;
    LeaseStatus m_leases;
    AcknowledgementSum m_treeAcknowledgement;
    RevisionNumber m_storeHead;
    bool m_ready = false;
    MonotonicTime m_lastPause;
    CancellationToken m_parentPollCancellation;
};

} // namespace dandeliondock
