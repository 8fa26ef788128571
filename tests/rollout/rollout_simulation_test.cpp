#include "standins/rollout_simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

using standins::ModelSpan;
using standins::SimulationResult;
using standins::SimulationSettings;
using standins::VersionKind;

/// \brief Most requests that meet the fault of a bad version before it is rolled back, at 120 requests a second.
constexpr std::uint64_t faultRequestLimit = 600;
/// \brief Largest share that a version bad from the start, on one route or slow reaches.
constexpr std::uint32_t earlyFaultShareLimit = 500;
/// \brief Largest share of a version that fails under load: that at which one new target carries its final load.
constexpr std::uint32_t loadFaultShareLimit = fullShare.value() / 6;

SimulationSettings anySettings(VersionKind kind)
{
    SimulationSettings settings;
    settings.kind = kind;
    settings.seed = *rc::gen::arbitrary<std::uint64_t>();
    settings.losesMessages = *rc::gen::arbitrary<bool>();
    return settings;
}

ModelSpan anySpan()
{
    const int from = *rc::gen::inRange(0, 200);
    return {from, from + *rc::gen::inRange(0, 60)};
}

} // namespace

// Guards against a bad version that is completed, or that meets more requests than the operators' page states.
TEST_CASE("a bad version is rolled back within the stated share and requests", "[rollout]")
{
    rc::prop("in each of the five ways", [] {
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

// Guards against a good version that is late or taken back.
TEST_CASE("a good version is completed by the deadline", "[rollout]")
{
    rc::prop("also when records and acknowledgements are lost, late or repeated", [] {
        const SimulationSettings settings = anySettings(VersionKind::Good);
        const SimulationResult result = simulateRollout(settings);
        RC_ASSERT(result.state == RolloutState::Completed);
        RC_ASSERT(result.endedAt <= settings.deadlineSeconds);
    });
}

// Guards against a version that is taken back for a fault of what both versions depend on.
TEST_CASE("a fault shared by both versions blames nobody", "[rollout]")
{
    rc::prop("a service that fails as a whole for a while", [] {
        RC_ASSERT(simulateRollout(anySettings(VersionKind::SharedFault)).state == RolloutState::Completed);
    });
}

// Guards against an outage or a pause that lowers a stage, revives a rolled-back version or completes a bad one.
TEST_CASE("outages of the store and pauses of the driver revive and complete no bad version", "[rollout]")
{
    rc::prop("whatever falls together", [] {
        SimulationSettings settings =
                anySettings(*rc::gen::element(VersionKind::Good, VersionKind::FailsAtOnce, VersionKind::FailsLater,
                                              VersionKind::FailsUnderLoad, VersionKind::Slow));
        settings.storeAway = anySpan();
        settings.driverFrozen = anySpan();
        const SimulationResult result = simulateRollout(settings);
        RC_ASSERT_FALSE(result.stageFell);
        RC_ASSERT_FALSE(result.shareAfterRollback);
        const auto wanted = settings.kind == VersionKind::Good ? RolloutState::Completed : RolloutState::RolledBack;
        RC_ASSERT(result.state == wanted);
    });
}

} // namespace dandeliondock
