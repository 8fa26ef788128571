#include <dandeliondock/codec/proxy_codec.h>
#include <dandeliondock/proxy/service_versions.h>
#include <dandeliondock/routing/version_chooser.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

ServiceVersions makeVersions(RolloutState state, std::uint32_t stage = 0)
{
    ServiceVersions versions{ServiceName("s"), VersionName("v1"), RolloutProgress{}};
    RolloutProgress &rollout = *versions.rollout;
    rollout.record = {TicketNumber(7), ServiceName("s"), StageIndex(stage), state, "why"};
    rollout.target = VersionName("v2");
    rollout.startedAt = WallTime(Milliseconds(1'000));
    rollout.deadline = WallTime(Milliseconds(17'000));
    rollout.stageStartedAt = WallTime(Milliseconds(3'000));
    rollout.driver = Address("10.0.0.1:1");
    rollout.fence = FencingToken(3);
    return versions;
}

} // namespace

// Guards against requests to a version that no order names or that was rolled back.
TEST_CASE("only the current version and the target version of a running rollout may serve", "[proxy]")
{
    CHECK(mayServe(makeVersions(RolloutState::Running), VersionName("v1")));
    CHECK(mayServe(makeVersions(RolloutState::Running), VersionName("v2")));
    CHECK_FALSE(mayServe(makeVersions(RolloutState::Running), VersionName("v3")));
    CHECK_FALSE(mayServe(makeVersions(RolloutState::RolledBack), VersionName("v2")));
    CHECK_FALSE(mayServe({ServiceName("s"), VersionName("v1"), std::nullopt}, VersionName("v2")));
}

// Guards against a first stage that sends more than a tenth of the requests to the new version before a fault shows.
TEST_CASE("the new version's share rises from a small part to nearly all traffic and ends with the rollout", "[proxy]")
{
    constexpr std::uint32_t newTargets = 6;
    Share lastShare = noShare;
    for (std::uint32_t stage = 0; stage < 3; ++stage) {
        const auto split = versionSplit(makeVersions(RolloutState::Running, stage), newTargets);
        REQUIRE(split);
        CHECK(split->newShare > lastShare);
        lastShare = split->newShare;
    }
    CHECK(versionSplit(makeVersions(RolloutState::Running, 0), newTargets)->newShare <= Share(500));
    CHECK(lastShare >= Share(9'500));
    CHECK_FALSE(versionSplit(makeVersions(RolloutState::Running, 0), 0));
    CHECK_FALSE(versionSplit(makeVersions(RolloutState::RolledBack, 2), newTargets));
    CHECK_FALSE(versionSplit(makeVersions(RolloutState::Completed, 2), newTargets));
}

// Guards against a version that fails under load and gets a third of the traffic, although a few of its targets with
// their final load show the fault as well.
TEST_CASE("the second stage puts the final load on about a tenth of the new targets, at least on one", "[proxy]")
{
    for (std::uint32_t newTargets = 1; newTargets <= 300; ++newTargets) {
        const auto split = versionSplit(makeVersions(RolloutState::Running, 1), newTargets);
        REQUIRE(split);
        INFO(newTargets << " new targets");
        const std::size_t loaded = targetCountForShare(split->newTargetShare, newTargets);
        CHECK(loaded == (newTargets + 9) / 10);
        const std::uint32_t finalLoad = fullShare.value() / newTargets;
        const std::uint32_t load = split->newShare.value() / static_cast<std::uint32_t>(loaded);
        CHECK(load <= finalLoad);
        CHECK(split->newShare <= Share(3'300));
        if (newTargets >= 4)
            CHECK(load + 1 >= finalLoad);
    }
}

// Guards against fields that are lost when a service's row is encoded and decoded.
TEST_CASE("a service's row decodes to what was encoded", "[proxy]")
{
    for (const RolloutState state : {RolloutState::Running, RolloutState::Completed, RolloutState::RolledBack}) {
        const ServiceVersions versions = makeVersions(state, 2);
        const auto decoded = decodeServiceVersions(versions.service, encodeServiceVersions(versions));
        REQUIRE(decoded.ok());
        CHECK(*decoded == versions);
    }
    const ServiceVersions withoutRollout{ServiceName("s"), VersionName("v1"), std::nullopt};
    const auto decoded = decodeServiceVersions(withoutRollout.service, encodeServiceVersions(withoutRollout));
    REQUIRE(decoded.ok());
    CHECK(*decoded == withoutRollout);
    CHECK_FALSE(decodeServiceVersions(withoutRollout.service, "\xff\xff").ok());
}

// Guards against a driver that rejects reports without outcomes, so that each proxy that reports to it takes over as
// driver. Under high load no evidence arrived this way, and the rollout of a bad version was completed.
TEST_CASE("a report without outcomes is valid", "[proxy]")
{
    const OutcomeReport report{{NodeId("n"), Incarnation(5)}, std::nullopt};
    const auto decoded = decodeOutcomeReport(encodeOutcomeReport(report));
    REQUIRE(decoded.ok());
    CHECK_FALSE(decoded->batch.has_value());
    CHECK(decoded->sender == report.sender);
}

} // namespace dandeliondock
