#pragma once

#include <dandeliondock/core/units.h>

#include <optional>

namespace dandeliondock {

inline constexpr Milliseconds pauseThreshold{2'000};

/// \brief Notices that this process was paused, from the gaps between the ticks of its own timer.
///
/// \remark One thread at a time.
class PauseDetector
{
public:
    /// \brief Notes a tick; true when the gap since the last one exceeds pauseThreshold.
    [[nodiscard]] bool onTick(MonotonicTime now) noexcept;

private:
    std::optional<MonotonicTime> m_last;
};

} // namespace dandeliondock
