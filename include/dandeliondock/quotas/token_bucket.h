#pragma once

#include <dandeliondock/core/units.h>

namespace dandeliondock {

/// \brief Rate and capacity of a token bucket.
struct TokenBucketLimits
{
    RequestRate rate;
    RequestAmount depth; ///< largest number of tokens
};

/// \brief Token bucket whose limits may change between calls. It starts full.
///
/// \remark Not thread-safe.
class TokenBucket
{
public:
    /// \brief Whether a token is available at \c now.
    [[nodiscard]] bool hasToken(const TokenBucketLimits &limits, MonotonicTime now);

    /// \brief Takes a token.
    /// \pre hasToken() returned true for the same time.
    void take() { m_tokens -= 1; }

    /// \brief Returns a token that was taken; the depth still limits the sum at the next call.
    void giveBack() { m_tokens += 1; }

    /// \brief Time until a token is available, from the time of the last hasToken().
    [[nodiscard]] Milliseconds timeToToken(const TokenBucketLimits &limits) const;

private:
    double m_tokens = 0;
    MonotonicTime m_filledAt;
    bool m_isStarted = false;
};

} // namespace dandeliondock
