#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/rollout/outcomes.h>
#include <dandeliondock/routing/routing_hooks.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace dandeliondock {

/// \brief Maximum duration of a target's cold start; the cold start also ends after coldStartOutcomes outcomes on this
/// node. The time counts from when the node learned that the target is serving: counted from the first outcome, it
/// would exclude most outcomes of a node with little traffic.
inline constexpr Seconds coldStartTime{5};
/// \brief Number of a target's outcomes on this node after which its cold start ends.
inline constexpr std::uint32_t coldStartOutcomes = 20;
/// \brief Maximum number of targets whose cold start is tracked.
inline constexpr std::size_t trackedTargetLimit = 1'024;
/// \brief Maximum number of pending pairs of rollout and route; each takes about 300 bytes.
inline constexpr std::size_t aggregatorRouteLimit = 256;
/// \brief Maximum number of routes in a batch; a batch of that size stays below the 4 KB/s allowed for control traffic.
inline constexpr std::size_t batchRouteLimit = 24;
/// \brief Maximum number of children whose last sequence number is kept.
inline constexpr std::size_t aggregatorChildLimit = 64;

/// \brief What an attempt shows about its version.
enum class Evidence { None, Success, Failure };

/// \brief Classifies an attempt as evidence about its version. Shed attempts and attempts that were not sent are no
/// evidence. Thread-safe.
[[nodiscard]] Evidence classifyOutcome(const AttemptOutcome &outcome) noexcept;

/// \brief Identifies the process of a child; a restarted child numbers its batches from the start again.
struct ChildId
{
    NodeId node;
    Incarnation incarnation;

    auto operator<=>(const ChildId &) const = default;
};

/// \brief Sums the outcomes of a node and of its children, and splits the sums into numbered batches for the parent.
///
/// \remark Used by one thread only. Entries beyond the limits are dropped and counted, which reduces the evidence but
/// never falsifies it.
class OutcomeAggregator
{
public:
    /// \brief Adds an attempt of a rollout.
    ///
    /// \return False when it is not counted: it is no evidence, its target is in its cold start, or it was dropped.
    bool record(TicketNumber rollout, const AttemptReport &report, MonotonicTime now);

    /// \brief Adds a report that this node stopped its own share of the rollout because of a route. The report is
    /// repeated while the stop lasts, so that a new driver receives it too.
    void recordGuardStop(TicketNumber rollout, const RouteName &route);

    /// \brief Adds a child's batch unless its sequence number was added before.
    ///
    /// \return Whether it was added; also false when aggregatorChildLimit is reached.
    bool addChildBatch(const ChildId &child, const OutcomeBatch &batch);

    /// \brief Returns the batch to send to the parent: the unacknowledged one if there is one, otherwise a new one;
    /// empty when nothing is pending.
    [[nodiscard]] std::optional<OutcomeBatch> batch();

    /// \brief Drops the unacknowledged batch if its sequence number is at most \c sequence.
    void acknowledge(SequenceNumber sequence);

    /// \brief Drops the unacknowledged batch: the former parent may have counted it, and the new one must not count it
    /// again.
    void onParentChanged();

    /// \brief Removes and returns all pending sums, for a driver on this node; they are then not sent to the parent.
    [[nodiscard]] std::vector<RouteOutcomes> takeTotals();

    /// \brief Drops the pending outcomes of every rollout for which \c isKept returns false.
    void retainOnly(const std::function<bool(TicketNumber)> &isKept);

    /// \brief Number of route entries and child batches dropped because of the limits.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    struct ColdStart
    {
        MonotonicTime startedAt;
        std::uint32_t outcomes = 0;
    };
    using Key = std::pair<TicketNumber, RouteName>;

    [[nodiscard]] bool isInColdStart(const AttemptReport &report, MonotonicTime now);
    [[nodiscard]] RouteOutcomes *findOrAddEntry(TicketNumber rollout, const RouteName &route);

    std::map<Key, RouteOutcomes> m_pending;
    std::map<TargetId, ColdStart> m_coldStarts;
    std::map<NodeId, std::pair<Incarnation, SequenceNumber>> m_children;
    std::optional<OutcomeBatch> m_unacknowledged;
    SequenceNumber m_lastSequence;
    std::uint64_t m_dropped = 0;
};

} // namespace dandeliondock
