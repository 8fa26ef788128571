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

/// \brief A target's cold start ends at the earlier of this age and coldStartAnswers, as this node saw it. The age
/// counts from when the node learnt that the target serves: a node with little traffic would otherwise exclude most of
/// it.
inline constexpr Seconds coldStartTime{5};
inline constexpr std::uint32_t coldStartAnswers = 20;
/// \brief Most targets whose cold start is tracked.
inline constexpr std::size_t trackedTargetLimit = 1'024;
/// \brief Most pairs of rollout and route held; each takes about 300 bytes.
inline constexpr std::size_t windowRouteLimit = 256;
/// \brief Most routes in a batch; a batch of that size stays below the 4 KB a second of control traffic.
inline constexpr std::size_t batchRouteLimit = 24;
/// \brief Most children whose last sequence number is remembered.
inline constexpr std::size_t windowChildLimit = 64;

/// \brief What an attempt says of its version.
enum class Evidence { None, Success, Failure };

/// \brief Sheds and attempts that were not sent say nothing of a version. Thread-safe.
[[nodiscard]] Evidence classifyOutcome(const AttemptOutcome &outcome) noexcept;

/// \brief A child's process; a restarted child counts its batches anew.
struct ChildId
{
    NodeId node;
    Incarnation incarnation;

    auto operator<=>(const ChildId &) const = default;
};

/// \brief Sums a node's own outcomes and its children's, and passes them up in numbered batches.
///
/// \remark Belongs to one thread. What does not fit is dropped and counted: less evidence, never false evidence.
class OutcomeAggregator
{
public:
    /// \brief Takes an attempt of a rollout; false when it is no evidence.
    bool record(TicketNumber rollout, const AttemptReport &report, MonotonicTime now);

    /// \brief Adds a report that this node stopped its own share because of a route; repeated while the stop lasts, so
    /// that a new driver learns of it.
    void recordStop(TicketNumber rollout, const RouteName &route);

    /// \brief Adds a child's batch unless its sequence number was taken before; true when it was added.
    bool addChildBatch(const ChildId &child, const OutcomeBatch &batch);

    /// \brief The batch to send up: the unacknowledged one again, otherwise the next; empty when there is none.
    [[nodiscard]] std::optional<OutcomeBatch> batch();

    /// \brief Forgets the batch that the parent has taken.
    void acknowledge(SequenceNumber sequence);

    /// \brief Drops the unacknowledged batch: the former parent may have taken it, so a new one must not count it
    /// again.
    void onParentChanged();

    /// \brief Takes everything held as sums, for the driver in place of sending it up.
    [[nodiscard]] std::vector<RouteOutcomes> takeTotals();

    /// \brief Drops the outcomes of every rollout that \c isKept does not name.
    void keepOnly(const std::function<bool(TicketNumber)> &isKept);

    /// \brief Route entries that did not fit.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    struct ColdStart
    {
        MonotonicTime firstSeen;
        std::uint32_t answers = 0;
    };
    using Key = std::pair<TicketNumber, RouteName>;

    [[nodiscard]] bool isCold(const AttemptReport &report, MonotonicTime now);
    [[nodiscard]] RouteOutcomes *entry(TicketNumber rollout, const RouteName &route);

    std::map<Key, RouteOutcomes> m_pending;
    std::map<TargetId, ColdStart> m_targets;
    std::map<NodeId, std::pair<Incarnation, SequenceNumber>> m_children;
    std::optional<OutcomeBatch> m_unacknowledged;
    SequenceNumber m_lastSequence;
    std::uint64_t m_dropped = 0;
};

} // namespace dandeliondock
