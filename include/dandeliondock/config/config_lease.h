#pragma once

#include <dandeliondock/core/boot_clock.h>
#include <dandeliondock/core/units.h>

#include <optional>

namespace dandeliondock {

/// \brief Part of the bound that a lease leaves unused, as a divisor: it covers the rounding of the ages that proxies
/// report, differences between the rates of clocks, and the way of an admitted request to its target.
inline constexpr int configLeaseReserveDivisor = 20;
/// \brief Smallest part of the bound that a lease leaves unused.
inline constexpr Milliseconds minConfigLeaseReserve{100};

/// \brief Returns how long after its confirmation a configuration may be relied on, when a later one must be followed
/// within \c bound; 0 for a bound of at most minConfigLeaseReserve. Thread-safe.
[[nodiscard]] Milliseconds configLeaseDuration(Milliseconds bound) noexcept;

/// \brief Age of a confirmation from which a new one is sought at once, in tenths of the bound. It is more than the age
/// of 1.7 s that confirmations reach after a change while a table is polled with a hold of 0.7 s, for a bound of 5 s.
inline constexpr int oldConfirmationTenths = 4;

/// \brief Whether a new confirmation should be sought without waiting for the next regular read. Thread-safe.
[[nodiscard]] bool isConfirmationOld(std::optional<BootTime> confirmedAt, Milliseconds bound, BootTime now) noexcept;

/// \brief Decides whether the known configuration is recent enough for what depends on there being no later one:
/// accepting a key that may have been withdrawn, or refusing finally what may have become allowed.
///
/// The lease begins at a time at which the configuration is known to have been the current one, not at the time at
/// which this became known, so that delays on the way shorten it and nothing extends it.
///
/// \remark Not thread-safe.
class ConfigLease
{
public:
    /// \brief Creates a lease that is not held until the first confirmation.
    /// \param bound time within which a later configuration must be followed; empty for no bound: always held.
    explicit ConfigLease(std::optional<Milliseconds> bound);

    /// \brief Extends the lease; a time that is not later than the last one has no effect, and one after \c now counts
    /// as \c now.
    /// \return Whether the lease is held again after a loss was recorded.
    bool confirm(BootTime confirmedAt, BootTime now);

    /// \brief Whether the configuration may be relied on.
    [[nodiscard]] bool isHeld(BootTime now) const;

    /// \brief Records that a request found the lease expired.
    /// \return Whether it is the first one since the lease was held.
    bool recordLoss();

    /// \brief Returns the last confirmed time; empty before the first confirmation.
    [[nodiscard]] std::optional<BootTime> confirmedAt() const noexcept { return m_confirmedAt; }

private:
    std::optional<Milliseconds> m_duration;
    std::optional<BootTime> m_confirmedAt;
    bool m_isLossRecorded = false;
};

} // namespace dandeliondock
