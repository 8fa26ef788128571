#include <dandeliondock/places/region_rules.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

const RegionName east("east");
const RegionName west("west");
const RegionName south("south");

Route routeIn(const char *name, std::vector<RegionName> regions)
{
    Route route;
    route.name = RouteName(name);
    route.allowedRegions = std::move(regions);
    return route;
}

ClientAccount accountIn(const char *name, std::vector<RegionName> regions)
{
    ClientAccount account;
    account.name = AccountName(name);
    account.allowedRegions = std::move(regions);
    return account;
}

} // namespace

// Guards against a request that reaches a region which only one of its route and its account allows, and against an
// empty intersection that counts as every region.
TEST_CASE("a request may be served only where both its route and its account allow it", "[places]")
{
    RegionRules rules;
    rules.add(routeIn("anywhere", {}));
    rules.add(routeIn("east-west", {west, east}));
    rules.add(accountIn("free", {}));
    rules.add(accountIn("west-south", {west, south}));
    rules.add(accountIn("south", {south}));
    const auto allows = [&rules](const char *route, const char *account, const RegionName &region) {
        return rules.allowedFor(RouteName(route), AccountName(account)).allows(region);
    };
    for (const RegionName &region : {east, west, south}) {
        CHECK(allows("anywhere", "", region));
        CHECK(allows("anywhere", "free", region));
        CHECK(allows("east-west", "free", region) == (region != south));
        CHECK(allows("anywhere", "west-south", region) == (region != east));
        CHECK(allows("east-west", "west-south", region) == (region == west));
        CHECK_FALSE(allows("east-west", "south", region));
    }
    CHECK_FALSE(rules.allowedFor(RouteName("anywhere"), AccountName("free")).isRestricted());
    CHECK(rules.allowedFor(RouteName("east-west"), AccountName("south")).isRestricted());
}

// Guards against a retry that uses the regions of an older configuration after a newer one has restricted them.
TEST_CASE("restricting allowed regions never allows another region", "[places]")
{
    AllowedRegions allowed({east, west});
    allowed.restrictTo(AllowedRegions());
    CHECK(allowed.allows(east));
    allowed.restrictTo(AllowedRegions({west, south}));
    CHECK_FALSE(allowed.allows(east));
    CHECK(allowed.allows(west));
    CHECK_FALSE(allowed.allows(south));
    allowed.restrictTo(AllowedRegions());
    CHECK_FALSE(allowed.allows(south));
}

} // namespace dandeliondock
