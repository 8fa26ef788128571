#include <dandeliondock/proxy/weighted_choice.h>

#include <algorithm>
#include <numeric>

namespace dandeliondock {

const ServiceName &WeightedChoice::choose(const Route &route)
{
    if (route.split.empty())
        return route.service;
    Credit &held = m_routes[route.name];
    if (held.parts != route.split) {
        held.parts = route.split;
        held.credit.assign(route.split.size(), 0);
    }
    std::int64_t sum = 0;
    for (std::size_t index = 0; index < held.parts.size(); ++index) {
        held.credit[index] += held.parts[index].weight;
        sum += held.parts[index].weight;
    }
    const auto best = std::max_element(held.credit.begin(), held.credit.end());
    *best -= sum;
    return route.split[static_cast<std::size_t>(best - held.credit.begin())].service;
}

} // namespace dandeliondock
