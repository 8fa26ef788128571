#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/rollout/outcomes.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace dandeliondock {

/// \brief Bound on the probability that one run of the test blames a version that behaves as the old one.
inline constexpr double falseRejectBound = 1e-4;
/// \brief Bound on the probability that one run accepts a version that is worse by the detectable difference.
inline constexpr double falseAcceptBound = 1e-2;
/// \brief Smallest excess in the part of failures that the bounds hold for.
inline constexpr double detectableFailureExcess = 0.05;
/// \brief Smallest excess in the part of answers slower than the old version's 95th percentile.
inline constexpr double detectableSlowExcess = 0.20;
/// \brief Answers up to this bucket, which ends at 4 ms, are never slow. The new version is called over fresh
/// connections more often while its share is small, and opening one takes about 1 ms.
inline constexpr std::size_t harmlessBucket = 4;
/// \brief Answers of the old version that a round needs beside the new version's.
inline constexpr std::uint64_t minOldPerRound = 5;
/// \brief New answers after which a round is judged although the old version has none beside them.
inline constexpr std::uint64_t unpairedRoundResponses = 50;
/// \brief Part of failures of the old version above which a round blames nobody.
inline constexpr double sharedFaultLimit = 0.30;

enum class Verdict { Undecided, Good, Bad };

/// \brief Wald's sequential probability ratio test for the excess of one proportion over another.
///
/// \remark The sum is limited below, so evidence of a fault that begins later is not offset by earlier good answers.
/// Belongs to one thread.
class SequentialRatioTest
{
public:
    /// \brief Adds \c hits of \c trials against \c base, judged for an excess of \c excess.
    ///
    /// \remark Evidence against the version counts only as far as \c matched answers of the old one stand beside it,
    /// and one round adds at most half of what a rejection needs: the start of a shared fault may fall between the few
    /// answers of the old version.
    /// \pre 0 < \c base < 1 and \c hits <= \c trials.
    void add(std::uint64_t hits, std::uint64_t trials, std::uint64_t matched, double base, double excess);

    /// \brief Keeps the evidence against the version and asks for new evidence for it.
    void restart();

    [[nodiscard]] Verdict verdict() const noexcept;

    [[nodiscard]] double logRatio() const noexcept { return m_logRatio; }

private:
    double m_logRatio = 0;
    bool m_accepted = false;
};

/// \brief Compares the versions of one rollout by route, on failures and on slow answers.
///
/// \remark Evidence is taken in rounds in which both versions answered. Belongs to one thread.
class VersionComparison
{
public:
    /// \brief Takes outcomes of both versions from the same windows.
    void add(const RouteOutcomes &outcomes);

    /// \brief Asks for new evidence in favour of the version; evidence against it stays.
    void startStage();

    /// \brief Bad when any route is bad, Good when every route with new answers is good, otherwise Undecided.
    [[nodiscard]] Verdict verdict() const;

    /// \brief Which route showed what; empty unless the verdict is Bad.
    [[nodiscard]] std::string reason() const;

    /// \brief Which way the failures of a route point, short of a verdict.
    [[nodiscard]] Verdict failureTrend(const RouteName &route) const;

    /// \brief Answers of the new version taken so far.
    [[nodiscard]] std::uint64_t newResponses() const noexcept { return m_newAnswers; }

private:
    struct RouteTest
    {
        SequentialRatioTest failures;
        SequentialRatioTest slowness;
        OutcomeSummary oldTotal;
        OutcomeSummary newTotal;
        RouteOutcomes round;
    };

    static void closeRound(RouteTest &test);
    static void judgeFailures(RouteTest &test);
    static void judgeSlowness(RouteTest &test);

    std::map<RouteName, RouteTest> m_routes;
    std::uint64_t m_newAnswers = 0;
};

} // namespace dandeliondock
