#pragma once

#include <dandeliondock/core/ids.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Number of child proxies of one proxy within its region.
inline constexpr std::size_t relayFanOut = 8;

/// \brief A proxy in the relay tree; ordered by region, then by inbound address.
struct RelayPeer
{
    RegionName region;
    Address address; ///< inbound address
    DataCentreName dataCentre = DataCentreName();
    auto operator<=>(const RelayPeer &) const = default;
};

/// \brief Returns the inbound address of the parent through which \c self reads the tables; empty when \c self reads
/// them from the platform. Thread-safe.
///
/// The proxies of a region, ordered by address, form a tree in which each has up to \c relayFanOut children. The root
/// of a region's tree has as its parent the first peer of the lowest region that sorts before its own. A parent always
/// sorts before its children in the order of all proxies, so no cycle can form, even when the proxies know different
/// sets of peers.
[[nodiscard]] std::optional<Address> relayParent(const RelayPeer &self, const std::vector<RelayPeer> &peers);

} // namespace dandeliondock
