#include <dandeliondock/places/allowed_regions.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandeliondock {

AllowedRegions::AllowedRegions(std::vector<RegionName> regions)
{
    if (regions.empty())
        return;
    std::sort(regions.begin(), regions.end());
    m_regions = std::move(regions);
}

void AllowedRegions::restrictTo(const AllowedRegions &other)
{
    if (!other.m_regions)
        return;
    if (!m_regions) {
        m_regions = other.m_regions;
        return;
    }
    std::vector<RegionName> both;
    std::set_intersection(m_regions->begin(), m_regions->end(), other.m_regions->begin(), other.m_regions->end(),
                          std::back_inserter(both));
    m_regions = std::move(both);
}

bool AllowedRegions::allows(const RegionName &region) const
{
    return !m_regions || std::binary_search(m_regions->begin(), m_regions->end(), region);
}

} // namespace dandeliondock
