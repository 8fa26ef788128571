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
class LeaseKeeper
{
public:
    /// \brief Starts the thread.
    /// \pre \c hub is not null.
    explicit LeaseKeeper(std::shared_ptr<RelayHub> hub);
    ~LeaseKeeper();

    LeaseKeeper(const LeaseKeeper &) = delete;
    LeaseKeeper &operator=(const LeaseKeeper &) = delete;

    /// \brief Has the lease rows read soon, for a node that found no parent.
    void readSoon();

    /// \brief Has the root read the head now; does nothing on another node.
    void readHeadSoon();

    /// \brief Releases the lease and stops; returns within the store's time limit.
    void stop();

    /// \brief The fence of the root lease; empty unless it is held and its term has not ended.
    [[nodiscard]] std::optional<Fence> rootFence();

    /// \brief Keys of the leases held now.
    [[nodiscard]] std::vector<RowKey> held();

private:
    void run();
    void step();
    void readRows();
    void write(const DutyStep &step);
    void readHead();
    [[nodiscard]] absl::Status catchUp(const HeadRow &head);
    [[nodiscard]] absl::Status startFromSnapshot(RevisionNumber head);
    void takeSnapshot();
    [[nodiscard]] bool takeHeadRequest();
    void publish();
    void release();
    void waitForNext();

    std::shared_ptr<RelayHub> m_hub;
    LeaseDuty m_duty; ///< belongs to the thread
    MonotonicTime m_nextStep;
    MonotonicTime m_nextHead;
    std::vector<RowKey> m_lastHeld;
    std::optional<LeaseTerm> m_rootTerm; ///< guarded by m_mutex
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_readRequested = false;
    bool m_headRequested = false;
    bool m_stopRequested = false;
    std::thread m_thread;
};

} // namespace dandeliondock
