#pragma once

#include <dandeliondock/config/resources.h>
#include <dandeliondock/membership/endpoint.h>

#include <array>
#include <cstddef>

namespace dandeliondock {

/// \brief Location of a node.
struct Locality
{
    RegionName region;
    DataCentreName dataCentre;
};

/// \brief Distance of a target from a node, nearest first.
enum class LocalityTier { DataCentre, Region, OtherRegion };

inline constexpr std::size_t localityTierCount = 3;

/// \brief Returns the locality tier of \c endpoint relative to \c self. Thread-safe.
[[nodiscard]] LocalityTier localityTier(const Locality &self, const Endpoint &endpoint);

/// \brief Whether requests of a work class may go to a tier. Thread-safe.
///
/// \remark Deferrable work never uses the metered link between regions.
[[nodiscard]] bool isPermitted(WorkClass workClass, LocalityTier tier) noexcept;

/// \brief Returns the estimated load, relative to a target's slots, from which requests spill over from a tier to the
/// next one. It is compared with the less loaded of two targets drawn from the tier. Thread-safe.
///
/// \remark Critical work has the lowest thresholds, so that it never waits behind deferrable work. The thresholds for
/// leaving the region are higher, because the link between regions is metered.
[[nodiscard]] double spillThreshold(WorkClass workClass, LocalityTier tier) noexcept;

} // namespace dandeliondock
