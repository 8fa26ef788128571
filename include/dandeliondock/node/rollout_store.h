#pragma once

#include <dandeliondock/core/bounded_ring.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/core/time_source.h>
#include <dandeliondock/rollout/rollout_driver.h>
#include <dandeliondock/store/row_types.h>
#include <dandeliondock/store/store_hooks.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace dandeliondock {

/// \brief How the thread reaches the rest of the node.
struct RolloutStoreHooks
{
    StoreHooks store;
    TimeSource time;
    LogSink log;
    MetricsRegistry *metrics = nullptr; ///< outlives the thread
    RowKey leaseKey;                    ///< of the driver's lease
};

/// \brief The thread that reads and writes the rollouts' rows for the driver, so that the driver never waits for the
/// store.
///
/// \remark Every method is thread-safe.
class RolloutStore
{
public:
    /// \pre Every hook but \c log is set.
    explicit RolloutStore(RolloutStoreHooks hooks);
    ~RolloutStore();

    RolloutStore(const RolloutStore &) = delete;
    RolloutStore &operator=(const RolloutStore &) = delete;

    /// \brief What the table last said of a row; rows that are asked for are read again at intervals.
    [[nodiscard]] StoredRow row(TicketNumber ticket);

    /// \brief Requests a write on condition that the row is \c expected and the lease's fence is the row's. A request
    /// that does not fit into the ring is dropped; the driver repeats it.
    void write(const RolloutRow &row, const std::optional<RolloutRow> &expected);

    /// \brief Ends the thread.
    void stop();

private:
    struct WriteRequest
    {
        RolloutRow row;
        std::optional<RolloutRow> expected;
    };

    void run();
    void perform(const WriteRequest &request);
    [[nodiscard]] absl::StatusOr<bool> commit(const WriteRequest &request);
    void refresh();
    [[nodiscard]] std::vector<TicketNumber> askedLately();

    RolloutStoreHooks m_hooks;
    BoundedRing<WriteRequest> m_writes;
    std::mutex m_mutex;
    std::map<TicketNumber, MonotonicTime> m_asked;
    std::map<TicketNumber, StoredRow> m_views;
    std::thread m_thread;
};

/// \brief The rollout rows of tickets; absent rows are left out. Thread-safe.
[[nodiscard]] absl::StatusOr<std::vector<RolloutRow>> readRolloutRows(const StoreHooks &store,
                                                                      const std::vector<TicketNumber> &tickets);

} // namespace dandeliondock
