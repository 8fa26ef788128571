#pragma once

#include <dandeliondock/distribution/lease_selection.h>
#include <dandeliondock/node/relay_coordinator.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace dandeliondock {

/// \brief Thread that claims and renews this node's lease and, on the root, reads new revisions from the store.
///
/// \remark Every method is thread-safe.
class LeaseManager
{
public:
    /// \brief Starts the thread.
    /// \pre \c coordinator is not null.
    explicit LeaseManager(std::shared_ptr<RelayCoordinator> coordinator);
    ~LeaseManager();

    LeaseManager(const LeaseManager &) = delete;
    LeaseManager &operator=(const LeaseManager &) = delete;

    /// \brief Wakes the thread to read the lease rows; used when no parent was found.
    void requestLeaseRead();

    /// \brief Wakes the thread of the root to read the store head; does nothing on other nodes.
    void requestHeadRead();

    /// \brief Releases the lease and stops the thread; blocks no longer than the store's timeout for each call.
    void stop();

    /// \brief Returns the fencing token of the root lease; empty unless the lease is held and has not expired.
    [[nodiscard]] std::optional<FencingToken> rootFence();

    /// \brief Returns the keys of the leases that this node holds.
    [[nodiscard]] std::vector<RowKey> heldLeases();

private:
    void run();
    void step();
    void readLeaseRows();
    void write(const LeaseSelectionStep &step);
    void readHead();
    [[nodiscard]] absl::Status catchUp(const HeadRow &head);
    [[nodiscard]] absl::Status catchUpFromSnapshot(RevisionNumber head);
    void writeConfigSnapshot();
    [[nodiscard]] bool consumeHeadRequest();
    void publish();
    void release();
    void waitForNextStep();

    std::shared_ptr<RelayCoordinator> m_coordinator;
    LeaseSelection m_selection; ///< used only by the thread
    MonotonicTime m_nextStep;
    MonotonicTime m_nextHeadRead;
    std::vector<RowKey> m_heldKeys;
    std::optional<HeldLease> m_rootLease; ///< guarded by m_mutex
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_readRequested = false;
    bool m_headRequested = false;
    bool m_stopRequested = false;
    std::thread m_thread;
};

} // namespace dandeliondock
