#include "standins/rollout_simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

using standins::SimulationResult;
using standins::SimulationSettings;
using standins::SimulationSpan;
using standins::VersionKind;

/// \brief Maximum number of requests that a bad version receives after its fault began and before it is rolled back, at
/// 120 requests per second.
constexpr std::uint64_t faultRequestLimit = 600;
/// \brief Maximum share of a version that fails from the start, fails on one route, or is slow.
constexpr std::uint32_t earlyFaultShareLimit = 500;
/// \brief Maximum share of a version that fails under load: the share at which a single one of its 6 targets would have
/// the load that each has at the full share.
constexpr std::uint32_t loadFaultShareLimit = fullShare.value() / 6;

SimulationSettings anySettings(VersionKind kind)
{
    SimulationSettings settings;
    settings.kind = kind;
    settings.seed = *rc::gen::arbitrary<std::uint64_t>();
    settings.losesMessages = *rc::gen::arbitrary<bool>();
    return settings;
}

SimulationSpan anySpan()
{
    const int from = *rc::gen::inRange(0, 200);
    return {from, from + *rc::gen::inRange(0, 60)};
}

} // namespace

// Guards against a bad version that is completed, or that receives more requests than the operators' documentation
// states.
TEST_CASE("a bad version is rolled back within the documented share and number of requests", "[rollout]")
{
    rc::prop("for each of the five kinds of fault", [] {
        const auto kind =
                *rc::gen::element(VersionKind::FailsAtOnce, VersionKind::FailsLater, VersionKind::FailsUnderLoad,
                                  VersionKind::FailsOnOneRoute, VersionKind::Slow);
        const SimulationResult result = simulateRollout(anySettings(kind));
        RC_ASSERT(result.state == RolloutState::RolledBack);
        RC_ASSERT(result.faultRequests <= faultRequestLimit);
        if (kind == VersionKind::FailsUnderLoad)
            RC_ASSERT(result.highestShare <= loadFaultShareLimit);
        else if (kind != VersionKind::FailsLater)
            RC_ASSERT(result.highestShare <= earlyFaultShareLimit);
    });
}

// Guards against a good version that misses its deadline or is rolled back.
TEST_CASE("a good version is completed by the deadline", "[rollout]")
{
    rc::prop("also when records are lost, late or repeated and acknowledgements are lost", [] {
        const SimulationSettings settings = anySettings(VersionKind::Good);
        const SimulationResult result = simulateRollout(settings);
        RC_ASSERT(result.state == RolloutState::Completed);
        RC_ASSERT(result.endedAt <= settings.deadlineSeconds);
    });
}

// Guards against rolling a version back for a fault in a dependency of both versions.
TEST_CASE("a fault shared by both versions causes no rollback", "[rollout]")
{
    rc::prop("when both versions of a service fail for a time", [] {
        RC_ASSERT(simulateRollout(anySettings(VersionKind::SharedFault)).state == RolloutState::Completed);
    });
}

// Guards against an outage or a pause that lowers the stage, gives a rolled-back version traffic again or completes a
// bad version.
TEST_CASE("store outages and driver pauses never complete a bad version or reverse its rollback", "[rollout]")
{
    rc::prop("for any combination of outage, pause and fault", [] {
        SimulationSettings settings =
                anySettings(*rc::gen::element(VersionKind::Good, VersionKind::FailsAtOnce, VersionKind::FailsLater,
                                              VersionKind::FailsUnderLoad, VersionKind::Slow));
        settings.storeUnavailable = anySpan();
        settings.driverFrozen = anySpan();
        const SimulationResult result = simulateRollout(settings);
        RC_ASSERT_FALSE(result.stageFell);
        RC_ASSERT_FALSE(result.shareAfterRollback);
        const auto expected = settings.kind == VersionKind::Good ? RolloutState::Completed : RolloutState::RolledBack;
        RC_ASSERT(result.state == expected);
    });
}

} // namespace dandeliondock
