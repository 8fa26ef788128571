#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace dandeliondock {

/// \brief Estimates the delay after which a slow attempt is hedged: the 95th percentile of the route's recent latency.
///
/// \remark Every method is thread-safe.
class HedgeDelayEstimator
{
public:
    /// \brief Records the latency of a response.
    void record(const RouteName &route, Microseconds latency);

    /// \brief Returns the delay before a hedge; empty until enough responses are recorded.
    [[nodiscard]] std::optional<Microseconds> delay(const RouteName &route) const;

private:
    static constexpr std::size_t bucketCount = 96;

    struct Latencies
    {
        std::uint64_t count = 0;
        std::array<std::uint32_t, bucketCount> buckets{};
    };

    mutable std::mutex m_mutex;
    std::map<RouteName, Latencies> m_routes;
};

} // namespace dandeliondock
