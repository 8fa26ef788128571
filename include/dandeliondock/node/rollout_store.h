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

/// \brief Dependencies of RolloutStore.
struct RolloutStoreHooks
{
    StoreHooks store;
    TimeSource time;
    LogSink log;
    MetricsRegistry *metrics = nullptr; ///< must outlive the thread
    RowKey leaseKey;                    ///< key of the driver's lease
};

/// \brief Thread that reads and writes rollout rows for the rollout driver, so that the driver never waits for the
/// store.
///
/// \remark Every method is thread-safe.
class RolloutStore
{
public:
    /// \brief Starts the thread.
    /// \pre Every hook but \c log is set.
    explicit RolloutStore(RolloutStoreHooks hooks);
    ~RolloutStore();

    RolloutStore(const RolloutStore &) = delete;
    RolloutStore &operator=(const RolloutStore &) = delete;

    /// \brief Returns a row as last read from the table. The thread re-reads rows that were requested within the last
    /// 5 s.
    [[nodiscard]] StoredRow row(TicketNumber ticket);

    /// \brief Queues a write on condition that the stored row equals \c expected and the lease's fencing token is that
    /// of \c row. When the ring is full the request is dropped; the driver repeats it.
    void write(const RolloutRow &row, const std::optional<RolloutRow> &expected);

    /// \brief Ends the thread and waits for it.
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
    [[nodiscard]] std::vector<TicketNumber> recentlyRequested();

    RolloutStoreHooks m_hooks;
    BoundedRing<WriteRequest> m_writes;
    std::mutex m_mutex;
    std::map<TicketNumber, MonotonicTime> m_lastRequested;
    std::map<TicketNumber, StoredRow> m_rows;
    std::thread m_thread;
};

/// \brief Reads the rollout rows of tickets and omits those that do not exist. Thread-safe.
[[nodiscard]] absl::StatusOr<std::vector<RolloutRow>> readRolloutRows(const StoreHooks &store,
                                                                      const std::vector<TicketNumber> &tickets);

} // namespace dandeliondock
