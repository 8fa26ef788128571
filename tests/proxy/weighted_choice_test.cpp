#include <dandeliondock/proxy/weighted_choice.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <map>

namespace dandeliondock {

// Guards against parts of a divided route that drift from their weights over short times.
TEST_CASE("over any number of requests a part is off its share by less than its number of parts", "[proxy]")
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
        for (const WeightedService &part : route.split) {
            const double expected = static_cast<double>(requests) * part.weight / sum;
            RC_ASSERT(std::abs(counts[part.service] - expected) <= static_cast<double>(weights.size()));
        }
    });
}

// Guards against a changed division that begins with the debts of the old one.
TEST_CASE("new weights begin without the history of the old ones", "[proxy]")
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
