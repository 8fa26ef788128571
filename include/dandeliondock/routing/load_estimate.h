#pragma once

#include <dandeliondock/core/units.h>

#include <algorithm>
#include <cstdint>

namespace dandeliondock {

/// \brief Age at which a reported load is ignored.
inline constexpr Milliseconds loadReportTtl{2'000};

/// \brief Estimated load of a target: this node's requests in flight plus the last reported load, whose weight
/// decreases linearly with its age.
///
/// \remark A value; not thread-safe.
class LoadEstimate
{
public:
    /// \brief Records a load reported by the target.
    void report(Share load, MonotonicTime now) noexcept
    {
        m_reported = load;
        m_reportedAt = now;
    }

    /// \brief Returns the load relative to the target's slots.
    /// \pre \c slots is greater than 0.
    [[nodiscard]] double value(std::uint32_t inFlight, std::uint32_t slots, MonotonicTime now) const noexcept
    {
        const double ownLoad = static_cast<double>(inFlight) / slots;
        const std::chrono::duration<double> age = now - m_reportedAt;
        const double freshness = std::max(0.0, 1.0 - age / std::chrono::duration<double>(loadReportTtl));
        return ownLoad + freshness * m_reported.value() / fullShare.value();
    }

private:
    Share m_reported;
    MonotonicTime m_reportedAt;
};

} // namespace dandeliondock
