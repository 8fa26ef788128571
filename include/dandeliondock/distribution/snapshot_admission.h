#pragma once

#include <dandeliondock/core/units.h>

#include <cstddef>
#include <optional>

namespace dandeliondock {

inline constexpr std::size_t maxSnapshotsServed = 4;

/// \brief Limits the number of snapshots served at once and tells rejected nodes when to retry.
///
/// \remark Not thread-safe. Each rejected request gets the next free time slot as its retry delay. The slots follow the
/// average serving time, so that rejected nodes do not all retry at once.
class SnapshotAdmission
{
public:
    /// \brief Reserves one of the places. Returns nothing on success, otherwise the time after which to retry.
    [[nodiscard]] std::optional<Milliseconds> admit(MonotonicTime now);

    /// \brief Releases a place.
    /// \pre admit() succeeded at \c started and finish() was not called for it.
    void finish(MonotonicTime started, MonotonicTime now);

    /// \brief Returns the number of snapshots being served.
    [[nodiscard]] std::size_t servingCount() const noexcept { return m_servingCount; }

private:
    std::size_t m_servingCount = 0;
    Microseconds m_averageServingTime{100'000};
    MonotonicTime m_nextSlot;
};

} // namespace dandeliondock
