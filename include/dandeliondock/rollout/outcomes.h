#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace dandeliondock {

/// \brief Number of logarithmic latency buckets; bucket i holds latencies below 0.25 ms * 2^i, the last one the rest.
inline constexpr std::size_t outcomeLatencyBuckets = 20;

/// \brief Outcomes of one version on one route in a window; sums are formed by adding member by member.
struct OutcomeSummary
{
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::array<std::uint32_t, outcomeLatencyBuckets> latencyBuckets{};

    bool operator==(const OutcomeSummary &) const = default;
};

/// \brief Outcomes of the old and the new version side by side on one route of a rollout.
struct RouteOutcomes
{
    TicketNumber rollout;
    RouteName route;
    OutcomeSummary oldVersion;
    OutcomeSummary newVersion;
    std::uint32_t guardStops = 0; ///< reports of nodes that stopped their own share because of this route

    bool operator==(const RouteOutcomes &) const = default;
};

/// \brief Adds \c other to \c sum. Thread-safe on distinct objects.
void addOutcomes(OutcomeSummary &sum, const OutcomeSummary &other);

/// \brief Adds both sides and the guard stops of \c other to \c sum.
/// \pre Both are of the same rollout and route.
void addOutcomes(RouteOutcomes &sum, const RouteOutcomes &other);

/// \brief Index of the bucket that holds a latency. Thread-safe.
[[nodiscard]] std::size_t latencyBucket(Microseconds latency) noexcept;

/// \brief Outcomes of a subtree; a batch is taken once by its sequence number.
struct OutcomeBatch
{
    SequenceNumber sequence;
    std::vector<RouteOutcomes> routes;

    bool operator==(const OutcomeBatch &) const = default;
};

} // namespace dandeliondock
