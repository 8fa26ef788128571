#pragma once

#include <dandeliondock/core/units.h>

#include <array>
#include <cstdint>
#include <mutex>

namespace dandeliondock {

/// \brief Limits on the extra attempts of a node within one window.
struct RetryBudgetLimits
{
    Share requestShare{1'000}; ///< extra attempts allowed as a share of the requests in the window
    std::uint32_t floor = 10;  ///< extra attempts per window that are always allowed, for nodes with few requests

    bool operator==(const RetryBudgetLimits &) const = default;
};

/// \brief Totals of a retry budget over the last 10 s.
struct RetryUsage
{
    std::uint64_t requests = 0;
    std::uint64_t extraAttempts = 0;   ///< retries and hedges
    std::uint64_t upstreamRetries = 0; ///< estimated requests that are caused by a retry further up the call chain
};

/// \brief Limits the sum of retries, hedges and upstream retries to a share of the requests of the last 10 s.
///
/// An upstream retry is a request that a service sends while it handles a retried request.
///
/// \remark Every method is thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetLimits limits = {}) : m_limits(limits) {}

    /// \brief Counts a request of a caller.
    void recordRequest(MonotonicTime now);

    /// \brief Counts a request that is an upstream retry with the probability \c retryProbability. It is an additional
    /// request for the called service and therefore reduces the extra attempts that are allowed.
    void recordUpstreamRetry(MonotonicTime now, Share retryProbability);

    /// \brief Spends one extra attempt; returns false when the budget is exhausted.
    [[nodiscard]] bool tryAcquire(MonotonicTime now);

    /// \brief Returns the totals of the last 10 s.
    [[nodiscard]] RetryUsage usage(MonotonicTime now) const;

private:
    static constexpr std::size_t windowSeconds = 10;

    struct SecondCounts
    {
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t extraAttempts = 0;
        std::uint64_t upstreamRetryParts = 0; ///< sum of the probabilities, in parts of fullShare
    };

    SecondCounts &countsAt(std::int64_t second);
    [[nodiscard]] RetryUsage usageAt(std::int64_t second) const;

    const RetryBudgetLimits m_limits;
    mutable std::mutex m_mutex;
    std::array<SecondCounts, windowSeconds> m_counts;
};

} // namespace dandeliondock
