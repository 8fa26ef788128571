#pragma once

#include <dandeliondock/core/units.h>

#include <array>
#include <cstdint>
#include <mutex>

namespace dandeliondock {

/// \brief How many extra attempts a node may make.
struct RetryBudgetLimits
{
    Share requestShare{1'000}; ///< of the requests in the window
    std::uint32_t floor = 10;  ///< extra attempts a window that are always allowed, for nodes with few requests

    bool operator==(const RetryBudgetLimits &) const = default;
};

/// \brief What a budget holds of the last 10 s.
struct RetryUsage
{
    std::uint64_t requests = 0;
    std::uint64_t taken = 0;
    std::uint64_t upstreamRetries = 0; ///< requests that are calls of repeated runs, as estimated
};

/// \brief Bounds retries, hedges and calls of repeated runs together to a share of the requests of the last 10 s.
///
/// \remark Every method is thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetLimits limits = {}) : m_limits(limits) {}

    /// \brief Counts a caller's request.
    void recordRequest(MonotonicTime now);

    /// \brief Counts a request that is, with the probability \c part, a call of a repeated run: it is one more for the
    /// service that is called, and leaves less for extra attempts.
    void recordUpstreamRetry(MonotonicTime now, Share part);

    /// \brief Takes one extra attempt; false when the budget is spent.
    [[nodiscard]] bool tryAcquire(MonotonicTime now);

    [[nodiscard]] RetryUsage usage(MonotonicTime now) const;

private:
    static constexpr std::size_t windowSeconds = 10;

    struct Slot
    {
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t taken = 0;
        std::uint64_t inheritedParts = 0; ///< of fullShare
    };

    Slot &slotAt(std::int64_t second);
    [[nodiscard]] RetryUsage usageAt(std::int64_t second) const;

    const RetryBudgetLimits m_limits;
    mutable std::mutex m_mutex;
    std::array<Slot, windowSeconds> m_slots;
};

} // namespace dandeliondock
