#pragma once

#include <dandeliondock/core/ids.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Proxies that follow one other proxy.
inline constexpr std::size_t relayFanOut = 8;

/// \brief A proxy as the tree of relays orders it: by its region, then by its door.
struct RelayPeer
{
    RegionName region;
    Address address;

    auto operator<=>(const RelayPeer &) const = default;
};

/// \brief The proxy that another one follows; empty when it reads from the platform. Thread-safe.
///
/// The doors of a region in their order form a tree. Its first door follows the first one of the least region before
/// its own. Whoever is followed stands before its followers in one order of all proxies, the own place included, so
/// that no circle can form whatever each proxy knows of the others.
[[nodiscard]] std::optional<Address> relayParent(const RelayPeer &self, const std::vector<RelayPeer> &doors);

} // namespace dandeliondock
