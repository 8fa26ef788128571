#pragma once

#include <dandeliondock/distribution/child_registry.h>
#include <dandeliondock/distribution/revision_log.h>
#include <dandeliondock/http/cancellation_token.h>
#include <dandeliondock/node/control_hooks.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace dandeliondock {

/// \brief Lease holders and the own leases, as the lease keeper last knew them.
struct LeaseStatus
{
    std::vector<Address> higherHolders;
    bool holdsLease = false;
    bool holdsRootLease = false;
    bool startsPath = false; ///< begins a path without a parent
};

/// \brief What the control threads of one node share: the relay state, the revision log and the place in the tree.
///
/// \remark Every method is thread-safe. Hooks are called without the lock.
class RelayCoordinator
{
public:
    RelayCoordinator(ControlIdentity identity, ControlHooks hooks);

    /// \brief Answers a child's poll; blocks until there is something for it or its hold ends.
    [[nodiscard]] PollAnswer servePoll(const PollRequest &request);

    /// \brief Wakes the polls held: configuration, endpoints or rollout records changed.
    void wakeHeldPolls();

    /// \brief Also has this node's own poll sent again at once, because the parent lacks the change.
    void notifyParent();

    /// \brief Raised when the poll in progress is to be sent again.
    [[nodiscard]] CancellationToken &parentPollCancellation() noexcept { return m_upward; }

    /// \brief Puts revisions in force and into the log, in order; the first refused one ends it.
    absl::Status applyRevisions(const std::vector<Revision> &revisions);

    void applySnapshot(ConfigState state);

    /// \brief Notes that the store holds a revision; when this node lacks it, the news goes up the tree at once, so
    /// that the root reads it without waiting for its next poll of the store.
    void recordStoreHead(RevisionNumber head);

    /// \brief The latest revision noted that this node lacks; 0 for none.
    [[nodiscard]] RevisionNumber unappliedHead() const;

    void setParent(std::vector<NodeId> path, Address address);
    void setLeases(LeaseStatus leases);
    void setTreeAcknowledgement(AcknowledgementSum sum);

    /// \brief Children are sent away from now on.
    void leave();

    /// \brief Drops children that stopped polling and reports them.
    void expireChildren();

    /// \brief Marks that this node holds what its parent, or the store, held when it was asked at \c asked.
    /// \remark An answer to a question from before the last pause proves nothing.
    void confirmCurrent(MonotonicTime asked);

    /// \brief This process did not run for a while: nothing that it holds counts as current until it has asked again.
    void onPause();

    [[nodiscard]] bool ready() const;
    [[nodiscard]] LeaseStatus leases() const;
    [[nodiscard]] Address parent() const;
    [[nodiscard]] std::vector<NodeId> path() const;
    [[nodiscard]] std::size_t children() const;
    [[nodiscard]] AcknowledgementSum acknowledgement() const;

    /// \brief The sum over the whole tree, as far as it is known here.
    [[nodiscard]] AcknowledgementSum treeAcknowledgement() const;

    [[nodiscard]] const ControlIdentity &identity() const noexcept { return m_identity; }

    [[nodiscard]] const ControlHooks &hooks() const noexcept { return m_hooks; }

    /// \brief Counts an event by reason and writes its line.
    void report(LogLevel level, absl::string_view event, absl::string_view counter, absl::string_view reason) const;

private:
    [[nodiscard]] LocalState view() const;
    [[nodiscard]] PendingUpdate awaitNeed(const PollRequest &request, PollNumber poll, LocalState &seen);
    void fill(const PollRequest &request, PollNumber poll, const PendingUpdate &need, const LocalState &seen,
              PollAnswer &answer);
    void mergeFromChild(const PollRequest &request, bool takeOutcomes);
    void updatePath();

    ControlIdentity m_identity;
    ControlHooks m_hooks;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_generation = 0;
    ChildRegistry m_relay;
    RevisionLog m_log;
    std::vector<NodeId> m_parentPath;
    Address m_parent;
    LeaseStatus m_leases;
    AcknowledgementSum m_treeAcknowledgement;
    RevisionNumber m_notedHead;
    bool m_ready = false;
    MonotonicTime m_lastPause;
    CancellationToken m_upward;
};

} // namespace dandeliondock
