#include <dandeliondock/routing/service_pool.h>
#include <dandeliondock/routing/slow_start.h>

#include <support/routing_fixture.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

namespace dandeliondock {

using tests::attemptOutcome;
using tests::callerInA;
using tests::outcomeOf;
using tests::servingTarget;

namespace {

constexpr MonotonicTime startTime{Seconds(1'000)};
constexpr MonotonicTime afterSlowStart = startTime + Seconds(20);

ServicePool poolOf(unsigned targets, std::uint64_t seed = 1)
{
    ServicePool pool(callerInA(), seededRandom(seed));
    for (unsigned number = 0; number < targets; ++number)
        pool.apply(servingTarget(number), SlotCount(20), startTime);
    return pool;
}

PickRequest pickRequest(const std::string &version = "v1", Share targets = fullShare,
                        WorkClass workClass = WorkClass::Interactive)
{
    PickRequest request;
    request.version = {VersionName(version), false, targets};
    request.workClass = workClass;
    return request;
}

// Pool under random events, with the expected state that its picks are checked against.
struct PoolModel
{
    ServicePool pool = poolOf(0);
    std::vector<Pick> claims;
    std::map<TargetId, Endpoint> announced;
    std::set<TargetId> draining;
    std::set<PoolTargetPtr> removedTargets; ///< removed while slots on them were claimed
    MonotonicTime now = startTime;

    void announce(unsigned number, EndpointState state)
    {
        Endpoint record = servingTarget(number, number % 2 == 0 ? "v1" : "v2", number % 3 == 0 ? "a" : "b",
                                        number % 5 == 4 ? "west" : "east");
        record.stamp.state = state;
        pool.apply(record, SlotCount(20), now);
        if (state == EndpointState::Serving) {
            announced[record.target] = record;
            return;
        }
        for (const Pick &claim : claims) {
            if (claim.target->endpoint.target == record.target)
                removedTargets.insert(claim.target);
        }
        announced.erase(record.target);
        draining.erase(record.target);
    }

    void pick(const std::string &version, WorkClass workClass)
    {
        const Pick pick = pool.pick(pickRequest(version, fullShare, workClass), now);
        if (pick.verdict != PickVerdict::Chosen)
            return;
        const Endpoint &endpoint = pick.target->endpoint;
        RC_ASSERT(announced.count(endpoint.target) == 1U);
        RC_ASSERT(draining.count(endpoint.target) == 0U);
        RC_ASSERT(endpoint.version.value() == version);
        RC_ASSERT(pick.isTrial == pick.target->ejection.isEjected());
        RC_ASSERT(!pick.target->ejection.isEjected() || pick.target->ejection.endsAt() <= now);
        RC_ASSERT(pick.target->inFlight <= pick.target->limit.value());
        RC_ASSERT(pick.target->limit.value() <= 20U);
        RC_ASSERT(pick.target->limit.value() >= 1U);
        RC_ASSERT(workClass != WorkClass::Deferrable || endpoint.region.value() == "east");
        claims.push_back(pick);
    }

    void finish(std::size_t index, const AttemptOutcome &outcome)
    {
        if (claims.empty())
            return;
        const Pick claim = claims.at(index % claims.size());
        claims.erase(claims.begin() + static_cast<std::ptrdiff_t>(index % claims.size()));
        pool.finish(claim, outcome, now);
        // A slot claimed before the target was removed says nothing about the target that was added again under its id.
        if (outcome.draining && removedTargets.count(claim.target) == 0)
            draining.insert(claim.target->endpoint.target);
    }

    void checkAtMostHalfEjected()
    {
        for (const char *version : {"v1", "v2"}) {
            std::size_t ejected = 0;
            std::size_t ownRegionTargets = 0;
            for (const auto &target : pool.candidates(pickRequest(version).version, ConnectionCount(130))) {
                if (target->tier == LocalityTier::OtherRegion)
                    continue;
                ++ownRegionTargets;
                ejected += target->ejection.isEjected() ? 1 : 0;
            }
            RC_ASSERT(ejected * 2 <= ownRegionTargets);
        }
    }
};

AttemptOutcome genOutcome()
{
    AttemptOutcome outcome;
    outcome.result = static_cast<AttemptResult>(*rc::gen::inRange(0, 6));
    outcome.status = *rc::gen::element(200, 404, 500, 503);
    outcome.draining = outcome.result == AttemptResult::Responded && *rc::gen::inRange(0, 10) == 0;
    if (*rc::gen::inRange(0, 2) == 0)
        outcome.reportedLoad = Share(*rc::gen::inRange(0U, 10'001U));
    return outcome;
}

} // namespace

// Guards against the choice of an unusable target after some order of endpoint records, failures and drain headers.
TEST_CASE("any sequence of events keeps the rules of target selection", "[routing]")
{
    rc::prop("picked targets are serving, of the requested version, not draining, not ejected, and within limits", [] {
        PoolModel model;
        const int steps = *rc::gen::inRange(0, 300);
        for (int step = 0; step < steps; ++step) {
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                model.announce(*rc::gen::inRange(0U, 12U), EndpointState::Serving);
                break;
            case 1:
                model.announce(*rc::gen::inRange(0U, 12U),
                               *rc::gen::element(EndpointState::Leaving, EndpointState::Starting));
                break;
            case 2:
                model.now += Milliseconds(*rc::gen::inRange(0, 3'000));
                break;
            case 3:
            case 4:
                model.finish(*rc::gen::inRange<std::size_t>(0, 100), genOutcome());
                break;
            default:
                model.pick(*rc::gen::element<std::string>("v1", "v2"), static_cast<WorkClass>(*rc::gen::inRange(0, 3)));
            }
            model.checkAtMostHalfEjected();
        }
    });
}

// Guards against ejections that leave a service without targets when all of them fail.
TEST_CASE("at most half of the targets are ejected when all of them fail", "[routing]")
{
    for (unsigned targets = 1; targets < 12; ++targets) {
        ServicePool pool = poolOf(targets);
        for (int request = 0; request < 500; ++request) {
            const MonotonicTime now = afterSlowStart + Milliseconds(request);
            const Pick pick = pool.pick(pickRequest(), now);
            REQUIRE(pick.verdict == PickVerdict::Chosen);
            pool.finish(pick, outcomeOf(AttemptResult::NotSent), now);
        }
        CHECK(pool.ejections() >= targets / 2);
    }
}

// Guards against a service without usable targets because all that remain are ejected.
TEST_CASE("ejected targets are readmitted when the others leave", "[routing]")
{
    ServicePool pool = poolOf(4);
    std::set<TargetId> failed;
    while (failed.size() < 2) {
        const Pick pick = pool.pick(pickRequest(), afterSlowStart);
        pool.finish(pick, outcomeOf(AttemptResult::NotSent), afterSlowStart);
        failed.insert(pick.target->endpoint.target);
    }
    for (unsigned number = 0; number < 4; ++number) {
        if (failed.count(servingTarget(number).target) == 0)
            pool.remove(servingTarget(number).target);
    }
    CHECK(pool.pick(pickRequest(), afterSlowStart).verdict == PickVerdict::Chosen);
}

// Guards against a shed request that counts as a failure of the target.
TEST_CASE("a shed lowers the limit and never ejects the target", "[routing]")
{
    ServicePool pool = poolOf(4);
    std::uint32_t lastLimit = 20;
    for (int request = 0; request < 200; ++request) {
        const Pick pick = pool.pick(pickRequest(), afterSlowStart);
        REQUIRE(pick.verdict == PickVerdict::Chosen);
        CHECK(pick.target->limit.value() <= 20);
        pool.finish(pick, outcomeOf(AttemptResult::Shed), afterSlowStart);
        lastLimit = pick.target->limit.value();
    }
    CHECK(lastLimit == 1);
    CHECK(pool.ejections() == 0);
}

// Guards against many requests at once after the ejection time, and against ejection times that never grow.
TEST_CASE("one successful trial ends an ejection and each failed trial doubles its time", "[routing]")
{
    OutlierEjection ejection;
    MonotonicTime now = startTime;
    for (int failure = 1; failure < failuresToEject; ++failure)
        REQUIRE_FALSE(ejection.recordFailure(false, false, now));
    REQUIRE(ejection.recordFailure(false, false, now));
    ejection.eject(now);
    Milliseconds expected = initialEjectionTime;
    for (int round = 0; round < 10; ++round) {
        CHECK_FALSE(ejection.isUsable(now + expected - Milliseconds(1)));
        now += expected;
        REQUIRE(ejection.isUsable(now));
        REQUIRE(ejection.startRequest());
        CHECK_FALSE(ejection.isUsable(now));
        ejection.abandon(false); // the end of a request that was sent before the ejection
        CHECK_FALSE(ejection.isUsable(now));
        CHECK_FALSE(ejection.recordFailure(true, true, now));
        expected = std::min(maxEjectionTime, expected * 2);
    }
    now += expected;
    REQUIRE(ejection.startRequest());
    ejection.recordSuccess(true);
    CHECK(ejection.isUsable(now));
    CHECK_FALSE(ejection.isEjected());
}

// Guards against full traffic to a target whose caches are cold.
TEST_CASE("the traffic share of a new target grows during slow start", "[routing]")
{
    ServicePool pool = poolOf(3);
    pool.apply(servingTarget(3), SlotCount(20), afterSlowStart);
    const auto shareOfNewTarget = [&pool](MonotonicTime now) {
        int picks = 0;
        for (int request = 0; request < 4'000; ++request) {
            const Pick pick = pool.pick(pickRequest(), now);
            picks += pick.target->endpoint.target.value() == "t3" ? 1 : 0;
            pool.abandon(pick);
        }
        return picks / 4'000.0;
    };
    const double initialShare = shareOfNewTarget(afterSlowStart);
    const double halfwayShare = shareOfNewTarget(afterSlowStart + slowStartDuration / 2);
    const double finalShare = shareOfNewTarget(afterSlowStart + slowStartDuration);
    CHECK(initialShare < 0.06);
    CHECK(halfwayShare > initialShare + 0.04);
    CHECK(finalShare > 0.22);
    CHECK(finalShare < 0.28);
}

// Guards against requests that go to another data centre needlessly, or never do.
TEST_CASE("requests stay in the data centre until the estimated load reaches the threshold of their class", "[routing]")
{
    ServicePool pool(callerInA(), seededRandom(1));
    pool.apply(servingTarget(0, "v1", "a"), SlotCount(20), startTime);
    pool.apply(servingTarget(1, "v1", "b"), SlotCount(20), startTime);
    pool.apply(servingTarget(2, "v1", "c", "west"), SlotCount(20), startTime);
    const auto chosenAt = [&pool](WorkClass workClass, unsigned load) {
        Pick nearest = pool.pick(pickRequest("v1", fullShare, WorkClass::Deferrable), afterSlowStart);
        AttemptOutcome outcome = attemptOutcome();
        outcome.reportedLoad = Share(load);
        pool.finish(nearest, outcome, afterSlowStart);
        const Pick pick = pool.pick(pickRequest("v1", fullShare, workClass), afterSlowStart);
        pool.abandon(pick);
        return pick.target->endpoint.target.value();
    };
    CHECK(chosenAt(WorkClass::Critical, 6'900) == "t0");
    CHECK(chosenAt(WorkClass::Interactive, 7'500) == "t0");
    CHECK(chosenAt(WorkClass::Critical, 7'500) == "t1");
}

// Guards against small shares that reach more of the new version's targets than the rollout stage allows.
TEST_CASE("a stage uses only the first targets of the new version", "[routing]")
{
    rc::prop("all callers together pick no more targets than the share allows", [] {
        const auto count = *rc::gen::inRange(1U, 12U);
        const Share share(*rc::gen::inRange(1U, 10'001U));
        std::set<TargetId> picked;
        for (int caller = 0; caller < 5; ++caller) {
            PoolCaller self = callerInA();
            self.node = NodeId("n" + std::to_string(caller));
            ServicePool pool(self, seededRandom(1));
            for (unsigned number = 0; number < count; ++number)
                pool.apply(servingTarget(number, "v2"), SlotCount(20), startTime);
            for (int request = 0; request < 100; ++request) {
                const Pick pick = pool.pick(pickRequest("v2", share), afterSlowStart);
                RC_ASSERT(pick.verdict == PickVerdict::Chosen);
                picked.insert(pick.target->endpoint.target);
                pool.abandon(pick);
            }
        }
        RC_ASSERT(picked.size() <= targetCountForShare(share, count));
    });
}

// Guards against a caller that uses all slots of a target that it shares with others.
TEST_CASE("the initial concurrency limit is the slots divided by the callers", "[routing]")
{
    PoolCaller self = callerInA();
    self.callers = 8;
    ServicePool pool(self, seededRandom(1));
    for (unsigned number = 0; number < 4; ++number)
        pool.apply(servingTarget(number), SlotCount(20), startTime);
    for (const auto &target : pool.candidates(pickRequest().version, ConnectionCount(130)))
        CHECK(target->limit.value() == 2);
    pool.setCallers(25'000);
    for (const auto &target : pool.candidates(pickRequest().version, ConnectionCount(130)))
        CHECK(target->limit.value() >= 1);
}

} // namespace dandeliondock
