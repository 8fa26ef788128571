#include <dandeliondock/rollout/outcomes.h>

namespace dandeliondock {

namespace {

constexpr Microseconds firstBucketLimit{250};

} // namespace

void addOutcomes(OutcomeSummary &sum, const OutcomeSummary &other)
{
    sum.requests += other.requests;
    sum.failures += other.failures;
    for (std::size_t index = 0; index < outcomeLatencyBuckets; ++index)
        sum.latencyBuckets[index] += other.latencyBuckets[index];
}

void addOutcomes(RouteOutcomes &sum, const RouteOutcomes &other)
{
    addOutcomes(sum.oldVersion, other.oldVersion);
    addOutcomes(sum.newVersion, other.newVersion);
    sum.guardStops += other.guardStops;
}

std::size_t latencyBucket(Microseconds latency) noexcept
{
    std::size_t index = 0;
    Microseconds bucketLimit = firstBucketLimit;
    while (latency >= bucketLimit && index + 1 < outcomeLatencyBuckets) {
        bucketLimit *= 2;
        ++index;
    }
    return index;
}

} // namespace dandeliondock
