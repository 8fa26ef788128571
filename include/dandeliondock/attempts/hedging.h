#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace dandeliondock {

/// \brief When a second attempt starts beside a slow one: at the 95th percentile of the route's recent latency.
///
/// \remark Every method is thread-safe.
class HedgeDelayEstimator
{
public:
    /// \brief Counts the latency of an answer.
    void record(const RouteName &route, Microseconds latency);

    /// \brief Delay before a hedge; empty until enough answers were seen.
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
