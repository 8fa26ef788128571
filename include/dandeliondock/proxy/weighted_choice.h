#pragma once

#include <dandeliondock/config/resources.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace dandeliondock {

/// \brief Distributes the requests of each route over its services by weight (smooth weighted round robin).
///
/// With each request every service gains credit equal to its weight. The service with the most credit gets the request
/// and loses the sum of all weights. Over any number of requests, the count of a service differs from its exact share
/// by less than the number of services.
///
/// \remark Not thread-safe.
class WeightedChoice
{
public:
    /// \brief Returns the service for the next request of \c route.
    /// \pre If the route has a split, at least one weight is greater than 0.
    [[nodiscard]] const ServiceName &choose(const Route &route);

private:
    struct RouteCredits
    {
        std::vector<WeightedService> services;
        std::vector<std::int64_t> credits;
    };

    absl::flat_hash_map<RouteName, RouteCredits> m_routes;
};

} // namespace dandeliondock
