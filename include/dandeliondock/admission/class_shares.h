#pragma once

#include <dandeliondock/config/resources.h>
#include <dandeliondock/core/units.h>

#include <array>

namespace dandeliondock {

/// \brief Time constant with which older requests are forgotten.
inline constexpr Seconds classShareTime{5};
/// \brief Requests of a class that must be known before its share counts.
inline constexpr double minCountedRequests = 10;
/// \brief Share of served requests from which a class counts as served.
inline constexpr double fullyServedShare = 0.95;

/// \brief Shares of the requests of each work class that a target serves. While a class is refused, a less urgent one
/// must not be served more often: its requests can wait longer and would otherwise take the slots that become free.
///
/// \remark Not thread-safe.
class ClassShares
{
public:
    /// \brief Records a request that arrives.
    void recordOffered(WorkClass workClass, MonotonicTime now);

    /// \brief Records a request that gets a slot.
    void recordServed(WorkClass workClass) noexcept;

    /// \brief Whether a more urgent class is refused and served less often than this one.
    [[nodiscard]] bool isServedBeforeUrgent(WorkClass workClass) const noexcept;

private:
    struct Counts
    {
        double offered = 0;
        double served = 0;
    };

    std::array<Counts, 3> m_counts; ///< by work class
    MonotonicTime m_decayedAt;
};

} // namespace dandeliondock
