#include <dandeliondock/attempts/retry_budget.h>

namespace dandeliondock {

namespace {

std::int64_t secondsSinceEpoch(MonotonicTime now)
{
    return std::chrono::floor<Seconds>(now.time_since_epoch()).count();
}

} // namespace

RetryBudget::SecondCounts &RetryBudget::countsAt(std::int64_t second)
{
    SecondCounts &counts = m_counts[static_cast<std::size_t>(second) % windowSeconds];
    if (counts.second != second)
        counts = {second, 0, 0, 0};
    return counts;
}

void RetryBudget::recordRequest(MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    ++countsAt(secondsSinceEpoch(now)).requests;
}

void RetryBudget::recordUpstreamRetry(MonotonicTime now, Share retryProbability)
{
    const std::scoped_lock lock(m_mutex);
    countsAt(secondsSinceEpoch(now)).upstreamRetryParts += retryProbability.value();
}

RetryUsage RetryBudget::usageAt(std::int64_t second) const
{
    RetryUsage total;
    std::uint64_t upstreamRetryParts = 0;
    for (const SecondCounts &counts : m_counts) {
        if (counts.second <= second - static_cast<std::int64_t>(windowSeconds))
            continue;
        total.requests += counts.requests;
        total.extraAttempts += counts.extraAttempts;
        upstreamRetryParts += counts.upstreamRetryParts;
    }
    total.upstreamRetries = upstreamRetryParts / fullShare.value();
    return total;
}

RetryUsage RetryBudget::usage(MonotonicTime now) const
{
    const std::scoped_lock lock(m_mutex);
    return usageAt(secondsSinceEpoch(now));
}

bool RetryBudget::tryAcquire(MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    const std::int64_t second = secondsSinceEpoch(now);
    const RetryUsage total = usageAt(second);
    if (total.extraAttempts + total.upstreamRetries
        >= m_limits.floor + total.requests * m_limits.requestShare.value() / fullShare.value())
        return false;
    ++countsAt(second).extraAttempts;
    return true;
}

} // namespace dandeliondock
