#pragma once

#include <dandeliondock/core/units.h>

#include <optional>

namespace dandeliondock {

/// \brief Gap between two ticks above which the process counts as paused.
inline constexpr Milliseconds pauseThreshold{2'000};

/// \brief Detects from the gaps between timer ticks that this process was paused.
///
/// \remark Not thread-safe.
class PauseDetector
{
public:
    /// \brief Records a tick. Returns whether the gap since the previous tick exceeds pauseThreshold.
    [[nodiscard]] bool onTick(MonotonicTime now) noexcept;

private:
    std::optional<MonotonicTime> m_lastTick;
};

} // namespace dandeliondock
