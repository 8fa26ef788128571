#pragma once

#include <dandeliondock/distribution/parent_selection.h>
#include <dandeliondock/node/lease_manager.h>
#include <dandeliondock/node/relay_coordinator.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace dandeliondock {

/// \brief The thread that long-polls the parent, merges what arrives and finds another parent when it is lost.
///
/// \remark Every method is thread-safe.
class ParentPoller
{
public:
    /// \brief Starts the thread.
    /// \pre The arguments are not null.
    ParentPoller(std::shared_ptr<RelayCoordinator> hub, std::shared_ptr<LeaseManager> keeper);
    ~ParentPoller();

    ParentPoller(const ParentPoller &) = delete;
    ParentPoller &operator=(const ParentPoller &) = delete;

    /// \brief Waits until the parent has taken every endpoint change up to \c cursor.
    /// \return False when \c limit ran out first.
    [[nodiscard]] bool waitAcknowledged(ChangeCursor cursor, Milliseconds limit);

    /// \brief Tells the parent that this node leaves and stops; returns within a poll's time limit.
    void stop();

private:
    void run();
    void wait(MonotonicTime until);
    void poll(const ParentCandidate &candidate);
    void takeAnswer(const PollRequest &request, const PollAnswer &answer);
    void merge(const PollRequest &request, const PollAnswer &answer, MonotonicTime asked);
    void fetchSnapshot(const Address &parent);
    void sayGoodbye();
    [[nodiscard]] PollRequest buildRequest(bool attached);
    [[nodiscard]] absl::StatusOr<PollAnswer> exchange(const Address &to, const PollRequest &request,
                                                      Milliseconds limit);
    [[nodiscard]] bool stopRequested();

    std::shared_ptr<RelayCoordinator> m_hub;
    std::shared_ptr<LeaseManager> m_keeper;
    RandomSource m_random;
    ParentSelection m_selection;
    std::optional<ChangeCursor> m_endpointsSent;
    ChangeCursor m_endpointsPending;
    std::vector<RolloutRecord> m_rolloutsSent;
    RegionName m_parentRegion;
    bool m_sendFull = true;
    bool m_resynchronise = false; ///< the answer to the last poll was not received
    bool m_wasHolder = false;
    bool m_snapshotWanted = false;
    MonotonicTime m_nextSnapshot;
    RevisionNumber m_joinRevision;
    std::mutex m_mutex;
    std::condition_variable m_stopping;
    bool m_stopRequested = false;
    ChangeCursor m_endpointsTaken; ///< by the parent; guarded by m_mutex
    std::condition_variable m_taken;
    std::thread m_thread;
};

} // namespace dandeliondock
