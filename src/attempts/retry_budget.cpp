#include <dandeliondock/attempts/retry_budget.h>

namespace dandeliondock {

namespace {

std::int64_t secondOf(MonotonicTime now)
{
    return std::chrono::floor<Seconds>(now.time_since_epoch()).count();
}

} // namespace

RetryBudget::Slot &RetryBudget::slotAt(std::int64_t second)
{
    Slot &slot = m_slots[static_cast<std::size_t>(second) % windowSeconds];
    if (slot.second != second)
        slot = {second, 0, 0, 0};
    return slot;
}

void RetryBudget::recordRequest(MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    ++slotAt(secondOf(now)).requests;
}

void RetryBudget::recordUpstreamRetry(MonotonicTime now, Share part)
{
    const std::scoped_lock lock(m_mutex);
    slotAt(secondOf(now)).inheritedParts += part.value();
}

RetryUsage RetryBudget::usageAt(std::int64_t second) const
{
    RetryUsage used;
    std::uint64_t inheritedParts = 0;
    for (const Slot &slot : m_slots) {
        if (slot.second <= second - static_cast<std::int64_t>(windowSeconds))
            continue;
        used.requests += slot.requests;
        used.taken += slot.taken;
        inheritedParts += slot.inheritedParts;
    }
    used.upstreamRetries = inheritedParts / fullShare.value();
    return used;
}

RetryUsage RetryBudget::usage(MonotonicTime now) const
{
    const std::scoped_lock lock(m_mutex);
    return usageAt(secondOf(now));
}

bool RetryBudget::tryAcquire(MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    const std::int64_t second = secondOf(now);
    const RetryUsage used = usageAt(second);
    if (used.taken + used.upstreamRetries
        >= m_limits.floor + used.requests * m_limits.requestShare.value() / fullShare.value())
        return false;
    ++slotAt(second).taken;
    return true;
}

} // namespace dandeliondock
