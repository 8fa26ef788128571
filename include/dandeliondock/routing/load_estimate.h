#pragma once

#include <dandeliondock/core/units.h>

#include <algorithm>
#include <cstdint>

namespace dandeliondock {

/// \brief Age at which a reported load counts for nothing.
inline constexpr Milliseconds loadReportLife{2'000};

/// \brief What a node knows of a target's load: its own requests and the last report, which fades with its age.
///
/// \remark A value; not thread-safe.
class LoadEstimate
{
public:
    void report(Share load, MonotonicTime now) noexcept
    {
        m_reported = load;
        m_reportedAt = now;
    }

    /// \brief Load as a part of the target's slots.
    /// \pre \c slots is greater than 0.
    [[nodiscard]] double value(std::uint32_t inFlight, std::uint32_t slots, MonotonicTime now) const noexcept
    {
        const double own = static_cast<double>(inFlight) / slots;
        const std::chrono::duration<double> age = now - m_reportedAt;
        const double fading = std::max(0.0, 1.0 - age / std::chrono::duration<double>(loadReportLife));
        return own + fading * m_reported.value() / fullShare.value();
    }

private:
    Share m_reported;
    MonotonicTime m_reportedAt;
};

} // namespace dandeliondock
