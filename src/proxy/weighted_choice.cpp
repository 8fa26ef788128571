#include <dandeliondock/proxy/weighted_choice.h>

#include <algorithm>
#include <numeric>

namespace dandeliondock {

const ServiceName &WeightedChoice::choose(const Route &route)
{
    if (route.split.empty())
        return route.service;
    RouteCredits &state = m_routes[route.name];
    if (state.services != route.split) {
        state.services = route.split;
        state.credits.assign(route.split.size(), 0);
    }
    std::int64_t totalWeight = 0;
    for (std::size_t index = 0; index < state.services.size(); ++index) {
        state.credits[index] += state.services[index].weight;
        totalWeight += state.services[index].weight;
    }
    const auto selected = std::max_element(state.credits.begin(), state.credits.end());
    *selected -= totalWeight;
    return route.split[static_cast<std::size_t>(selected - state.credits.begin())].service;
}

} // namespace dandeliondock
