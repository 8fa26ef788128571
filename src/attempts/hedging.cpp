#include <dandeliondock/attempts/hedging.h>

#include <algorithm>
#include <cmath>

namespace dandeliondock {

namespace {

constexpr double firstEdgeMicroseconds = 50;
constexpr double edgeRatio = 1.2;
constexpr std::uint64_t minimumAnswers = 50;
// The counts are halved at this number, so that old answers lose their weight.
constexpr std::uint64_t halvingAnswers = 2'000;

std::size_t bucketOf(Microseconds latency, std::size_t count)
{
    const double ratio = std::max(1.0, static_cast<double>(latency.count()) / firstEdgeMicroseconds);
    return std::min(count - 1, static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(edgeRatio))));
}

Microseconds upperEdge(std::size_t bucket)
{
    const double edge = firstEdgeMicroseconds * std::pow(edgeRatio, static_cast<double>(bucket));
    return Microseconds(static_cast<std::int64_t>(edge));
}

} // namespace

void HedgeDelayEstimator::record(const RouteName &route, Microseconds latency)
{
    const std::scoped_lock lock(m_mutex);
    Latencies &latencies = m_routes[route];
    ++latencies.buckets[bucketOf(latency, bucketCount)];
    ++latencies.count;
    if (latencies.count < halvingAnswers)
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
    if (found == m_routes.end() || found->second.count < minimumAnswers)
        return std::nullopt;
    const std::uint64_t rank = found->second.count - found->second.count / 20;
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        seen += found->second.buckets[bucket];
        if (seen >= rank)
            return upperEdge(bucket);
    }
    return std::nullopt;
}

} // namespace dandeliondock
