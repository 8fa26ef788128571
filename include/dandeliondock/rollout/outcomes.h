#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace dandeliondock {

/// \brief Number of logarithmic latency buckets. Bucket i counts the latencies below 0.25 ms * 2^i that no lower bucket
/// counts; the last one counts all others.
inline constexpr std::size_t outcomeLatencyBuckets = 20;

/// \brief Outcome counts of one version on one route; summed member by member, see addOutcomes().
struct OutcomeSummary
{
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::array<std::uint32_t, outcomeLatencyBuckets> latencyBuckets{};

    bool operator==(const OutcomeSummary &) const = default;
};

/// \brief Outcome counts of the old and the new version on one route of a rollout, from the same period.
struct RouteOutcomes
{
    TicketNumber rollout;
    RouteName route;
    OutcomeSummary oldVersion;
    OutcomeSummary newVersion;
    std::uint32_t guardStops = 0; ///< reports that a node's guard stopped its own share because of this route

    bool operator==(const RouteOutcomes &) const = default;
};

/// \brief Adds \c other to \c sum. Thread-safe on distinct objects.
void addOutcomes(OutcomeSummary &sum, const OutcomeSummary &other);

/// \brief Adds the counts of both versions and the guard stops of \c other to \c sum. Thread-safe on distinct objects.
/// \pre Both belong to the same rollout and route.
void addOutcomes(RouteOutcomes &sum, const RouteOutcomes &other);

/// \brief Returns the index of the bucket that counts a latency. Thread-safe.
[[nodiscard]] std::size_t latencyBucket(Microseconds latency) noexcept;

/// \brief Outcomes of a node and its subtree; the parent adds a batch once, by its sequence number.
struct OutcomeBatch
{
    SequenceNumber sequence;
    std::vector<RouteOutcomes> routes;

    bool operator==(const OutcomeBatch &) const = default;
};

} // namespace dandeliondock
