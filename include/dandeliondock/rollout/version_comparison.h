#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/rollout/outcomes.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace dandeliondock {

/// \brief Bound on the probability that one run of the test rejects a version that behaves like the old one.
inline constexpr double falseRejectBound = 1e-4;
/// \brief Bound on the probability that one run accepts a version that is worse by the detectable excess.
inline constexpr double falseAcceptBound = 1e-2;
/// \brief Smallest excess of the failure rate for which the bounds hold.
inline constexpr double detectableFailureExcess = 0.05;
/// \brief Smallest excess of the share of responses slower than the old version's 95th percentile for which the bounds
/// hold.
inline constexpr double detectableSlowExcess = 0.20;
/// \brief Responses up to this latency bucket, which ends at 4 ms, never count as slow. While the new version's share
/// is small, more of its requests need a new connection, and opening one takes about 1 ms.
inline constexpr std::size_t maxFastBucket = 4;
/// \brief Minimum number of responses of the old version in a round that also has responses of the new one.
inline constexpr std::uint64_t minOldPerRound = 5;
/// \brief Number of responses of the new version that close a round without responses of the old one.
inline constexpr std::uint64_t unpairedRoundResponses = 50;
/// \brief Failure rate of the old version, or its share of slow responses, from which the fault counts as shared and a
/// round is not evaluated.
inline constexpr double sharedFaultLimit = 0.30;

/// \brief Verdict on the new version.
enum class Verdict { Undecided, Good, Bad };

/// \brief Wald's sequential probability ratio test for the excess of one proportion over another.
///
/// \remark The log likelihood ratio has a lower limit, so that evidence of a fault that begins later is not offset by
/// earlier good responses. Used by one thread only.
class SequentialRatioTest
{
public:
    /// \brief Adds \c hits of \c trials and tests whether their rate exceeds \c base by \c excess.
    ///
    /// \remark If \c matched, the number of responses of the old version, is lower than \c trials, evidence against the
    /// new version is scaled by their ratio. A round adds at most half of the evidence that a rejection needs, because
    /// the start of a shared fault may fall between the few responses of the old version.
    /// \pre 0 < \c base < 1 and \c hits <= \c trials.
    void add(std::uint64_t hits, std::uint64_t trials, std::uint64_t matched, double base, double excess);

    /// \brief Discards the evidence for the version and keeps the evidence against it.
    void discardAcceptance();

    [[nodiscard]] Verdict verdict() const noexcept;

    [[nodiscard]] double logRatio() const noexcept { return m_logRatio; }

private:
    double m_logRatio = 0;
    bool m_accepted = false;
};

/// \brief Compares the failures and slow responses of the two versions of a rollout, separately for each route.
///
/// \remark Outcomes are evaluated in rounds in which both versions responded; for the exception see
/// unpairedRoundResponses. Used by one thread only.
class VersionComparison
{
public:
    /// \brief Adds outcomes of both versions from the same period.
    void add(const RouteOutcomes &outcomes);

    /// \brief Discards the evidence for the new version, so that a stage needs its own; keeps the evidence against it.
    void startStage();

    /// \brief Bad when any route is bad, Good when every route with responses of the new version is good, otherwise
    /// Undecided.
    [[nodiscard]] Verdict verdict() const;

    /// \brief Describes the route that led to the verdict Bad and its evidence; empty for another verdict.
    [[nodiscard]] std::string reason() const;

    /// \brief Direction of the failure evidence of a route, before a verdict is reached.
    [[nodiscard]] Verdict failureTrend(const RouteName &route) const;

    /// \brief Number of responses of the new version added so far.
    [[nodiscard]] std::uint64_t newResponses() const noexcept { return m_newResponses; }

private:
    struct RouteComparison
    {
        SequentialRatioTest failureTest;
        SequentialRatioTest slownessTest;
        OutcomeSummary oldTotal;
        OutcomeSummary newTotal;
        RouteOutcomes round;
    };

    static void closeRound(RouteComparison &comparison);
    static void evaluateFailures(RouteComparison &comparison);
    static void evaluateSlowness(RouteComparison &comparison);

    std::map<RouteName, RouteComparison> m_routes;
    std::uint64_t m_newResponses = 0;
};

} // namespace dandeliondock
