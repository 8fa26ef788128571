#include <dandeliondock/places/region_rules.h>

namespace dandeliondock {

void RegionRules::add(const Route &route)
{
    if (!route.allowedRegions.empty())
        m_routes[route.name] = AllowedRegions(route.allowedRegions);
}

void RegionRules::add(const ClientAccount &account)
{
    if (!account.allowedRegions.empty())
        m_accounts[account.name] = AllowedRegions(account.allowedRegions);
}

AllowedRegions RegionRules::allowedFor(const RouteName &route, const AccountName &account) const
{
    AllowedRegions allowed;
    if (!m_routes.empty()) {
        if (const auto found = m_routes.find(route); found != m_routes.end())
            allowed = found->second;
    }
    if (!m_accounts.empty()) {
        if (const auto found = m_accounts.find(account); found != m_accounts.end())
            allowed.restrictTo(found->second);
    }
    return allowed;
}

} // namespace dandeliondock
