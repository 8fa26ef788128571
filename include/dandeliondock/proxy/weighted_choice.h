#pragma once

#include <dandeliondock/config/resources.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace dandeliondock {

/// \brief Divides the requests of each route by the weights of its parts, as evenly as whole requests allow.
///
/// Every part gains its weight with each request, and the one that is ahead takes the request and loses the sum. Over
/// any number of requests a part is off its share by less than one request a part.
///
/// \remark Not thread-safe.
class WeightedChoice
{
public:
    /// \brief The service that takes the next request of \c route.
    /// \pre The route's weights are not all 0 when it is divided.
    [[nodiscard]] const ServiceName &choose(const Route &route);

private:
    struct Credit
    {
        std::vector<WeightedService> parts;
        std::vector<std::int64_t> credit;
    };

    absl::flat_hash_map<RouteName, Credit> m_routes;
};

} // namespace dandeliondock
