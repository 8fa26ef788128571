#pragma once

#include <dandeliondock/config/resources.h>
#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>

namespace dandeliondock {

/// \brief Time constant with which older attempts are forgotten.
inline constexpr Milliseconds attemptGateTime{1'000};
/// \brief Attempts that may be sent for each accepted one. With 2, half of the attempts still test whether there is
/// room.
inline constexpr double attemptsPerAccepted = 2.0;
/// \brief The same for critical requests. They displace others where they arrive, so that more of their further
/// attempts are accepted.
inline constexpr double criticalAttemptsPerAccepted = 4.0;
/// \brief Attempts of a route that must be known before any is withheld.
inline constexpr double minGatedAttempts = 8;

/// \brief Decides which attempts are not sent, because most of the recent attempts of the route were refused by the
/// proxies of its targets. Such an attempt costs as many bytes between data centres as a served one.
///
/// The share that is withheld follows from the refused and accepted attempts of the last second alone, so that it
/// returns to 0 within a second after there is room.
///
/// \remark Not thread-safe.
class AttemptGate
{
public:
    /// \brief Decides on an attempt that is about to be sent. Returns the time after which room is expected if it
    /// should not be sent, and nothing if it should.
    ///
    /// \param random is uniformly distributed in [0, 1).
    [[nodiscard]] std::optional<Microseconds> withhold(const RouteName &route, WorkClass workClass, double random,
                                                       MonotonicTime now) const;

    /// \brief Records an attempt that was accepted.
    void recordAccepted(const RouteName &route, MonotonicTime now);

    /// \brief Records an attempt that was refused for lack of room, with the time after which room is expected; 0 if it
    /// is unknown.
    void recordRefused(const RouteName &route, Microseconds retryAfter, MonotonicTime now);

private:
    static constexpr std::size_t maxRoutes = 1'024; ///< then all are dropped; a few attempts restore them

    struct Counts
    {
        double attempts = 0;
        double accepted = 0;
        Microseconds retryAfter{0}; ///< smoothed
        MonotonicTime decayedAt;
    };

    [[nodiscard]] static double remaining(const Counts &counts, MonotonicTime now);
    [[nodiscard]] Counts &countAttempt(const RouteName &route, MonotonicTime now);

    absl::flat_hash_map<RouteName, Counts> m_routes;
};

} // namespace dandeliondock
