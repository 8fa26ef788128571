#pragma once

#include <dandeliondock/accounts/client_account.h>
#include <dandeliondock/config/resources.h>
#include <dandeliondock/places/allowed_regions.h>

#include <absl/container/flat_hash_map.h>

#include <vector>

namespace dandeliondock {

/// \brief The allowed regions of all routes and client accounts of one configuration.
///
/// Holds restricted routes and accounts only, so that a configuration without restrictions costs a request nothing.
///
/// \remark Const methods are thread-safe.
class RegionRules
{
public:
    /// \brief Adds a route; does nothing if it allows every region.
    void add(const Route &route);

    /// \brief Adds a client account; does nothing if it allows every region.
    void add(const ClientAccount &account);

    /// \brief Returns the regions that both the route and the account allow. An unknown route or account, such as the
    /// empty name of a request without one, restricts nothing.
    [[nodiscard]] AllowedRegions allowedFor(const RouteName &route, const AccountName &account) const;

private:
    absl::flat_hash_map<RouteName, AllowedRegions> m_routes;
    absl::flat_hash_map<AccountName, AllowedRegions> m_accounts;
};

} // namespace dandeliondock
