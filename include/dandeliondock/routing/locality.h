#pragma once

#include <dandeliondock/config/resources.h>
#include <dandeliondock/membership/endpoint.h>

#include <array>
#include <cstddef>

namespace dandeliondock {

/// \brief Where a node stands.
struct Locality
{
    RegionName region;
    DataCentreName dataCentre;
};

/// \brief How far a target is, nearest first.
enum class LocalityTier { DataCentre, Region, OtherRegion };

inline constexpr std::size_t localityTiers = 3;

/// \brief How far \c endpoint is from \c self. Thread-safe.
[[nodiscard]] LocalityTier localityTier(const Locality &self, const Endpoint &endpoint);

/// \brief Whether requests of a class may go to a tier. Thread-safe.
///
/// \remark Work that can wait never uses the metered link.
[[nodiscard]] bool isPermitted(WorkClass workClass, LocalityTier tier) noexcept;

/// \brief Known load of the better target of a tier from which requests spill over to the next tier. Thread-safe.
///
/// \remark Critical work spills first, so that it never waits for work that can; the metered link is used late.
[[nodiscard]] double spillThreshold(WorkClass workClass, LocalityTier tier) noexcept;

} // namespace dandeliondock
