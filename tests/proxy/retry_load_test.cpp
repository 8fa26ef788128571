#include <dandeliondock/core/random_source.h>
#include <dandeliondock/proxy/forward_plan.h>
#include <dandeliondock/proxy/proxy_settings.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <vector>

namespace dandeliondock {
namespace {

constexpr std::size_t proxies = 64;
constexpr int pagesPerMillisecond = 1;
constexpr std::size_t attemptLimit = 3;
constexpr std::uint64_t shedPercent = 55;       ///< percentage of the attempts at the called service that are shed
constexpr std::uint64_t secondCallPercent = 30; ///< percentage of the page views that make two calls instead of one
constexpr Milliseconds calmDuration{10'000};
constexpr Milliseconds sheddingDuration{8'000};
constexpr Milliseconds pageDuration{200};
constexpr double sharedBudgetShare = 0.2; ///< repeats allowed in a window, as a fraction of its requests
constexpr double fixedAllowance = 166;    ///< repeats allowed in a window beyond that fraction
constexpr Milliseconds window{10'000};

/// Simulates page views that call a service whose targets shed part of the attempts.
class PageViewSimulation
{
public:
    PageViewSimulation(ForwardOutcome failedCallOutcome, const RetryBudgetLimits &limits)
        : m_failedCallOutcome(failedCallOutcome)
    {
        for (std::size_t index = 0; index < proxies; ++index) {
            m_pageBudgets.push_back(std::make_unique<RetryBudget>(limits));
            m_callBudgets.push_back(std::make_unique<RetryBudget>(limits));
        }
    }

    /// Returns by how many repeats the called service exceeds the shared budget in the worst window; negative if never.
    double worstExcess()
    {
        const Milliseconds end = calmDuration + sheddingDuration;
        for (Milliseconds at{0}; at < end; ++at) {
            for (int page = 0; page < pagesPerMillisecond; ++page)
                simulatePageView(at);
        }
        double worst = -fixedAllowance;
        for (Milliseconds from{0}; from + window <= end; from += Milliseconds(50)) {
            double requests = 0;
            double repeats = 0;
            for (const Arrival &arrival : m_arrivals) {
                if (arrival.at < from || arrival.at >= from + window)
                    continue;
                requests += arrival.isRequest ? 1 : 0;
                repeats += arrival.isRepeat ? 1 : 0;
            }
            worst = std::max(worst, repeats - sharedBudgetShare * requests - fixedAllowance);
        }
        return worst;
    }

private:
    struct Arrival
    {
        Milliseconds at;
        bool isRequest;
        bool isRepeat;
    };

    static MonotonicTime timeOf(Milliseconds at) { return MonotonicTime(Seconds(1'000)) + at; }

    std::size_t randomProxy() { return uniformBelow(m_random, proxies); }

    void simulatePageView(Milliseconds startedAt)
    {
        RetryBudget &budget = *m_pageBudgets[randomProxy()];
        budget.recordRequest(timeOf(startedAt));
        const std::uint64_t calls = uniformBelow(m_random, 100) < secondCallPercent ? 2 : 1;
        ForwardPlan plan({true, attemptLimit, timeOf(startedAt) + Seconds(3)}, budget);
        Milliseconds at = startedAt;
        bool isRepeat = false;
        ForwardStep step = ForwardStep::Send;
        while (step == ForwardStep::Send) {
            plan.startAttempt();
            bool isServed = true;
            const std::size_t callingProxy = randomProxy();
            for (std::uint64_t index = 0; index < calls && isServed; ++index)
                isServed = simulateCall(callingProxy, at, isRepeat);
            at += pageDuration;
            isRepeat = true;
            step = plan.conclude(isServed ? ForwardOutcome::Responded : m_failedCallOutcome, timeOf(at));
        }
    }

    bool simulateCall(std::size_t callingProxy, Milliseconds at, bool isCallerRepeat)
    {
        RetryBudget &budget = *m_callBudgets[callingProxy];
        budget.recordRequest(timeOf(at));
        ForwardPlan plan({true, attemptLimit, timeOf(at) + Milliseconds(600)}, budget);
        bool isFirst = true;
        ForwardStep step = ForwardStep::Send;
        while (step == ForwardStep::Send) {
            plan.startAttempt();
            m_arrivals.push_back({at, isFirst, isCallerRepeat || !isFirst});
            isFirst = false;
            const bool isShed = at >= calmDuration && uniformBelow(m_random, 100) < shedPercent;
            step = plan.conclude(isShed ? ForwardOutcome::NotRun : ForwardOutcome::Responded, timeOf(at));
        }
        return step == ForwardStep::Respond;
    }

    const ForwardOutcome m_failedCallOutcome;
    RandomSource m_random = seededRandom(7);
    std::vector<std::unique_ptr<RetryBudget>> m_pageBudgets;
    std::vector<std::unique_ptr<RetryBudget>> m_callBudgets;
    std::vector<Arrival> m_arrivals;
};

RetryBudgetLimits limitsFromSettings()
{
    const auto settings = parseProxySettings(R"({"node":"n","region":"r","data_centre":"d","callers":"10.0.0.1:1",
        "door":"10.0.0.1:2","health":"10.0.0.1:3","announcements":"10.0.0.1:4","metrics":"10.0.0.1:5",
        "target":"10.0.0.1:6","service":"s","store":"10.0.0.9:1","retry_share":0.2})");
    REQUIRE(settings.ok());
    return settings->retries;
}

} // namespace

// Guards against retries that multiply over two services: in a larger deployment the targets of a called service got
// more repeats than the share that all proxies together may use.
TEST_CASE("page views whose calls are shed keep the repeats at the called service within the shared budget", "[proxy]")
{
    CHECK(PageViewSimulation(ForwardOutcome::CallFailed, limitsFromSettings()).worstExcess() < 0);
    // Without the CallFailed outcome, a failed call makes the proxy retry the page view, and the budget is exceeded.
    CHECK(PageViewSimulation(ForwardOutcome::Failed, {Share(1'000), 2}).worstExcess() > 0);
}

} // namespace dandeliondock
