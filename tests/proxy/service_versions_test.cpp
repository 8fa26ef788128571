#include <dandeliondock/codec/proxy_codec.h>
#include <dandeliondock/proxy/service_versions.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

ServiceVersions running(RolloutState state, std::uint32_t stage = 0)
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

// Guards against requests to a version that nobody ordered, or that was taken back.
TEST_CASE("only the current version and the one of a running rollout may serve", "[proxy]")
{
    CHECK(mayServe(running(RolloutState::Running), VersionName("v1")));
    CHECK(mayServe(running(RolloutState::Running), VersionName("v2")));
    CHECK_FALSE(mayServe(running(RolloutState::Running), VersionName("v3")));
    CHECK_FALSE(mayServe(running(RolloutState::RolledBack), VersionName("v2")));
    CHECK_FALSE(mayServe({ServiceName("s"), VersionName("v1"), std::nullopt}, VersionName("v2")));
}

// Guards against a first stage that exposes more than a tenth of the requests before its fault shows.
TEST_CASE("shares rise from a small one to nearly everything, and end with the rollout", "[proxy]")
{
    constexpr std::uint32_t newTargets = 6;
    Share last = noShare;
    for (std::uint32_t stage = 0; stage < 3; ++stage) {
        const auto split = splitOf(running(RolloutState::Running, stage), newTargets);
        REQUIRE(split);
        CHECK(split->newShare > last);
        last = split->newShare;
    }
    CHECK(splitOf(running(RolloutState::Running, 0), newTargets)->newShare <= Share(500));
    CHECK(last >= Share(9'500));
    CHECK_FALSE(splitOf(running(RolloutState::Running, 0), 0));
    CHECK_FALSE(splitOf(running(RolloutState::RolledBack, 2), newTargets));
    CHECK_FALSE(splitOf(running(RolloutState::Completed, 2), newTargets));
}

// Guards against a row that loses a field on its way through the table.
TEST_CASE("the row of a service comes back as it was written", "[proxy]")
{
    for (const RolloutState state : {RolloutState::Running, RolloutState::Completed, RolloutState::RolledBack}) {
        const ServiceVersions versions = running(state, 2);
        const auto read = decodeServiceVersions(versions.service, encodeServiceVersions(versions));
        REQUIRE(read.ok());
        CHECK(*read == versions);
    }
    const ServiceVersions plain{ServiceName("s"), VersionName("v1"), std::nullopt};
    const auto read = decodeServiceVersions(plain.service, encodeServiceVersions(plain));
    REQUIRE(read.ok());
    CHECK(*read == plain);
    CHECK_FALSE(decodeServiceVersions(plain.service, "\xff\xff").ok());
}

// Guards against a driver that refuses reports without news and is then replaced by each of its reporters: on a day of
// high load no evidence arrived and a bad version was completed.
TEST_CASE("a report without outcomes is valid", "[proxy]")
{
    const OutcomeReport report{{NodeId("n"), Incarnation(5)}, std::nullopt};
    const auto read = decodeOutcomeReport(encodeOutcomeReport(report));
    REQUIRE(read.ok());
    CHECK_FALSE(read->batch.has_value());
    CHECK(read->sender == report.sender);
}

} // namespace dandeliondock
