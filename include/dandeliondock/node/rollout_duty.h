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

/// \brief How the rollout duty reaches the rest of the node.
///
/// \remark Hooks are called from the duty's thread and must return at once: those of the store read what the store's
/// thread last polled, or leave a request with it. A call that blocks for maxDecisionGap makes the driver count as
/// frozen.
struct RolloutHooks
{
    std::function<ConfigStatePtr()> config;
    std::function<std::uint32_t(const ServiceName &, const VersionName &)> targets; ///< number that serve
    /// The fence of the driver's lease; empty unless the lease is held and not expired.
    std::function<std::optional<FencingToken>()> lease;
    /// What the table last said of a rollout's row.
    std::function<StoredRow(TicketNumber)> row;
    /// Requests a write on condition that the row is \c expected and the lease's fence is unchanged. A request is
    /// repeated until row() shows its effect.
    std::function<void(const RolloutRow &row, const std::optional<RolloutRow> &expected)> requestWrite;
    /// Sends a batch to the parent; repeated with the same sequence number until acknowledge().
    std::function<void(const OutcomeBatch &)> sendBatch;
    /// Relays changed records to the parent and the children.
    std::function<void(const std::vector<RolloutRecord> &)> publish;
    TimeSource time;
    LogSink log;
};

/// \brief The thread of duty for rollouts: evidence, guard, records and, while the lease is held, the drivers.
///
/// \remark Every method is thread-safe and returns at once, except stop(). The driver's lease must be held by the root
/// of the tree, where the sums of all nodes arrive.
class RolloutDuty
{
public:
    ~RolloutDuty();

    RolloutDuty(const RolloutDuty &) = delete;
    RolloutDuty &operator=(const RolloutDuty &) = delete;

    /// \brief Takes a finished attempt; when the ring is full the oldest is dropped and counted.
    void report(AttemptReport report);

    /// \brief Takes a record from a parent or a child; false when the ring is full and it must be sent again.
    [[nodiscard]] bool merge(RolloutRecord record);

    /// \brief Takes a child's batch; false when the ring is full and it must not be acknowledged.
    [[nodiscard]] bool addChildBatch(ChildId child, OutcomeBatch batch);

    /// \brief The parent has taken the batch of this number; false when the ring is full.
    [[nodiscard]] bool acknowledge(SequenceNumber sequence);

    /// \brief The node has another parent; false when the ring is full and the call must be repeated before a poll.
    [[nodiscard]] bool parentChanged();

    /// \brief The division of a service's traffic, for use as VersionSplitSource; never waits for the duty's thread.
    [[nodiscard]] std::optional<VersionSplit> split(const Service &service) const;

    /// \brief Ends the thread; later calls do nothing.
    void stop();

private:
    friend class RolloutDutyBuilder;
    struct Impl;
    explicit RolloutDuty(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

/// \brief Builder of a RolloutDuty. Belongs to one thread.
class RolloutDutyBuilder
{
public:
    /// \pre Every hook but \c log is set.
    RolloutDutyBuilder &hooks(RolloutHooks hooks);

    /// \pre \c metrics lives longer than the duty.
    RolloutDutyBuilder &metrics(MetricsRegistry &metrics);

    /// \brief Attempts held for the thread; 4,096 unless set.
    RolloutDutyBuilder &reportCapacity(std::size_t capacity);

    /// \brief Longest time between two decisions; 500 ms unless set.
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
