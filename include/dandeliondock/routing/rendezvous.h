#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <cstddef>
#include <cstdint>

namespace dandeliondock {

/// \brief Returns the rendezvous hash rank of a target within a version, the same on all nodes; lower comes first.
/// Thread-safe.
[[nodiscard]] std::uint64_t versionTargetRank(const VersionName &version, const TargetId &target);

/// \brief Returns the rendezvous hash rank of a target for one caller; lower comes first. Thread-safe.
///
/// \remark Removing a target does not change the order of the others.
[[nodiscard]] std::uint64_t callerTargetRank(const NodeId &caller, const TargetId &target);

/// \brief Minimum number of targets in a subset, if there are as many: one may be ejected and another one busy.
inline constexpr std::size_t minSubsetSize = 3;

/// \brief Returns how many of \c targets a caller uses, so that each target has enough connections for its callers.
/// Thread-safe.
/// \pre \c callers is greater than 0.
[[nodiscard]] std::size_t subsetSize(std::size_t targets, std::size_t callers, std::size_t connectionsPerTarget);

/// \brief Minimum number of connections that a caller may open to a target. Every node counts as a caller of every
/// service, but only few call a given service at a time; an equal division among thousands of nodes would leave each
/// one a single request in flight.
inline constexpr std::size_t minConnectionShare = 4;

/// \brief Returns how many connections, including idle ones, each caller may open to a target. Thread-safe.
/// \pre \c callersPerTarget is greater than 0.
[[nodiscard]] ConnectionCount connectionShare(ConnectionCount connectionsPerTarget, std::size_t callersPerTarget);

} // namespace dandeliondock
