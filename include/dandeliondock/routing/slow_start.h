#pragma once

#include <dandeliondock/core/units.h>

#include <algorithm>

namespace dandeliondock {

/// \brief Time over which the weight of a target grows after it began to serve.
inline constexpr Milliseconds slowStartTime{10'000};
/// \brief Weight at the beginning; above zero, so that the target warms up at all.
inline constexpr double slowStartFloor = 0.1;

/// \brief Weight of a target in the draw of candidates, from the floor to 1. Thread-safe.
[[nodiscard]] inline double slowStartWeight(MonotonicTime servingSince, MonotonicTime now) noexcept
{
    const double part =
            std::chrono::duration<double>(now - servingSince) / std::chrono::duration<double>(slowStartTime);
    return std::clamp(slowStartFloor + (1.0 - slowStartFloor) * part, slowStartFloor, 1.0);
}

} // namespace dandeliondock
