#pragma once

#include <dandeliondock/core/units.h>

#include <cstddef>
#include <optional>

namespace dandeliondock {

inline constexpr std::size_t maxSnapshotsServed = 4;

/// \brief Limits the snapshots served at once and tells the others when to return.
///
/// \remark One thread at a time. The hint of each refusal is the next unclaimed slot at the measured serving time, so
/// that refused nodes return spread over time and not together.
class SnapshotAdmission
{
public:
    /// \brief Takes a place; empty on success, else the time after which to ask again.
    [[nodiscard]] std::optional<Milliseconds> admit(MonotonicTime now);

    /// \brief Returns a place.
    /// \pre admit() succeeded at \c started and finish() was not called for it.
    void finish(MonotonicTime started, MonotonicTime now);

    [[nodiscard]] std::size_t serving() const noexcept { return m_serving; }

private:
    std::size_t m_serving = 0;
    Microseconds m_servingTime{100'000};
    MonotonicTime m_nextSlot;
};

} // namespace dandeliondock
