#include <dandeliondock/quotas/token_bucket.h>

#include <algorithm>
#include <cmath>

namespace dandeliondock {

bool TokenBucket::hasToken(const TokenBucketLimits &limits, MonotonicTime now)
{
    const double depth = limits.depth.value();
    if (!m_isStarted) {
        m_isStarted = true;
        m_tokens = depth;
    } else if (now > m_filledAt) {
        m_tokens += limits.rate.value() * std::chrono::duration<double>(now - m_filledAt).count();
    }
    m_filledAt = std::max(m_filledAt, now);
    m_tokens = std::min(m_tokens, depth);
    return m_tokens >= 1;
}

Milliseconds TokenBucket::timeToToken(const TokenBucketLimits &limits) const
{
    // The longest wait covers rates near 0.
    constexpr double longestSeconds = 60;
    if (m_tokens >= 1)
        return Milliseconds{0};
    const double seconds = limits.rate.value() > 0 ? (1 - m_tokens) / limits.rate.value() : longestSeconds;
    return Milliseconds(static_cast<std::int64_t>(std::ceil(std::min(seconds, longestSeconds) * 1'000)));
}

} // namespace dandeliondock
