#include <dandeliondock/rollout/version_comparison.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace dandeliondock {

namespace {

constexpr double failureFloor = 0.005;
constexpr double slowFloor = 0.05; // part of answers above the 95th percentile
constexpr double highestRate = 0.95;
constexpr double slowQuantile = 0.95;
constexpr std::uint64_t oldAnswersForQuantile = 20;

const double rejectAt = std::log((1 - falseAcceptBound) / falseRejectBound);
const double roundLimit = rejectAt / 2;
const double acceptAt = std::log(falseAcceptBound / (1 - falseRejectBound));

std::uint64_t answersAbove(const OutcomeSummary &summary, std::size_t bucket)
{
    const auto begin = summary.latencyBuckets.begin() + static_cast<std::ptrdiff_t>(bucket) + 1;
    return std::accumulate(begin, summary.latencyBuckets.end(), std::uint64_t{0});
}

std::uint64_t answersIn(const OutcomeSummary &summary)
{
    return std::accumulate(summary.latencyBuckets.begin(), summary.latencyBuckets.end(), std::uint64_t{0});
}

std::size_t quantileBucket(const OutcomeSummary &summary)
{
    const double wanted = slowQuantile * static_cast<double>(answersIn(summary));
    double seen = 0;
    for (std::size_t index = 0; index < outcomeLatencyBuckets; ++index) {
        seen += summary.latencyBuckets[index];
        if (seen >= wanted)
            return index;
    }
    return outcomeLatencyBuckets - 1;
}

// Answers above this bucket are slow.
std::size_t slowBucket(const OutcomeSummary &old)
{
    return std::max(quantileBucket(old), harmlessBucket);
}

// A blind round counts in full: without answers of the old version there is nothing to match.
std::uint64_t matchedAnswers(const RouteOutcomes &round)
{
    return round.oldVersion.requests == 0 ? round.newVersion.requests : round.oldVersion.requests;
}

struct Proportion
{
    std::uint64_t hits = 0;
    std::uint64_t trials = 0;
};

// The estimate errs upwards, so that an uncertain base does not blame the new version. A hit of the old version in
// the round itself weighs most: it is how a fault of both sides shows. Empty when the fault is shared.
std::optional<double> baseRate(const Proportion &total, const Proportion &round, double floor)
{
    const auto rate = [](const Proportion &part, double prior) {
        return (static_cast<double>(part.hits) + prior) / (static_cast<double>(part.trials) + 1);
    };
    double base = std::max(floor, rate(total, 0.0));
    if (round.hits > 0)
        base = std::max(base, rate(round, 0.5));
    if (base >= sharedFaultLimit)
        return std::nullopt;
    return base;
}

} // namespace

void SequentialRatioTest::add(std::uint64_t hits, std::uint64_t trials, std::uint64_t matched, double base,
                              double excess)
{
    if (m_logRatio >= rejectAt || trials == 0)
        return;
    const double worse = std::min(highestRate, base + std::max(excess, 2 * base));
    const auto misses = static_cast<double>(trials - hits);
    double added = static_cast<double>(hits) * std::log(worse / base);
    added += misses * std::log((1 - worse) / (1 - base));
    if (added > 0 && matched < trials)
        added *= static_cast<double>(matched) / static_cast<double>(trials);
    m_logRatio += std::min(added, roundLimit);
    m_accepted = m_accepted || m_logRatio <= acceptAt;
    m_logRatio = std::max(m_logRatio, acceptAt);
}

void SequentialRatioTest::restart()
{
    m_accepted = false;
    m_logRatio = std::max(m_logRatio, 0.0);
}

Verdict SequentialRatioTest::verdict() const noexcept
{
    if (m_logRatio >= rejectAt)
        return Verdict::Bad;
    return m_accepted && m_logRatio <= 0 ? Verdict::Good : Verdict::Undecided;
}

