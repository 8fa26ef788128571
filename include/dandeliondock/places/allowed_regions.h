#pragma once

#include <dandeliondock/core/ids.h>

#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Regions whose targets may serve a request.
///
/// \remark Const methods are thread-safe.
class AllowedRegions
{
public:
    /// \brief Allows every region.
    AllowedRegions() = default;

    /// \brief Allows the regions of a list of the configuration; an empty list allows every region.
    explicit AllowedRegions(std::vector<RegionName> regions);

    /// \brief Allows only regions that both this and \c other allow; possibly none.
    void restrictTo(const AllowedRegions &other);

    /// \brief Whether a target in \c region may serve the request.
    [[nodiscard]] bool allows(const RegionName &region) const;

    /// \brief Whether at least one region is not allowed.
    [[nodiscard]] bool isRestricted() const noexcept { return m_regions.has_value(); }

    bool operator==(const AllowedRegions &) const = default;

private:
    std::optional<std::vector<RegionName>> m_regions; ///< sorted; no value: every region
};

} // namespace dandeliondock
