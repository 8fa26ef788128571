#pragma once

#include <dandeliondock/distribution/parent_selection.h>
#include <dandeliondock/node/lease_manager.h>
#include <dandeliondock/node/relay_coordinator.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace dandeliondock {

/// \brief Thread that long-polls the parent, merges its responses and selects another parent when a poll fails.
///
/// \remark Every method is thread-safe.
class ParentPoller
{
public:
    /// \brief Starts the thread.
    /// \pre The arguments are not null.
    ParentPoller(std::shared_ptr<RelayCoordinator> coordinator, std::shared_ptr<LeaseManager> leaseManager);
    ~ParentPoller();

    ParentPoller(const ParentPoller &) = delete;
    ParentPoller &operator=(const ParentPoller &) = delete;

    /// \brief Waits until the parent has acknowledged every endpoint change up to \c cursor.
    /// \return False when \c timeout passed first.
    [[nodiscard]] bool waitAcknowledged(ChangeCursor cursor, Milliseconds timeout);

    /// \brief Tells the parent that this node is leaving and stops the thread; blocks no longer than the timeouts of
    /// the poll in progress and of the last one.
    void stop();

private:
    void run();
    void wait(MonotonicTime until);
    void poll(const ParentCandidate &candidate);
    void recordDelivery(const PollRequest &request, const PollAnswer &response);
    void merge(const PollRequest &request, const PollAnswer &response, MonotonicTime requestedAt);
    void fetchSnapshot(const Address &parent);
    void sendLeavingPoll();
    [[nodiscard]] PollRequest buildRequest(bool attached);
    [[nodiscard]] absl::StatusOr<PollAnswer> sendPoll(const Address &to, const PollRequest &request,
                                                      Milliseconds timeout);
    [[nodiscard]] bool stopRequested();

    std::shared_ptr<RelayCoordinator> m_coordinator;
    std::shared_ptr<LeaseManager> m_leaseManager;
    RandomSource m_random;
    ParentSelection m_selection;
    std::optional<ChangeCursor> m_endpointsSent; ///< last change that the parent has; reset with a new parent
    ChangeCursor m_endpointsPending;             ///< last change sent with the poll in progress
    std::vector<RolloutRecord> m_rolloutsSent;
    RegionName m_parentRegion;
    bool m_sendFullEndpoints = true;
    bool m_resynchronise = false; ///< the response to the last poll was not received
    bool m_wasLeaseHolder = false;
    bool m_snapshotNeeded = false;
    MonotonicTime m_nextSnapshotRequest;
    RevisionNumber m_parentRevisionAtAttach; ///< revision from which on this node counts as current
    std::mutex m_mutex;
    std::condition_variable m_stopCondition;
    bool m_stopRequested = false;
    ChangeCursor m_endpointsAcknowledged; ///< last change that the parent has received; guarded by m_mutex
    std::condition_variable m_acknowledgedCondition;
    std::thread m_thread;
};

} // namespace dandeliondock
