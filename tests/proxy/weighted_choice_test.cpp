#include <dandeliondock/proxy/weighted_choice.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <map>

namespace dandeliondock {

// Guards against a service of a split route whose request count deviates far from its weight over a short time.
TEST_CASE("a service's request count differs from its exact share by at most the number of services", "[proxy]")
{
    rc::prop("weights and counts", [] {
        Route route;
        route.name = RouteName("r");
        const auto weights = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100)));
        RC_PRE(weights.size() <= 6U);
        int sum = 0;
        for (std::size_t index = 0; index < weights.size(); ++index) {
            route.split.push_back({ServiceName(std::to_string(index)), static_cast<std::uint32_t>(weights[index])});
            sum += weights[index];
        }
        const int requests = *rc::gen::inRange(1, 500);
        WeightedChoice choice;
        std::map<ServiceName, int> counts;
        for (int index = 0; index < requests; ++index)
            ++counts[choice.choose(route)];
        for (const WeightedService &entry : route.split) {
            const double expected = static_cast<double>(requests) * entry.weight / sum;
            RC_ASSERT(std::abs(counts[entry.service] - expected) <= static_cast<double>(weights.size()));
        }
    });
}

// Guards against new weights that start with the credits accumulated under the old ones.
TEST_CASE("changed weights take effect without the credits of the old ones", "[proxy]")
{
    Route route;
    route.name = RouteName("r");
    route.service = ServiceName("whole");
    WeightedChoice choice;
    CHECK(choice.choose(route) == ServiceName("whole"));
    route.split = {{ServiceName("a"), 1}, {ServiceName("b"), 99}};
    static_cast<void>(choice.choose(route));
    route.split = {{ServiceName("a"), 100}, {ServiceName("b"), 0}};
    for (int index = 0; index < 10; ++index)
        CHECK(choice.choose(route) == ServiceName("a"));
}

} // namespace dandeliondock
