#include <dandeliondock/attempts/hedge_delay_estimator.h>

#include <algorithm>
#include <cmath>

namespace dandeliondock {

namespace {

constexpr double firstUpperBoundMicroseconds = 50;
constexpr double upperBoundRatio = 1.2;
constexpr std::uint64_t minResponses = 50;
// The counts are halved when a route reaches this number of responses, so that old responses lose their weight.
constexpr std::uint64_t halvingThreshold = 2'000;

std::size_t bucketIndex(Microseconds latency, std::size_t count)
{
    const double ratio = std::max(1.0, static_cast<double>(latency.count()) / firstUpperBoundMicroseconds);
    return std::min(count - 1, static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(upperBoundRatio))));
}

Microseconds bucketUpperBound(std::size_t bucket)
{
    const double upperBound = firstUpperBoundMicroseconds * std::pow(upperBoundRatio, static_cast<double>(bucket));
    return Microseconds(static_cast<std::int64_t>(upperBound));
}

} // namespace

void HedgeDelayEstimator::record(const RouteName &route, Microseconds latency)
{
    const std::scoped_lock lock(m_mutex);
    Latencies &latencies = m_routes[route];
    ++latencies.buckets[bucketIndex(latency, bucketCount)];
    ++latencies.count;
    if (latencies.count < halvingThreshold)
        return;
    latencies.count = 0;
    for (std::uint32_t &bucket : latencies.buckets) {
        bucket /= 2;
        latencies.count += bucket;
    }
}

std::optional<Microseconds> HedgeDelayEstimator::delay(const RouteName &route) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || found->second.count < minResponses)
        return std::nullopt;
    const std::uint64_t rank = found->second.count - found->second.count / 20;
    std::uint64_t cumulativeCount = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        cumulativeCount += found->second.buckets[bucket];
        if (cumulativeCount >= rank)
            return bucketUpperBound(bucket);
    }
    return std::nullopt;
}

} // namespace dandeliondock
