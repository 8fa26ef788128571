#pragma once

#include <dandeliondock/core/units.h>

#include <algorithm>

namespace dandeliondock {

/// \brief Time over which the weight of a target grows after it started serving.
inline constexpr Milliseconds slowStartDuration{10'000};
/// \brief Initial weight; above zero, because a target without requests would never warm up.
inline constexpr double minSlowStartWeight = 0.1;

/// \brief Returns the weight of a target in the random choice of targets, from minSlowStartWeight to 1. Thread-safe.
[[nodiscard]] inline double slowStartWeight(MonotonicTime servingSince, MonotonicTime now) noexcept
{
    const double elapsedFraction =
            std::chrono::duration<double>(now - servingSince) / std::chrono::duration<double>(slowStartDuration);
    return std::clamp(minSlowStartWeight + (1.0 - minSlowStartWeight) * elapsedFraction, minSlowStartWeight, 1.0);
}

} // namespace dandeliondock
