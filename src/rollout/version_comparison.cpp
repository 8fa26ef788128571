#include <dandeliondock/rollout/version_comparison.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace dandeliondock {

namespace {

constexpr double minFailureBase = 0.005;
constexpr double minSlowBase = 0.05; // share of responses above the 95th percentile
constexpr double maxTestedRate = 0.95;
constexpr double slowQuantile = 0.95;
constexpr std::uint64_t minOldForQuantile = 20;

const double rejectThreshold = std::log((1 - falseAcceptBound) / falseRejectBound);
const double maxRoundEvidence = rejectThreshold / 2;
const double acceptThreshold = std::log(falseAcceptBound / (1 - falseRejectBound));

std::uint64_t responsesAbove(const OutcomeSummary &summary, std::size_t bucket)
{
    const auto begin = summary.latencyBuckets.begin() + static_cast<std::ptrdiff_t>(bucket) + 1;
    return std::accumulate(begin, summary.latencyBuckets.end(), std::uint64_t{0});
}

std::uint64_t responsesIn(const OutcomeSummary &summary)
{
    return std::accumulate(summary.latencyBuckets.begin(), summary.latencyBuckets.end(), std::uint64_t{0});
}

std::size_t quantileBucket(const OutcomeSummary &summary)
{
    const double quantileCount = slowQuantile * static_cast<double>(responsesIn(summary));
    double cumulativeCount = 0;
    for (std::size_t index = 0; index < outcomeLatencyBuckets; ++index) {
        cumulativeCount += summary.latencyBuckets[index];
        if (cumulativeCount >= quantileCount)
            return index;
    }
    return outcomeLatencyBuckets - 1;
}

// Returns the bucket above which responses count as slow.
std::size_t slowBucket(const OutcomeSummary &oldVersion)
{
    return std::max(quantileBucket(oldVersion), maxFastBucket);
}

// A round without responses of the old version counts in full, because there is nothing to match.
std::uint64_t matchedResponses(const RouteOutcomes &round)
{
    return round.oldVersion.requests == 0 ? round.newVersion.requests : round.oldVersion.requests;
}

struct Proportion
{
    std::uint64_t hits = 0;
    std::uint64_t trials = 0;
};

// Estimates the old version's rate. The estimate errs upwards, so that an uncertain rate is not held against the new
// version. A hit of the old version in the round itself weighs most, because a fault shared by both versions shows that
// way. Empty when the fault is shared.
std::optional<double> baseRate(const Proportion &total, const Proportion &round, double minBase)
{
    const auto rate = [](const Proportion &proportion, double prior) {
        return (static_cast<double>(proportion.hits) + prior) / (static_cast<double>(proportion.trials) + 1);
    };
    double base = std::max(minBase, rate(total, 0.0));
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
    if (m_logRatio >= rejectThreshold || trials == 0)
        return;
    const double badRate = std::min(maxTestedRate, base + std::max(excess, 2 * base));
    const auto misses = static_cast<double>(trials - hits);
    double evidence = static_cast<double>(hits) * std::log(badRate / base);
    evidence += misses * std::log((1 - badRate) / (1 - base));
    if (evidence > 0 && matched < trials)
        evidence *= static_cast<double>(matched) / static_cast<double>(trials);
    m_logRatio += std::min(evidence, maxRoundEvidence);
    m_accepted = m_accepted || m_logRatio <= acceptThreshold;
    m_logRatio = std::max(m_logRatio, acceptThreshold);
}

void SequentialRatioTest::discardAcceptance()
{
    m_accepted = false;
    m_logRatio = std::max(m_logRatio, 0.0);
}

Verdict SequentialRatioTest::verdict() const noexcept
{
    if (m_logRatio >= rejectThreshold)
        return Verdict::Bad;
    return m_accepted && m_logRatio <= 0 ? Verdict::Good : Verdict::Undecided;
}

void VersionComparison::add(const RouteOutcomes &outcomes)
{
    if (outcomes.oldVersion.requests == 0 && outcomes.newVersion.requests == 0)
        return;
    RouteComparison &comparison = m_routes[outcomes.route];
    addOutcomes(comparison.round, outcomes);
    m_newResponses += outcomes.newVersion.requests;
    const std::uint64_t oldInRound = comparison.round.oldVersion.requests;
    const std::uint64_t newInRound = comparison.round.newVersion.requests;
    const bool isPaired = oldInRound >= minOldPerRound && newInRound > 0;
    const bool isUnpaired = oldInRound == 0 && newInRound >= unpairedRoundResponses;
    if (isPaired || isUnpaired)
        closeRound(comparison);
}

void VersionComparison::startStage()
{
    for (auto &[route, comparison] : m_routes) {
        comparison.failureTest.discardAcceptance();
        comparison.slownessTest.discardAcceptance();
    }
}

Verdict VersionComparison::verdict() const
{
    bool allGood = !m_routes.empty() && m_newResponses > 0;
    for (const auto &[route, comparison] : m_routes) {
        if (comparison.failureTest.verdict() == Verdict::Bad || comparison.slownessTest.verdict() == Verdict::Bad)
            return Verdict::Bad;
        const bool isGood =
                comparison.failureTest.verdict() == Verdict::Good && comparison.slownessTest.verdict() == Verdict::Good;
        const bool isUsed = comparison.newTotal.requests + comparison.round.newVersion.requests > 0;
        allGood = allGood && (isGood || !isUsed);
    }
    return allGood ? Verdict::Good : Verdict::Undecided;
}

std::string VersionComparison::reason() const
{
    for (const auto &[route, comparison] : m_routes) {
        if (comparison.failureTest.verdict() == Verdict::Bad) {
            return absl::StrCat("route ", route.value(), ": the new version failed ", comparison.newTotal.failures,
                                " of ", comparison.newTotal.requests, ", the old one ", comparison.oldTotal.failures,
                                " of ", comparison.oldTotal.requests);
        }
        if (comparison.slownessTest.verdict() == Verdict::Bad) {
            const std::size_t bucket = slowBucket(comparison.oldTotal);
            return absl::StrCat("route ", route.value(), ": ", responsesAbove(comparison.newTotal, bucket), " of ",
                                responsesIn(comparison.newTotal),
                                " answers of the new version were slower than the old one's 95th percentile");
        }
    }
    return {};
}

Verdict VersionComparison::failureTrend(const RouteName &route) const
{
    const auto comparison = m_routes.find(route);
    if (comparison == m_routes.end())
        return Verdict::Undecided;
    return comparison->second.failureTest.logRatio() > 0 ? Verdict::Bad : comparison->second.failureTest.verdict();
}

void VersionComparison::closeRound(RouteComparison &comparison)
{
    addOutcomes(comparison.oldTotal, comparison.round.oldVersion);
    addOutcomes(comparison.newTotal, comparison.round.newVersion);
    evaluateFailures(comparison);
    evaluateSlowness(comparison);
    comparison.round = {};
}

void VersionComparison::evaluateFailures(RouteComparison &comparison)
{
    const Proportion total{comparison.oldTotal.failures, comparison.oldTotal.requests};
    const Proportion round{comparison.round.oldVersion.failures, comparison.round.oldVersion.requests};
    const OutcomeSummary &newOutcomes = comparison.round.newVersion;
    if (const std::optional<double> base = baseRate(total, round, minFailureBase))
        comparison.failureTest.add(newOutcomes.failures, newOutcomes.requests, matchedResponses(comparison.round),
                                   *base, detectableFailureExcess);
}

void VersionComparison::evaluateSlowness(RouteComparison &comparison)
{
    if (responsesIn(comparison.oldTotal) < minOldForQuantile)
        return;
    const std::size_t bucket = slowBucket(comparison.oldTotal);
    const Proportion total{responsesAbove(comparison.oldTotal, bucket), responsesIn(comparison.oldTotal)};
    const Proportion round{responsesAbove(comparison.round.oldVersion, bucket),
                           responsesIn(comparison.round.oldVersion)};
    const OutcomeSummary &newOutcomes = comparison.round.newVersion;
    if (const std::optional<double> base = baseRate(total, round, minSlowBase))
        comparison.slownessTest.add(responsesAbove(newOutcomes, bucket), responsesIn(newOutcomes),
                                    matchedResponses(comparison.round), *base, detectableSlowExcess);
}

} // namespace dandeliondock
