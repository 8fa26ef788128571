#include <dandeliondock/proxy/target_balancer.h>

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace dandeliondock {
namespace {

const Locality self{RegionName("east"), DataCentreName("a")};
const ServiceName service("s");
const VersionName version("v1");
constexpr std::uint32_t slots = 10;

MonotonicTime at(int milliseconds)
{
    return MonotonicTime(Milliseconds(100'000 + milliseconds));
}

Endpoint endpoint(const std::string &name, const char *region, const char *dataCentre,
                  const VersionName &ofVersion = version)
{
    Endpoint item;
    item.target = TargetId(name);
    item.stamp = {Incarnation(1), SequenceNumber(1), EndpointState::Serving};
    item.controlAddress = Address(name + ":1");
    item.service = service;
    item.version = ofVersion;
    item.region = RegionName(region);
    item.dataCentre = DataCentreName(dataCentre);
    item.slots = SlotCount(slots);
    return item;
}

BalancerRequest request(std::uint64_t responseSize = 1'000)
{
    BalancerRequest item;
    item.service = service;
    item.version = {version, false, fullShare};
    item.responseSize = ByteCount(responseSize);
    return item;
}

TargetBalancer withTargets(std::initializer_list<Endpoint> endpoints)
{
    TargetBalancer placement(self, seededRandom(7));
    for (const Endpoint &item : endpoints)
        placement.apply(item, at(-60'000));
    return placement;
}

void load(TargetBalancer &placement, const TargetId &target, std::uint32_t running)
{
    // Claims are taken until the target comes up, then given back with the load that its door tells.
    std::vector<BalancerClaim> others;
    BalancerRequest wanted = request();
    while (true) {
        const auto claim = placement.choose(wanted, at(0));
        REQUIRE(claim);
        if (claim->target->endpoint.target == target) {
            placement.finish(*claim, TargetFeedback::Served, TargetLoad{running, 0, slots}, at(0));
            break;
        }
        wanted.tried.push_back(claim->target->endpoint.target);
        others.push_back(*claim);
    }
    for (const BalancerClaim &claim : others)
        placement.finish(claim, TargetFeedback::Inconclusive, std::nullopt, at(0));
}

std::string chosen(TargetBalancer &placement, const BalancerRequest &wanted)
{
    const auto claim = placement.choose(wanted, at(1));
    return claim ? claim->target->endpoint.target.value() : std::string();
}

} // namespace

// Guards against a link between regions that is filled although targets nearby have room: on a day of high load the
// responses waited 260 ms for it.
TEST_CASE("work stays in the region until its targets are busy, long responses longer", "[proxy]")
{
    TargetBalancer placement = withTargets({endpoint("near", "east", "a"), endpoint("far", "west", "b")});
    load(placement, TargetId("far"), 0);
    load(placement, TargetId("near"), 2);
    CHECK(chosen(placement, request()) == "near");
    load(placement, TargetId("near"), 9);
    CHECK(chosen(placement, request(1'000)) == "far");
    CHECK(chosen(placement, request(90'000)) == "near");
}

// Guards against a link that is kept full because the targets behind it look idle.
TEST_CASE("a target whose responses are long on the way is left until it is the better choice", "[proxy]")
{
    TargetBalancer placement = withTargets({endpoint("near", "east", "a"), endpoint("far", "west", "b")});
    load(placement, TargetId("near"), 9);
    load(placement, TargetId("far"), 0);
    BalancerRequest wanted = request();
    wanted.tried = {TargetId("near")};
    for (int index = 0; index < 40; ++index) {
        const auto claim = placement.choose(wanted, at(1));
        placement.recordRoundTrip(*claim, Milliseconds(300), at(1));
        placement.finish(*claim, TargetFeedback::Served, TargetLoad{0, 0, slots}, at(1));
    }
    CHECK(chosen(placement, request()) == "near");
}

// Guards against a target that is overrun because callers do not know of each other.
TEST_CASE("the target with the least known load is taken, and own requests count until a report comes", "[proxy]")
{
    TargetBalancer placement = withTargets({endpoint("one", "east", "a"), endpoint("two", "east", "a")});
    load(placement, TargetId("one"), 6);
    load(placement, TargetId("two"), 2);
    std::map<std::string, int> counts;
    for (int index = 0; index < 8; ++index)
        ++counts[chosen(placement, request())];
    CHECK(counts["two"] >= 5);
    CHECK(counts["one"] >= 1);
}

// Guards against attempts at a target whose door is gone, and against one that is never tried again.
TEST_CASE("an unreachable target is left out for a time, then tried once", "[proxy]")
{
    TargetBalancer placement = withTargets({endpoint("gone", "east", "a"), endpoint("far", "west", "b")});
    const auto claim = placement.choose(request(), at(0));
    REQUIRE(claim->target->endpoint.target == TargetId("gone"));
    placement.finish(*claim, TargetFeedback::Unreachable, std::nullopt, at(0));
    CHECK(placement.choose(request(), at(10))->target->endpoint.target == TargetId("far"));
    const auto trial = placement.choose(request(), at(1'100));
    CHECK(trial->target->endpoint.target == TargetId("gone"));
    CHECK(trial->isTrial);
    CHECK(placement.choose(request(), at(1'101))->target->endpoint.target == TargetId("far"));
}

// Guards against new work for a target whose door said that it leaves, ahead of the directory.
TEST_CASE("a leaving target is not chosen until its record says that it serves again", "[proxy]")
{
    TargetBalancer placement = withTargets({endpoint("only", "east", "a")});
    const auto claim = placement.choose(request(), at(0));
    placement.finish(*claim, TargetFeedback::Leaving, std::nullopt, at(0));
    CHECK_FALSE(placement.choose(request(), at(1)).has_value());
    placement.apply(endpoint("only", "east", "a"), at(2));
    CHECK(placement.choose(request(), at(3)).has_value());
}

// Guards against requests for another version than the one that was drawn.
TEST_CASE("only targets of the chosen version are used, and of its share", "[proxy]")
{
    const VersionName next("v2");
    TargetBalancer placement = withTargets({endpoint("old", "east", "a"), endpoint("n1", "east", "a", next),
                                            endpoint("n2", "east", "a", next), endpoint("n3", "east", "a", next)});
    BalancerRequest wanted = request();
    wanted.version = {next, true, Share(1'000)};
    std::map<std::string, int> counts;
    for (int index = 0; index < 20; ++index)
        ++counts[chosen(placement, wanted)];
    CHECK(counts.size() == 1);
    CHECK(counts.count("old") == 0);
}

// Guards against a target that takes many requests because it fails them quickly.
TEST_CASE("a target that fails part of its requests gets fewer", "[proxy]")
{
    TargetBalancer placement = withTargets({endpoint("grey", "east", "a"), endpoint("good", "east", "a")});
    int toGrey = 0;
    for (int index = 0; index < 200; ++index) {
        const auto claim = placement.choose(request(), at(index));
        const bool isGrey = claim->target->endpoint.target == TargetId("grey");
        toGrey += isGrey ? 1 : 0;
        const bool fails = isGrey && toGrey % 2 == 0;
        placement.finish(*claim, fails ? TargetFeedback::Failed : TargetFeedback::Served, TargetLoad{0, 0, slots},
                         at(index));
    }
    CHECK(toGrey < 50);
}

} // namespace dandeliondock
