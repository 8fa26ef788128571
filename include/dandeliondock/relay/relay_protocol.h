#pragma once

#include <dandeliondock/core/units.h>

#include <cstddef>

namespace dandeliondock {

/// \brief Longest time for which a parent proxy holds a poll; shorter than at the platform because several proxies on
/// the path to the platform may fail one after the other.
inline constexpr Milliseconds relayHold{400};
/// \brief Age above which a relayed copy is too old: its sender lost contact with the platform. Each response of the
/// platform confirms the copies and passes through the whole relay tree.
inline constexpr Milliseconds maxRelayedAge{1'500};
/// \brief Number of serving proxies from which the fleet counts as large. In a large fleet, full tables are read
/// through other proxies, and most proxies wait for another parent instead of falling back to the platform. In a
/// smaller fleet every proxy may read from the platform, which is faster and stays within the capacity of a link
/// between regions.
inline constexpr std::size_t largeFleetThreshold = 32;

} // namespace dandeliondock
