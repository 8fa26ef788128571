#pragma once

#include <dandeliondock/accounts/account_directory.h>
#include <dandeliondock/config/config_state.h>
#include <dandeliondock/core/ids.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/routing/route_table.h>

#include <memory>

namespace dandeliondock {

/// \brief Configuration of a proxy: the state, its route index, the limits of callers' connections and the
/// client accounts.
struct ProxyConfig
{
    ProxyConfig(ConfigStatePtr snapshot, ConnectionLimits callerLimits, AccountDirectory clientAccounts = {})
        : state(std::move(snapshot)), routes(state), limits(callerLimits), accounts(std::move(clientAccounts))
    {
    }

    ConfigStatePtr state;
    RouteTable routes;
    ConnectionLimits limits;
    AccountDirectory accounts;
};

using ProxyConfigPtr = std::shared_ptr<const ProxyConfig>;

} // namespace dandeliondock
