#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/core/time_source.h>
#include <dandeliondock/rollout/outcome_aggregator.h>
#include <dandeliondock/rollout/rollout_driver.h>
#include <dandeliondock/routing/routing_hooks.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Hooks through which the rollout duty uses the rest of the node.
///
/// \remark Hooks are called from the duty's thread and must not block: the hooks of the store return what the store's
/// thread last read, or queue a request for it. After a call that blocks for maxDecisionGap the driver counts as
/// paused.
struct RolloutHooks
{
    std::function<ConfigStatePtr()> config;
    std::function<std::uint32_t(const ServiceName &, const VersionName &)> servingCount; ///< number of serving targets
    /// Returns the fencing token of the driver's lease; empty unless the lease is held and not expired.
    std::function<std::optional<FencingToken>()> lease;
    /// Returns the row of a rollout as last read from the table.
    std::function<StoredRow(TicketNumber)> row;
    /// Queues a write on condition that the row equals \c expected and the lease's fencing token is unchanged. The
    /// request is repeated until row() shows its effect.
    std::function<void(const RolloutRow &row, const std::optional<RolloutRow> &expected)> requestWrite;
    /// Sends a batch to the parent; called again with the same sequence number until acknowledge().
    std::function<void(const OutcomeBatch &)> sendBatch;
    /// Relays changed records to the parent and the children.
    std::function<void(const std::vector<RolloutRecord> &)> publish;
    TimeSource time;
    LogSink log;
};

/// \brief The duty, with its own thread, for rollouts: it evaluates outcomes, runs the local guard, keeps the records
/// and, while the lease is held, runs the rollout drivers.
///
/// \remark Every method is thread-safe and does not block, except stop(). The driver's lease must be held by the root
/// of the tree, because the outcomes of all nodes are summed there.
class RolloutDuty
{
public:
    ~RolloutDuty();

    RolloutDuty(const RolloutDuty &) = delete;
    RolloutDuty &operator=(const RolloutDuty &) = delete;

    /// \brief Queues a finished attempt; when the ring is full the oldest one is dropped and counted.
    void report(AttemptReport report);

    /// \brief Queues a record from a parent or a child. A rollback takes effect on split() immediately.
    /// \return False when the ring is full and the record must be sent again.
    [[nodiscard]] bool merge(RolloutRecord record);

    /// \brief Queues a child's outcome batch.
    /// \return False when the ring is full and the batch must not be acknowledged.
    [[nodiscard]] bool addChildBatch(ChildId child, OutcomeBatch batch);

    /// \brief Reports that the parent acknowledged the batch of this number.
    /// \return False when the ring is full.
    [[nodiscard]] bool acknowledge(SequenceNumber sequence);

    /// \brief Reports that the node has another parent.
    /// \return False when the ring is full and the call must be repeated before the next poll.
    [[nodiscard]] bool onParentChanged();

    /// \brief Returns how a service's traffic is split between its versions, for use as VersionSplitSource; never waits
    /// for the duty's thread.
    [[nodiscard]] std::optional<VersionSplit> split(const Service &service) const;

    /// \brief Ends the thread and waits for it; later calls do nothing.
    void stop();

private:
    friend class RolloutDutyBuilder;
    struct Impl;
    explicit RolloutDuty(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

/// \brief Builder of a RolloutDuty. Must be used by one thread at a time.
class RolloutDutyBuilder
{
public:
    /// \pre Every hook but \c log is set.
    RolloutDutyBuilder &hooks(RolloutHooks hooks);

    /// \pre \c metrics outlives the duty.
    RolloutDutyBuilder &metrics(MetricsRegistry &metrics);

    /// \brief Sets the capacity of the ring of finished attempts; default 4,096.
    RolloutDutyBuilder &reportCapacity(std::size_t capacity);

    /// \brief Sets the longest time between two decisions; default 500 ms.
    /// \pre \c interval is shorter than maxDecisionGap.
    RolloutDutyBuilder &interval(Milliseconds interval);

    /// \brief Starts the thread.
    /// \pre hooks() and metrics() were called.
    [[nodiscard]] std::unique_ptr<RolloutDuty> start();

private:
    RolloutHooks m_hooks;
    MetricsRegistry *m_metrics = nullptr;
    std::size_t m_reportCapacity = 4'096;
    Milliseconds m_interval{500};
};

} // namespace dandeliondock
