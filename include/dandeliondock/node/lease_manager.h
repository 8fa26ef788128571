#pragma once

#include <dandeliondock/distribution/lease_selection.h>
#include <dandeliondock/node/relay_coordinator.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace dandeliondock {

/// \brief The thread that claims and renews this node's lease and, as the root, reads new revisions from the store.
///
/// \remark Every method is thread-safe.
class LeaseManager
{
public:
    /// \brief Starts the thread.
    /// \pre \c hub is not null.
    explicit LeaseManager(std::shared_ptr<RelayCoordinator> hub);
    ~LeaseManager();

    LeaseManager(const LeaseManager &) = delete;
    LeaseManager &operator=(const LeaseManager &) = delete;

    /// \brief Has the lease rows read soon, for a node that found no parent.
    void requestLeaseRead();

    /// \brief Has the root read the head now; does nothing on another node.
    void requestHeadRead();

    /// \brief Releases the lease and stops; returns within the store's time limit.
    void stop();

    /// \brief The fence of the root lease; empty unless it is held and its term has not ended.
    [[nodiscard]] std::optional<FencingToken> rootFence();

    /// \brief Keys of the leases held now.
    [[nodiscard]] std::vector<RowKey> held();

private:
    void run();
    void step();
    void readRows();
    void write(const LeaseSelectionStep &step);
    void readHead();
    [[nodiscard]] absl::Status catchUp(const HeadRow &head);
    [[nodiscard]] absl::Status startFromSnapshot(RevisionNumber head);
    void takeSnapshot();
    [[nodiscard]] bool takeHeadRequest();
    void publish();
    void release();
    void waitForNext();

    std::shared_ptr<RelayCoordinator> m_hub;
    LeaseSelection m_duty; ///< belongs to the thread
    MonotonicTime m_nextStep;
    MonotonicTime m_nextHead;
    std::vector<RowKey> m_lastHeld;
    std::optional<HeldLease> m_rootTerm; ///< guarded by m_mutex
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_readRequested = false;
    bool m_headRequested = false;
    bool m_stopRequested = false;
    std::thread m_thread;
};

} // namespace dandeliondock
