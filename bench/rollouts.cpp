// Compares rollout strategies in simulations of the decision modules with fixed seeds.
#include "standins/rollout_simulation.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

DEFINE_uint32(runs, 200, "simulations for each strategy and kind of version");
DEFINE_uint32(seed, 20261204, "seed of the first simulation; each further one adds 1");

namespace dandeliondock {
namespace {

using standins::SimulationResult;
using standins::SimulationSettings;
using standins::VersionKind;

constexpr std::array kinds{VersionKind::Good,       VersionKind::SharedFault,    VersionKind::FailsAtOnce,
                           VersionKind::FailsLater, VersionKind::FailsUnderLoad, VersionKind::FailsOnOneRoute,
                           VersionKind::Slow};
constexpr double failureThreshold = 0.05;
constexpr std::uint64_t minResponses = 50;

/// \brief Alternative to the sequential test: compares the failure rate over all responses with a fixed threshold.
struct FixedThreshold
{
    std::uint64_t responses = 0;
    std::uint64_t failures = 0;

    [[nodiscard]] Verdict verdict() const
    {
        if (responses < minResponses)
            return Verdict::Undecided;
        return static_cast<double>(failures) > failureThreshold * static_cast<double>(responses) ? Verdict::Bad
                                                                                                 : Verdict::Good;
    }
};

AnalysisHooks fixedThresholdAnalysis()
{
    const auto threshold = std::make_shared<FixedThreshold>();
    AnalysisHooks hooks;
    hooks.add = [threshold](const RouteOutcomes &outcomes) {
        threshold->responses += outcomes.newVersion.requests;
        threshold->failures += outcomes.newVersion.failures;
    };
    hooks.startStage = [threshold] { *threshold = {}; };
    hooks.verdict = [threshold] { return threshold->verdict(); };
    hooks.reason = [] { return std::string("failures above the threshold"); };
    hooks.failureTrend = [](const RouteName &) { return Verdict::Bad; };
    hooks.newResponses = [threshold] { return threshold->responses; };
    return hooks;
}

struct Strategy
{
    const char *name;
    std::vector<Share> stageShares;
    std::function<AnalysisHooks()> makeRule = sequentialAnalysis;
    bool useGuard = true;
    standins::SimulationSpan driverFrozen;
};

/// \brief Results of all simulations of one strategy and one kind of version.
struct Tally
{
    unsigned completed = 0;
    unsigned rolledBack = 0;
    std::vector<std::uint64_t> newRequests;
    std::vector<std::uint64_t> faultRequests;
    std::vector<std::uint64_t> shares;
    std::vector<std::uint64_t> seconds;
};

Tally simulateKind(const Strategy &strategy, VersionKind kind)
{
    Tally tally;
    for (unsigned run = 0; run < FLAGS_runs; ++run) {
        SimulationSettings settings;
        settings.kind = kind;
        settings.seed = FLAGS_seed + run;
        settings.stageShares = strategy.stageShares;
        settings.makeRule = strategy.makeRule;
        settings.driverFrozen = strategy.driverFrozen;
        settings.useGuard = strategy.useGuard;
        const SimulationResult result = simulateRollout(settings);
        const bool isInTime = result.endedAt <= settings.deadlineSeconds;
        tally.completed += result.state == RolloutState::Completed && isInTime ? 1 : 0;
        tally.rolledBack += result.state == RolloutState::RolledBack ? 1 : 0;
        tally.newRequests.push_back(result.newRequests);
        tally.faultRequests.push_back(result.faultRequests);
        tally.shares.push_back(result.highestShare);
        tally.seconds.push_back(static_cast<std::uint64_t>(result.endedAt));
    }
    return tally;
}

unsigned long long quantile(std::vector<std::uint64_t> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

void print(const Strategy &strategy, VersionKind kind, const Tally &tally)
{
    std::printf("%-22s %-19s %9u %9u %9llu %9llu %9llu %9llu %8llu\n", strategy.name, standins::versionKindName(kind),
                tally.completed, tally.rolledBack, quantile(tally.shares, 0.5), quantile(tally.shares, 1),
                quantile(tally.faultRequests, 0.5), quantile(tally.faultRequests, 1), quantile(tally.seconds, 0.5));
}

/// \brief Sums of one strategy over all kinds of version.
struct StrategyTotal
{
    unsigned goodCompleted = 0;
    unsigned goodRuns = 0;
    unsigned badRolledBack = 0;
    unsigned badRuns = 0;
    std::uint64_t faultRequests = 0;
    std::uint64_t goodSeconds = 0;
};

void add(StrategyTotal &total, VersionKind kind, const Tally &tally)
{
    if (kind == VersionKind::Good || kind == VersionKind::SharedFault) {
        total.goodCompleted += tally.completed;
        total.goodRuns += FLAGS_runs;
        total.goodSeconds += std::accumulate(tally.seconds.begin(), tally.seconds.end(), std::uint64_t{0});
        return;
    }
    total.badRolledBack += tally.rolledBack;
    total.badRuns += FLAGS_runs;
    total.faultRequests += std::accumulate(tally.faultRequests.begin(), tally.faultRequests.end(), std::uint64_t{0});
}

// Feedshare weights rolled-back bad versions three to one against good versions completed in time, and the Bulletin
// Office the other way round. Equal scores are compared by the requests that met a fault for Feedshare, and by the time
// to completion for the Bulletin Office.
void printScores(const Strategy &strategy, const StrategyTotal &total)
{
    const double goodRate = static_cast<double>(total.goodCompleted) / total.goodRuns;
    const double badRate = static_cast<double>(total.badRolledBack) / total.badRuns;
    std::printf(
            "%-22s weights: feedshare %.3f (%.0f requests met a bad version) bulletin %.3f (%.0f s to completion)\n",
            strategy.name, 0.25 * goodRate + 0.75 * badRate, static_cast<double>(total.faultRequests) / total.badRuns,
            0.75 * goodRate + 0.25 * badRate, static_cast<double>(total.goodSeconds) / total.goodRuns);
}

void runStrategy(const Strategy &strategy)
{
    StrategyTotal total;
    for (const VersionKind kind : kinds) {
        const Tally tally = simulateKind(strategy, kind);
        add(total, kind, tally);
        print(strategy, kind, tally);
    }
    printScores(strategy, total);
}

} // namespace
} // namespace dandeliondock

int main(int argc, char **argv)
{
    using namespace dandeliondock;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("command: build/bench/bench-rollouts --runs=%u --seed=%u\n", FLAGS_runs, FLAGS_seed);
    std::printf("%-22s %-19s %9s %9s %9s %9s %9s %9s %8s\n", "strategy", "version", "completed", "rolledbk", "share50",
                "shareMax", "fault50", "faultMax", "seconds");
    const std::vector<Share> evenStages{Share(2'000), Share(4'000), Share(6'000), Share(8'000), fullShare};
    const std::vector<Share> steepStages{Share(100), Share(500), Share(2'000), Share(5'000), fullShare};
    const standins::SimulationSpan pausedDriver{100, 160};
    runStrategy({"doubling+sequential", {}, sequentialAnalysis, true, {}});
    runStrategy({"even+sequential", evenStages, sequentialAnalysis, true, {}});
    runStrategy({"1,5,20,50+sequential", steepStages, sequentialAnalysis, true, {}});
    runStrategy({"doubling+threshold", {}, fixedThresholdAnalysis, true, {}});
    runStrategy({"even+threshold", evenStages, fixedThresholdAnalysis, true, {}});
    runStrategy({"frozen, guard", {}, sequentialAnalysis, true, pausedDriver});
    runStrategy({"frozen, no guard", {}, sequentialAnalysis, false, pausedDriver});
    return 0;
}
