#pragma once

#include <dandeliondock/accounts/api_key.h>
#include <dandeliondock/config/resources.h>
#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Request quota of a client account over all proxies together.
struct RequestQuota
{
    RequestRate rate{0.0};    ///< 0 for no limit
    RequestAmount burst{0.0}; ///< requests above the rate that may come at once

    bool operator==(const RequestQuota &) const = default;

    [[nodiscard]] bool isUnlimited() const noexcept { return rate.value() <= 0; }
};

/// \brief A client account of the configuration.
struct ClientAccount
{
    AccountName name;
    std::vector<ApiKey> keys;
    std::optional<WorkClass> workClass; ///< takes precedence over the work class of the route
    RequestQuota quota;
    std::vector<RegionName> allowedRegions; ///< regions whose targets may serve the account; if empty, every region
};

} // namespace dandeliondock
