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

TargetBalancer balancerWith(std::initializer_list<Endpoint> endpoints)
{
    TargetBalancer balancer(self, seededRandom(7));
    for (const Endpoint &item : endpoints)
        balancer.apply(item, at(-60'000));
    return balancer;
}

void reportLoad(TargetBalancer &balancer, const TargetId &target, std::uint32_t running)
{
    // Claims targets until the wanted one is selected, then finishes its claim with the reported load and releases the
    // rest.
    std::vector<BalancerClaim> others;
    BalancerRequest criteria = request();
    while (true) {
        const auto claim = balancer.choose(criteria, at(0));
        REQUIRE(claim);
        if (claim->target->endpoint.target == target) {
            balancer.finish(*claim, TargetFeedback::Served, TargetLoad{running, 0, slots}, at(0));
            break;
        }
        criteria.tried.push_back(claim->target->endpoint.target);
        others.push_back(*claim);
    }
    for (const BalancerClaim &claim : others)
        balancer.finish(claim, TargetFeedback::Inconclusive, std::nullopt, at(0));
}

std::string chosenTarget(TargetBalancer &balancer, const BalancerRequest &criteria)
{
    const auto claim = balancer.choose(criteria, at(1));
    return claim ? claim->target->endpoint.target.value() : std::string();
}

} // namespace

// Guards against filling the link between regions although targets nearby have free slots: under high load, responses
// waited 260 ms for the link.
TEST_CASE("requests stay in the region until its targets are busy, and longer if the response is long", "[proxy]")
{
    TargetBalancer balancer = balancerWith({endpoint("near", "east", "a"), endpoint("far", "west", "b")});
    reportLoad(balancer, TargetId("far"), 0);
    reportLoad(balancer, TargetId("near"), 2);
    CHECK(chosenTarget(balancer, request()) == "near");
    reportLoad(balancer, TargetId("near"), 9);
    CHECK(chosenTarget(balancer, request(1'000)) == "far");
    CHECK(chosenTarget(balancer, request(90'000)) == "near");
}

// Guards against a link that stays saturated because the targets behind it report little load.
TEST_CASE("an idle target with a long round trip is not preferred over a loaded near target", "[proxy]")
{
    TargetBalancer balancer = balancerWith({endpoint("near", "east", "a"), endpoint("far", "west", "b")});
    reportLoad(balancer, TargetId("near"), 9);
    reportLoad(balancer, TargetId("far"), 0);
    BalancerRequest criteria = request();
    criteria.tried = {TargetId("near")};
    for (int index = 0; index < 40; ++index) {
        const auto claim = balancer.choose(criteria, at(1));
        balancer.recordRoundTrip(*claim, Milliseconds(300), at(1));
        balancer.finish(*claim, TargetFeedback::Served, TargetLoad{0, 0, slots}, at(1));
    }
    CHECK(chosenTarget(balancer, request()) == "near");
}

// Guards against overloading the least loaded target between two load reports.
TEST_CASE("the least loaded target is chosen, and requests sent since its last report count as load", "[proxy]")
{
    TargetBalancer balancer = balancerWith({endpoint("one", "east", "a"), endpoint("two", "east", "a")});
    reportLoad(balancer, TargetId("one"), 6);
    reportLoad(balancer, TargetId("two"), 2);
    std::map<std::string, int> counts;
    for (int index = 0; index < 8; ++index)
        ++counts[chosenTarget(balancer, request())];
    CHECK(counts["two"] >= 5);
    CHECK(counts["one"] >= 1);
}

// Guards against further attempts on a target whose proxy is unreachable, and against never trying that target again.
TEST_CASE("an unreachable target is ejected for a time, then tested with one request", "[proxy]")
{
    TargetBalancer balancer = balancerWith({endpoint("gone", "east", "a"), endpoint("far", "west", "b")});
    const auto claim = balancer.choose(request(), at(0));
    REQUIRE(claim->target->endpoint.target == TargetId("gone"));
    balancer.finish(*claim, TargetFeedback::Unreachable, std::nullopt, at(0));
    CHECK(balancer.choose(request(), at(10))->target->endpoint.target == TargetId("far"));
    const auto trial = balancer.choose(request(), at(1'100));
    CHECK(trial->target->endpoint.target == TargetId("gone"));
    CHECK(trial->isTrial);
    CHECK(balancer.choose(request(), at(1'101))->target->endpoint.target == TargetId("far"));
}

// Guards against new requests for a target whose proxy reported it as leaving before the endpoint record changed.
TEST_CASE("a leaving target is not chosen until its endpoint record is Serving again", "[proxy]")
{
    TargetBalancer balancer = balancerWith({endpoint("only", "east", "a")});
    const auto claim = balancer.choose(request(), at(0));
    balancer.finish(*claim, TargetFeedback::Leaving, std::nullopt, at(0));
    CHECK_FALSE(balancer.choose(request(), at(1)).has_value());
    balancer.apply(endpoint("only", "east", "a"), at(2));
    CHECK(balancer.choose(request(), at(3)).has_value());
}

// Guards against sending requests to another version than the selected one.
TEST_CASE("only targets of the chosen version and within its target share are used", "[proxy]")
{
    const VersionName next("v2");
    TargetBalancer balancer = balancerWith({endpoint("old", "east", "a"), endpoint("n1", "east", "a", next),
                                            endpoint("n2", "east", "a", next), endpoint("n3", "east", "a", next)});
    BalancerRequest criteria = request();
    criteria.version = {next, true, Share(1'000)};
    std::map<std::string, int> counts;
    for (int index = 0; index < 20; ++index)
        ++counts[chosenTarget(balancer, criteria)];
    CHECK(counts.size() == 1);
    CHECK(counts.count("old") == 0);
}

// Guards against requests that go from target to target under overload because each one expects room elsewhere.
TEST_CASE("room elsewhere is only expected by a recent report of a target of the region", "[proxy]")
{
    TargetBalancer balancer =
            balancerWith({endpoint("a", "east", "a"), endpoint("b", "east", "a"), endpoint("far", "west", "b")});
    const auto hasRoom = [&](std::uint32_t running, int ms) {
        reportLoad(balancer, TargetId("a"), 0);
        reportLoad(balancer, TargetId("b"), running);
        reportLoad(balancer, TargetId("far"), 0);
        BalancerRequest criteria = request();
        criteria.tried = {TargetId("b"), TargetId("far")};
        const auto claim = balancer.choose(criteria, at(0));
        REQUIRE(claim->target->endpoint.target == TargetId("a"));
        const bool result = balancer.hasRoomElsewhere(request(), *claim, at(ms));
        balancer.finish(*claim, TargetFeedback::Inconclusive, std::nullopt, at(0));
        return result;
    };
    CHECK(hasRoom(2, 100));
    CHECK_FALSE(hasRoom(2, 600));
    CHECK_FALSE(hasRoom(slots, 100));
}

// Guards against targets that are left out because a service has too little capacity: the others then get their load.
TEST_CASE("a full target is not ejected", "[proxy]")
{
    TargetBalancer balancer = balancerWith({endpoint("a", "east", "a"), endpoint("b", "east", "a")});
    for (int index = 0; index < 40; ++index) {
        const auto claim = balancer.choose(request(), at(index));
        REQUIRE(claim);
        balancer.finish(*claim, TargetFeedback::Full, TargetLoad{slots, 0, slots}, at(index));
        CHECK_FALSE(claim->target->ejection.isEjected());
    }
    for (int index = 0; index < 40; ++index) {
        const auto claim = balancer.choose(request(), at(100 + index));
        balancer.finish(*claim, TargetFeedback::Failed, TargetLoad{slots, 0, slots}, at(100 + index));
        if (claim->target->ejection.isEjected())
            return;
    }
    FAIL("a failing target was not ejected");
}

// Guards against a target that gets many requests because it fails them quickly.
TEST_CASE("a target that fails part of its requests gets fewer requests", "[proxy]")
{
    TargetBalancer balancer = balancerWith({endpoint("grey", "east", "a"), endpoint("good", "east", "a")});
    int requestsToFailing = 0;
    for (int index = 0; index < 200; ++index) {
        const auto claim = balancer.choose(request(), at(index));
        const bool isFailingTarget = claim->target->endpoint.target == TargetId("grey");
        requestsToFailing += isFailingTarget ? 1 : 0;
        const bool fails = isFailingTarget && requestsToFailing % 2 == 0;
        balancer.finish(*claim, fails ? TargetFeedback::Failed : TargetFeedback::Served, TargetLoad{0, 0, slots},
                        at(index));
    }
    CHECK(requestsToFailing < 50);
}

// Guards against downloads that wait on the full link of one target while the links of others are idle.
TEST_CASE("the backlog of a target's link counts for long responses only", "[proxy]")
{
    BalancedTarget target;
    target.endpoint = endpoint("a", "east", "a");
    target.reported = {2, 0, slots, fullTargetLinkBacklog};
    target.reportedAt = at(0);
    target.servingSince = at(-60'000);
    BalancedTarget idleLink = target;
    idleLink.reported.linkBacklog = Milliseconds(0);
    const auto costDifference = [&](std::uint64_t size) {
        return TargetBalancer::cost(target, {ByteCount(size)}, at(10))
               - TargetBalancer::cost(idleLink, {ByteCount(size)}, at(10));
    };
    CHECK(costDifference(500) == Approx(0));
    CHECK(costDifference(90'000) == Approx(1));
}

} // namespace dandeliondock
