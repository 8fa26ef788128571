// Compares ways of rolling out a version over seeded runs of the decision modules.
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

DEFINE_uint32(runs, 200, "seeded runs for each way and kind of version");
DEFINE_uint32(seed, 20261204, "first seed");

namespace dandeliondock {
namespace {

using standins::SimulationResult;
using standins::SimulationSettings;
using standins::VersionKind;

constexpr std::array kinds{VersionKind::Good,       VersionKind::SharedFault,    VersionKind::FailsAtOnce,
                           VersionKind::FailsLater, VersionKind::FailsUnderLoad, VersionKind::FailsOnOneRoute,
                           VersionKind::Slow};
constexpr double thresholdPart = 0.05;
constexpr std::uint64_t thresholdAnswers = 50;

/// \brief The alternative to the sequential test: the part of failures of all answers against a fixed limit.
struct FixedThreshold
{
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;

    [[nodiscard]] Verdict verdict() const
    {
        if (answers < thresholdAnswers)
            return Verdict::Undecided;
        return static_cast<double>(failures) > thresholdPart * static_cast<double>(answers) ? Verdict::Bad
                                                                                            : Verdict::Good;
    }
};

AnalysisHooks thresholdRule()
{
    const auto test = std::make_shared<FixedThreshold>();
    AnalysisHooks rule;
    rule.add = [test](const RouteOutcomes &outcomes) {
        test->answers += outcomes.newVersion.requests;
        test->failures += outcomes.newVersion.failures;
    };
    rule.startStage = [test] { *test = {}; };
    rule.verdict = [test] { return test->verdict(); };
    rule.reason = [] { return std::string("failures above the threshold"); };
    rule.failureTrend = [](const RouteName &) { return Verdict::Bad; };
    rule.newResponses = [test] { return test->answers; };
    return rule;
}

struct Way
{
    const char *name;
    std::vector<Share> stageShares;
    std::function<AnalysisHooks()> makeRule = sequentialAnalysis;
    bool useGuard = true;
    standins::SimulationSpan driverFrozen;
};

/// \brief Sums of the runs of one way and one kind.
struct Tally
{
    unsigned completed = 0;
    unsigned rolledBack = 0;
    std::vector<std::uint64_t> newRequests;
    std::vector<std::uint64_t> faultRequests;
    std::vector<std::uint64_t> shares;
    std::vector<std::uint64_t> seconds;
};

Tally runKind(const Way &way, VersionKind kind)
{
    Tally tally;
    for (unsigned run = 0; run < FLAGS_runs; ++run) {
        SimulationSettings settings;
        settings.kind = kind;
        settings.seed = FLAGS_seed + run;
        settings.stageShares = way.stageShares;
        settings.makeRule = way.makeRule;
        settings.driverFrozen = way.driverFrozen;
        settings.useGuard = way.useGuard;
        const SimulationResult result = simulateRollout(settings);
        const bool inTime = result.endedAt <= settings.deadlineSeconds;
        tally.completed += result.state == RolloutState::Completed && inTime ? 1 : 0;
        tally.rolledBack += result.state == RolloutState::RolledBack ? 1 : 0;
        tally.newRequests.push_back(result.newRequests);
        tally.faultRequests.push_back(result.faultRequests);
        tally.shares.push_back(result.highestShare);
        tally.seconds.push_back(static_cast<std::uint64_t>(result.endedAt));
    }
    return tally;
}

unsigned long long number(std::vector<std::uint64_t> values, double part)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

void print(const Way &way, VersionKind kind, const Tally &tally)
{
    std::printf("%-22s %-19s %9u %9u %9llu %9llu %9llu %9llu %8llu\n", way.name, standins::versionKindName(kind),
                tally.completed, tally.rolledBack, number(tally.shares, 0.5), number(tally.shares, 1),
                number(tally.faultRequests, 0.5), number(tally.faultRequests, 1), number(tally.seconds, 0.5));
}

/// \brief Sums of one way over all kinds.
struct WayTotal
{
    unsigned goodDone = 0;
    unsigned goodRuns = 0;
    unsigned badBack = 0;
    unsigned badRuns = 0;
    std::uint64_t faultRequests = 0;
    std::uint64_t goodSeconds = 0;
};

void add(WayTotal &total, VersionKind kind, const Tally &tally)
{
    if (kind == VersionKind::Good || kind == VersionKind::SharedFault) {
        total.goodDone += tally.completed;
        total.goodRuns += FLAGS_runs;
        total.goodSeconds += std::accumulate(tally.seconds.begin(), tally.seconds.end(), std::uint64_t{0});
        return;
    }
    total.badBack += tally.rolledBack;
    total.badRuns += FLAGS_runs;
    total.faultRequests += std::accumulate(tally.faultRequests.begin(), tally.faultRequests.end(), std::uint64_t{0});
}

// Feedshare weighs bad versions taken back three to one, the Bulletin Office good versions done in time. Equal weights
// are told apart by the requests that met a fault for the first and by the time to completion for the second.
void printWeights(const Way &way, const WayTotal &total)
{
    const double good = static_cast<double>(total.goodDone) / total.goodRuns;
    const double bad = static_cast<double>(total.badBack) / total.badRuns;
    std::printf(
            "%-22s weights: feedshare %.3f (%.0f requests met a bad version) bulletin %.3f (%.0f s to completion)\n",
            way.name, 0.25 * good + 0.75 * bad, static_cast<double>(total.faultRequests) / total.badRuns,
            0.75 * good + 0.25 * bad, static_cast<double>(total.goodSeconds) / total.goodRuns);
}

void runWay(const Way &way)
{
    WayTotal total;
    for (const VersionKind kind : kinds) {
        const Tally tally = runKind(way, kind);
        add(total, kind, tally);
        print(way, kind, tally);
    }
    printWeights(way, total);
}

} // namespace
} // namespace dandeliondock

int main(int argc, char **argv)
{
    using namespace dandeliondock;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("command: build/bench/bench-rollouts --runs=%u --seed=%u\n", FLAGS_runs, FLAGS_seed);
    std::printf("%-22s %-19s %9s %9s %9s %9s %9s %9s %8s\n", "way", "version", "completed", "rolledbk", "share50",
                "shareMax", "fault50", "faultMax", "seconds");
    const std::vector<Share> even{Share(2'000), Share(4'000), Share(6'000), Share(8'000), fullShare};
    const std::vector<Share> page{Share(100), Share(500), Share(2'000), Share(5'000), fullShare};
    const standins::SimulationSpan frozen{100, 160};
    runWay({"doubling+sequential", {}, sequentialAnalysis, true, {}});
    runWay({"even+sequential", even, sequentialAnalysis, true, {}});
    runWay({"1,5,20,50+sequential", page, sequentialAnalysis, true, {}});
    runWay({"doubling+threshold", {}, thresholdRule, true, {}});
    runWay({"even+threshold", even, thresholdRule, true, {}});
    runWay({"frozen, guard", {}, sequentialAnalysis, true, frozen});
    runWay({"frozen, no guard", {}, sequentialAnalysis, false, frozen});
    return 0;
}
