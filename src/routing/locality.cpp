#include <dandeliondock/routing/locality.h>

namespace dandeliondock {

namespace {

// One row per work class (critical, interactive, deferrable), one column per tier that requests spill from.
constexpr std::array<std::array<double, 2>, 3> spillThresholds{{{0.7, 0.9}, {0.8, 1.0}, {0.95, 1.0}}};

} // namespace

LocalityTier localityTier(const Locality &self, const Endpoint &endpoint)
{
    if (endpoint.region != self.region)
        return LocalityTier::OtherRegion;
    return endpoint.dataCentre == self.dataCentre ? LocalityTier::DataCentre : LocalityTier::Region;
}

bool isPermitted(WorkClass workClass, LocalityTier tier) noexcept
{
    return tier != LocalityTier::OtherRegion || workClass != WorkClass::Deferrable;
}

double spillThreshold(WorkClass workClass, LocalityTier tier) noexcept
{
    if (tier == LocalityTier::OtherRegion)
        return 1.0;
    return spillThresholds.at(static_cast<std::size_t>(workClass)).at(static_cast<std::size_t>(tier));
}

} // namespace dandeliondock
