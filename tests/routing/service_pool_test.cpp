#include <dandeliondock/routing/service_pool.h>
#include <dandeliondock/routing/slow_start.h>

#include <support/routing_fixture.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

namespace dandeliondock {

using tests::answered;
using tests::callerInA;
using tests::outcomeOf;
using tests::servingTarget;

namespace {

constexpr MonotonicTime start{Seconds(1'000)};
constexpr MonotonicTime warm = start + Seconds(20);

ServicePool poolOf(unsigned targets, std::uint64_t seed = 1)
{
    ServicePool pool(callerInA(), seededRandom(seed));
    for (unsigned number = 0; number < targets; ++number)
        pool.apply(servingTarget(number), SlotCount(20), start);
    return pool;
}

PickRequest wanted(const std::string &version = "v1", Share targets = fullShare,
                   WorkClass workClass = WorkClass::Interactive)
{
    PickRequest request;
    request.version = {VersionName(version), false, targets};
    request.workClass = workClass;
    return request;
}

// What a run of random events needs to know besides the pool.
struct PoolRun
{
    ServicePool pool = poolOf(0);
    std::vector<Pick> claims;
    std::map<TargetId, Endpoint> announced;
    std::set<TargetId> draining;
    std::set<PoolTargetPtr> earlierLives;
    MonotonicTime now = start;

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
                earlierLives.insert(claim.target);
        }
        announced.erase(record.target);
        draining.erase(record.target);
    }

    void pick(const std::string &version, WorkClass workClass)
    {
        const Pick pick = pool.pick(wanted(version, fullShare, workClass), now);
        if (pick.verdict != PickVerdict::Chosen)
            return;
        const Endpoint &endpoint = pick.target->endpoint;
        RC_ASSERT(announced.count(endpoint.target) == 1U);
        RC_ASSERT(draining.count(endpoint.target) == 0U);
        RC_ASSERT(endpoint.version.value() == version);
        RC_ASSERT(pick.isTrial == pick.target->ejection.isEjected());
        RC_ASSERT(!pick.target->ejection.isEjected() || pick.target->ejection.until() <= now);
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
        // A claim on an earlier life of the target shows nothing of the present one.
        if (outcome.draining && earlierLives.count(claim.target) == 0)
            draining.insert(claim.target->endpoint.target);
    }

    void checkHalf()
    {
        for (const char *version : {"v1", "v2"}) {
            std::size_t ejected = 0;
            std::size_t own = 0;
            for (const auto &target : pool.candidates(wanted(version).version, ConnectionCount(130))) {
                if (target->tier == LocalityTier::OtherRegion)
                    continue;
                ++own;
                ejected += target->ejection.isEjected() ? 1 : 0;
            }
            RC_ASSERT(ejected * 2 <= own);
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

// Guards against a selection that some order of announcements, failures and drain marks lets through.
TEST_CASE("any sequence of events keeps the rules of selection", "[routing]")
{
    rc::prop("picks are announced, of the version, not draining, not ejected, within limits", [] {
        PoolRun run;
        const int steps = *rc::gen::inRange(0, 300);
        for (int step = 0; step < steps; ++step) {
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                run.announce(*rc::gen::inRange(0U, 12U), EndpointState::Serving);
                break;
            case 1:
                run.announce(*rc::gen::inRange(0U, 12U),
                             *rc::gen::element(EndpointState::Leaving, EndpointState::Starting));
                break;
            case 2:
                run.now += Milliseconds(*rc::gen::inRange(0, 3'000));
                break;
            case 3:
            case 4:
                run.finish(*rc::gen::inRange<std::size_t>(0, 100), genOutcome());
                break;
            default:
                run.pick(*rc::gen::element<std::string>("v1", "v2"), static_cast<WorkClass>(*rc::gen::inRange(0, 3)));
            }
            run.checkHalf();
        }
    });
}

// Guards against ejection that leaves a service without targets when all of them fail.
TEST_CASE("all targets failing at once leaves half of them to choose", "[routing]")
{
    for (unsigned targets = 1; targets < 12; ++targets) {
        ServicePool pool = poolOf(targets);
        for (int request = 0; request < 500; ++request) {
            const MonotonicTime now = warm + Milliseconds(request);
            const Pick pick = pool.pick(wanted(), now);
            REQUIRE(pick.verdict == PickVerdict::Chosen);
            pool.finish(pick, outcomeOf(AttemptResult::NotSent), now);
        }
        CHECK(pool.ejections() >= targets / 2);
    }
}

// Guards against ejected targets that remain the only ones after the others left.
TEST_CASE("ejected targets return when the others leave", "[routing]")
{
    ServicePool pool = poolOf(4);
    std::set<TargetId> failed;
    while (failed.size() < 2) {
        const Pick pick = pool.pick(wanted(), warm);
        pool.finish(pick, outcomeOf(AttemptResult::NotSent), warm);
        failed.insert(pick.target->endpoint.target);
    }
    for (unsigned number = 0; number < 4; ++number) {
        if (failed.count(servingTarget(number).target) == 0)
            pool.remove(servingTarget(number).target);
    }
    CHECK(pool.pick(wanted(), warm).verdict == PickVerdict::Chosen);
}

// Guards against a target that sheds and is taken for one that fails.
TEST_CASE("a shed lowers the limit and never ejects", "[routing]")
{
    ServicePool pool = poolOf(4);
    std::uint32_t last = 20;
    for (int request = 0; request < 200; ++request) {
        const Pick pick = pool.pick(wanted(), warm);
        REQUIRE(pick.verdict == PickVerdict::Chosen);
        CHECK(pick.target->limit.value() <= 20);
        pool.finish(pick, outcomeOf(AttemptResult::Shed), warm);
        last = pick.target->limit.value();
    }
    CHECK(last == 1);
    CHECK(pool.ejections() == 0);
}

// Guards against an ejection that ends with many requests at once, or never grows.
TEST_CASE("one trial ends an ejection and each failed trial doubles the time", "[routing]")
{
    OutlierEjection ejection;
    MonotonicTime now = start;
    for (int failure = 1; failure < failuresToEject; ++failure)
        REQUIRE_FALSE(ejection.failed(false, false, now));
    REQUIRE(ejection.failed(false, false, now));
    ejection.eject(now);
    Milliseconds expected = firstEjection;
    for (int round = 0; round < 10; ++round) {
        CHECK_FALSE(ejection.isUsable(now + expected - Milliseconds(1)));
        now += expected;
        REQUIRE(ejection.isUsable(now));
        REQUIRE(ejection.begin());
        CHECK_FALSE(ejection.isUsable(now));
        ejection.abandon(false); // a request from before the ejection ends
        CHECK_FALSE(ejection.isUsable(now));
        CHECK_FALSE(ejection.failed(true, true, now));
        expected = std::min(longestEjection, expected * 2);
    }
    now += expected;
    REQUIRE(ejection.begin());
    ejection.succeeded(true);
    CHECK(ejection.isUsable(now));
    CHECK_FALSE(ejection.isEjected());
}

// Guards against full traffic to a target whose caches are cold.
TEST_CASE("a target newly serving gets a share that grows", "[routing]")
{
    ServicePool pool = poolOf(3);
    pool.apply(servingTarget(3), SlotCount(20), warm);
    const auto shareAt = [&pool](MonotonicTime now) {
        int taken = 0;
        for (int request = 0; request < 4'000; ++request) {
            const Pick pick = pool.pick(wanted(), now);
            taken += pick.target->endpoint.target.value() == "t3" ? 1 : 0;
            pool.abandon(pick);
        }
        return taken / 4'000.0;
    };
    const double first = shareAt(warm);
    const double half = shareAt(warm + slowStartTime / 2);
    const double full = shareAt(warm + slowStartTime);
    CHECK(first < 0.06);
    CHECK(half > first + 0.04);
    CHECK(full > 0.22);
    CHECK(full < 0.28);
}

// Guards against requests that cross to another data centre without need, or never do.
TEST_CASE("requests stay near until the known load passes the threshold of the class", "[routing]")
{
    ServicePool pool(callerInA(), seededRandom(1));
    pool.apply(servingTarget(0, "v1", "a"), SlotCount(20), start);
    pool.apply(servingTarget(1, "v1", "b"), SlotCount(20), start);
    pool.apply(servingTarget(2, "v1", "c", "west"), SlotCount(20), start);
    const auto chosenAt = [&pool](WorkClass workClass, unsigned load) {
        Pick near = pool.pick(wanted("v1", fullShare, WorkClass::Deferrable), warm);
        AttemptOutcome outcome = answered();
        outcome.reportedLoad = Share(load);
        pool.finish(near, outcome, warm);
        const Pick pick = pool.pick(wanted("v1", fullShare, workClass), warm);
        pool.abandon(pick);
        return pick.target->endpoint.target.value();
    };
    CHECK(chosenAt(WorkClass::Critical, 6'900) == "t0");
    CHECK(chosenAt(WorkClass::Interactive, 7'500) == "t0");
    CHECK(chosenAt(WorkClass::Critical, 7'500) == "t1");
}

// Guards against small shares that load more of the new version's targets than the stage names.
TEST_CASE("a stage reaches only the first targets of the new version", "[routing]")
{
    rc::prop("the targets picked are as many as the share names, at every caller the same", [] {
        const auto count = *rc::gen::inRange(1U, 12U);
        const Share share(*rc::gen::inRange(1U, 10'001U));
        std::set<TargetId> picked;
        for (int caller = 0; caller < 5; ++caller) {
            PoolCaller self = callerInA();
            self.node = NodeId("n" + std::to_string(caller));
            ServicePool pool(self, seededRandom(1));
            for (unsigned number = 0; number < count; ++number)
                pool.apply(servingTarget(number, "v2"), SlotCount(20), start);
            for (int request = 0; request < 100; ++request) {
                const Pick pick = pool.pick(wanted("v2", share), warm);
                RC_ASSERT(pick.verdict == PickVerdict::Chosen);
                picked.insert(pick.target->endpoint.target);
                pool.abandon(pick);
            }
        }
        RC_ASSERT(picked.size() <= targetCountForShare(share, count));
    });
}

// Guards against a caller that takes all slots of a target that it shares with others.
TEST_CASE("the first limit is the slots divided by the callers", "[routing]")
{
    PoolCaller self = callerInA();
    self.callers = 8;
    ServicePool pool(self, seededRandom(1));
    for (unsigned number = 0; number < 4; ++number)
        pool.apply(servingTarget(number), SlotCount(20), start);
    for (const auto &target : pool.candidates(wanted().version, ConnectionCount(130)))
        CHECK(target->limit.value() == 2);
    pool.setCallers(25'000);
    for (const auto &target : pool.candidates(wanted().version, ConnectionCount(130)))
        CHECK(target->limit.value() >= 1);
}

} // namespace dandeliondock
