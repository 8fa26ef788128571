#pragma once

#include <dandeliondock/core/random_source.h>
#include <dandeliondock/rollout/local_guard.h>
#include <dandeliondock/rollout/outcome_aggregator.h>
#include <dandeliondock/rollout/rollout_driver.h>
#include <dandeliondock/rollout/rollout_table.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace dandeliondock::standins {

/// \brief Ways of a version of being good or bad.
enum class VersionKind { Good, FailsAtOnce, FailsLater, FailsUnderLoad, FailsOnOneRoute, Slow, SharedFault };

/// \brief Name of a kind for tables.
[[nodiscard]] const char *versionKindName(VersionKind kind);

/// \brief A span of seconds since the start; empty when both are equal.
struct ModelSpan
{
    int from = 0;
    int to = 0;

    [[nodiscard]] bool contains(int second) const noexcept { return second >= from && second < to; }
};

/// \brief Settings of one simulated rollout.
struct SimulationSettings
{
    VersionKind kind = VersionKind::Good;
    std::uint64_t seed = 1;
    int nodes = 12;
    int requestsPerSecond = 120; ///< of all nodes
    std::uint32_t newTargets = 6;
    int deadlineSeconds = 240;
    std::vector<Share> stageShares; ///< empty takes the default plan
    std::function<AnalysisHooks()> makeRule = sequentialAnalysis;
    bool useGuard = true;
    ModelSpan storeUnavailable;
    ModelSpan driverFrozen;
    bool losesMessages = false; ///< records are lost, late and repeated; acknowledgements are lost
};

/// \brief What one simulated rollout came to.
struct SimulationResult
{
    RolloutState state = RolloutState::Running;
    int endedAt = 0;                 ///< seconds
    std::uint64_t newRequests = 0;   ///< that met the new version
    std::uint64_t faultRequests = 0; ///< that met it from the onset of its fault
    std::uint32_t highestShare = 0;  ///< in force at the end of the rollout, in parts of 10,000
    bool stageFell = false;
    bool shareAfterRollback = false;
    std::string reason;
};

/// \brief Runs one rollout in steps of one second: nodes with table, window and guard, one driver, one store row.
[[nodiscard]] SimulationResult simulateRollout(const SimulationSettings &settings);

} // namespace dandeliondock::standins
