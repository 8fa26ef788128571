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

/// \brief How the new version of a simulated rollout behaves.
enum class VersionKind { Good, FailsAtOnce, FailsLater, FailsUnderLoad, FailsOnOneRoute, Slow, SharedFault };

/// \brief Returns the name of a kind, as printed in tables of results.
[[nodiscard]] const char *versionKindName(VersionKind kind);

/// \brief Half-open range of seconds since the start of the simulation; empty if both ends are equal.
struct SimulationSpan
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
    int requestsPerSecond = 120; ///< in total, over all nodes
    std::uint32_t newTargets = 6;
    int deadlineSeconds = 240;
    std::vector<Share> stageShares; ///< the default stages if empty
    std::function<AnalysisHooks()> makeRule = sequentialAnalysis;
    bool useGuard = true;            ///< whether a node's local guard stops the new version on that node
    SimulationSpan storeUnavailable; ///< the driver can't reach the store and has no lease
    SimulationSpan driverFrozen;     ///< the driver makes no decisions
    bool losesMessages = false;      ///< records arrive late and repeatedly; half of the acknowledgements are lost
};

/// \brief Result of one simulated rollout.
struct SimulationResult
{
    RolloutState state = RolloutState::Running;
    int endedAt = 0;                 ///< seconds since the start
    std::uint64_t newRequests = 0;   ///< sent to the new version
    std::uint64_t faultRequests = 0; ///< sent to the new version while its fault showed
    std::uint32_t highestShare = 0;  ///< of the new version on any node while the rollout ran, in parts of 10,000
    bool stageFell = false;          ///< whether the stage of any node decreased
    bool shareAfterRollback = false; ///< whether a node that knew of the rollback still sent to the new version
    std::string reason;
};

/// \brief Simulates one rollout in steps of one second.
///
/// Each node has a rollout table, an outcome aggregator and a local guard; one driver keeps its state in one store row.
[[nodiscard]] SimulationResult simulateRollout(const SimulationSettings &settings);

} // namespace dandeliondock::standins
