#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <cstddef>
#include <cstdint>

namespace dandeliondock {

/// \brief Place of a target in the order that all nodes share; lower comes first. Thread-safe.
[[nodiscard]] std::uint64_t versionTargetRank(const VersionName &version, const TargetId &target);

/// \brief Place of a target in one caller's own order; lower comes first. Thread-safe.
///
/// \remark A target that goes changes the order of no other.
[[nodiscard]] std::uint64_t callerTargetRank(const NodeId &caller, const TargetId &target);

/// \brief Fewest targets of a subset, when there are so many: one may be ejected and one may be busy.
inline constexpr std::size_t smallestSubset = 3;

/// \brief How many of \c targets a caller uses, so that a target's connections suffice for its callers. Thread-safe.
/// \pre \c callers is greater than 0.
[[nodiscard]] std::size_t subsetSize(std::size_t targets, std::size_t callers, std::size_t connectionsPerTarget);

/// \brief Connections that every caller may open to a target. Each node counts as a caller of every service, but few of
/// them call a given one at a time; an equal division among thousands would leave each a single request in flight.
inline constexpr std::size_t smallestConnectionShare = 4;

/// \brief How many of a target's connections one of its callers may open, idle ones included.
/// Thread-safe.
/// \pre \c callersPerTarget > 0.
[[nodiscard]] ConnectionCount connectionShare(ConnectionCount connectionsPerTarget, std::size_t callersPerTarget);

} // namespace dandeliondock
