#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/core/ids.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/routing/route_table.h>

#include <memory>

namespace dandeliondock {

/// \brief Configuration of a proxy: the state, its route index and the limits of callers' connections.
struct ProxyConfig
{
    ProxyConfig(ConfigStatePtr snapshot, ConnectionLimits callerLimits)
        : state(std::move(snapshot)), routes(state), limits(callerLimits)
    {
    }

    ConfigStatePtr state;
    RouteTable routes;
    ConnectionLimits limits;
};

using ProxyConfigPtr = std::shared_ptr<const ProxyConfig>;

} // namespace dandeliondock