void VersionComparison::add(const RouteOutcomes &outcomes)
{
    if (outcomes.oldVersion.requests == 0 && outcomes.newVersion.requests == 0)
        return;
    RouteTest &test = m_routes[outcomes.route];
    addOutcomes(test.round, outcomes);
    m_newAnswers += outcomes.newVersion.requests;
    const std::uint64_t oldAnswers = test.round.oldVersion.requests;
    const std::uint64_t newResponses = test.round.newVersion.requests;
    const bool isPaired = oldAnswers >= minOldPerRound && newResponses > 0;
    const bool isBlind = oldAnswers == 0 && newResponses >= unpairedRoundResponses;
    if (isPaired || isBlind)
        closeRound(test);
}

void VersionComparison::startStage()
{
    for (auto &[route, test] : m_routes) {
        test.failures.restart();
        test.slowness.restart();
    }
}

Verdict VersionComparison::verdict() const
{
    bool allGood = !m_routes.empty() && m_newAnswers > 0;
    for (const auto &[route, test] : m_routes) {
        if (test.failures.verdict() == Verdict::Bad || test.slowness.verdict() == Verdict::Bad)
            return Verdict::Bad;
        const bool isGood = test.failures.verdict() == Verdict::Good && test.slowness.verdict() == Verdict::Good;
        const bool isUsed = test.newTotal.requests + test.round.newVersion.requests > 0;
        allGood = allGood && (isGood || !isUsed);
    }
    return allGood ? Verdict::Good : Verdict::Undecided;
}

std::string VersionComparison::reason() const
{
    for (const auto &[route, test] : m_routes) {
        if (test.failures.verdict() == Verdict::Bad) {
            return absl::StrCat("route ", route.value(), ": the new version failed ", test.newTotal.failures, " of ",
                                test.newTotal.requests, ", the old one ", test.oldTotal.failures, " of ",
                                test.oldTotal.requests);
        }
        if (test.slowness.verdict() == Verdict::Bad) {
            const std::size_t bucket = slowBucket(test.oldTotal);
            return absl::StrCat("route ", route.value(), ": ", answersAbove(test.newTotal, bucket), " of ",
                                answersIn(test.newTotal),
                                " answers of the new version were slower than the old one's 95th percentile");
        }
    }
    return {};
}

Verdict VersionComparison::failureTrend(const RouteName &route) const
{
    const auto test = m_routes.find(route);
    if (test == m_routes.end())
        return Verdict::Undecided;
    return test->second.failures.logRatio() > 0 ? Verdict::Bad : test->second.failures.verdict();
}

void VersionComparison::closeRound(RouteTest &test)
{
    addOutcomes(test.oldTotal, test.round.oldVersion);
    addOutcomes(test.newTotal, test.round.newVersion);
    judgeFailures(test);
    judgeSlowness(test);
    test.round = {};
}

void VersionComparison::judgeFailures(RouteTest &test)
{
    const Proportion total{test.oldTotal.failures, test.oldTotal.requests};
    const Proportion round{test.round.oldVersion.failures, test.round.oldVersion.requests};
    const OutcomeSummary &fresh = test.round.newVersion;
    if (const std::optional<double> base = baseRate(total, round, failureFloor))
        test.failures.add(fresh.failures, fresh.requests, matchedAnswers(test.round), *base, detectableFailureExcess);
}

void VersionComparison::judgeSlowness(RouteTest &test)
{
    if (answersIn(test.oldTotal) < oldAnswersForQuantile)
        return;
    const std::size_t bucket = slowBucket(test.oldTotal);
    const Proportion total{answersAbove(test.oldTotal, bucket), answersIn(test.oldTotal)};
    const Proportion round{answersAbove(test.round.oldVersion, bucket), answersIn(test.round.oldVersion)};
    const OutcomeSummary &fresh = test.round.newVersion;
    if (const std::optional<double> base = baseRate(total, round, slowFloor))
        test.slowness.add(answersAbove(fresh, bucket), answersIn(fresh), matchedAnswers(test.round), *base,
                          detectableSlowExcess);
}

} // namespace dandeliondock
