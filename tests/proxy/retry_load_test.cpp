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
constexpr std::size_t attempts = 3;
constexpr std::uint64_t shedPart = 55;       ///< in 100, of what reaches a called target
constexpr std::uint64_t secondCallPart = 30; ///< in 100, of the page views: they make two calls instead of one
constexpr Milliseconds calm{10'000};
constexpr Milliseconds trouble{8'000};
constexpr Milliseconds pageTime{200};
constexpr double sharedBudget = 0.2;
constexpr double sharedSlack = 166;
constexpr Milliseconds window{10'000};

/// Page views that call a service whose targets shed part of what reaches them.
class PageLoad
{
public:
    PageLoad(ForwardOutcome failedCall, const RetryBudgetLimits &limits) : m_failedCall(failedCall)
    {
        for (std::size_t index = 0; index < proxies; ++index) {
            m_pages.push_back(std::make_unique<RetryBudget>(limits));
            m_calls.push_back(std::make_unique<RetryBudget>(limits));
        }
    }

    /// The most repeats that the called service gets in a window beyond what it bears; negative when it never does.
    double excess()
    {
        const Milliseconds end = calm + trouble;
        for (Milliseconds at{0}; at < end; ++at) {
            for (int page = 0; page < pagesPerMillisecond; ++page)
                view(at);
        }
        double most = -sharedSlack;
        for (Milliseconds from{0}; from + window <= end; from += Milliseconds(50)) {
            double requests = 0;
            double repeats = 0;
            for (const Arrival &arrival : m_arrivals) {
                if (arrival.at < from || arrival.at >= from + window)
                    continue;
                requests += arrival.isRequest ? 1 : 0;
                repeats += arrival.isRepeat ? 1 : 0;
            }
            most = std::max(most, repeats - sharedBudget * requests - sharedSlack);
        }
        return most;
    }

private:
    struct Arrival
    {
        Milliseconds at;
        bool isRequest;
        bool isRepeat;
    };

    static MonotonicTime timeOf(Milliseconds at) { return MonotonicTime(Seconds(1'000)) + at; }

    std::size_t anyProxy() { return uniformBelow(m_random, proxies); }

    void view(Milliseconds begin)
    {
        RetryBudget &budget = *m_pages[anyProxy()];
        budget.recordRequest(timeOf(begin));
        const std::uint64_t calls = uniformBelow(m_random, 100) < secondCallPart ? 2 : 1;
        ForwardPlan plan({true, attempts, timeOf(begin) + Seconds(3)}, budget);
        Milliseconds at = begin;
        bool isRepeat = false;
        ForwardStep step = ForwardStep::Send;
        while (step == ForwardStep::Send) {
            plan.begin();
            bool isServed = true;
            const std::size_t instance = anyProxy();
            for (std::uint64_t index = 0; index < calls && isServed; ++index)
                isServed = call(instance, at, isRepeat);
            at += pageTime;
            isRepeat = true;
            step = plan.conclude(isServed ? ForwardOutcome::Answered : m_failedCall, timeOf(at));
        }
    }

    bool call(std::size_t instance, Milliseconds at, bool isOfRepeat)
    {
        RetryBudget &budget = *m_calls[instance];
        budget.recordRequest(timeOf(at));
        ForwardPlan plan({true, attempts, timeOf(at) + Milliseconds(600)}, budget);
        bool isFirst = true;
        ForwardStep step = ForwardStep::Send;
        while (step == ForwardStep::Send) {
            plan.begin();
            m_arrivals.push_back({at, isFirst, isOfRepeat || !isFirst});
            isFirst = false;
            const bool isShed = at >= calm && uniformBelow(m_random, 100) < shedPart;
            step = plan.conclude(isShed ? ForwardOutcome::NotRun : ForwardOutcome::Answered, timeOf(at));
        }
        return step == ForwardStep::Respond;
    }

    const ForwardOutcome m_failedCall;
    RandomSource m_random = seededRandom(7);
    std::vector<std::unique_ptr<RetryBudget>> m_pages;
    std::vector<std::unique_ptr<RetryBudget>> m_calls;
    std::vector<Arrival> m_arrivals;
};

RetryBudgetLimits settledLimits()
{
    const auto settings = parseProxySettings(R"({"node":"n","region":"r","data_centre":"d","callers":"10.0.0.1:1",
        "door":"10.0.0.1:2","health":"10.0.0.1:3","announcements":"10.0.0.1:4","metrics":"10.0.0.1:5",
        "target":"10.0.0.1:6","service":"s","store":"10.0.0.9:1","retry_share":0.2})");
    REQUIRE(settings.ok());
    return settings->retries;
}

} // namespace

// Guards against repeats that add up over two services: on a grown deployment the targets of a called service got more
// than the share that all proxies may use together.
TEST_CASE("page views whose calls are shed do not overdraw the budget of the called service", "[proxy]")
{
    CHECK(PageLoad(ForwardOutcome::CallFailed, settledLimits()).excess() < 0);
    // The rule before: failed calls repeat the page view.
    CHECK(PageLoad(ForwardOutcome::Failed, {Share(1'000), 2}).excess() > 0);
}

} // namespace dandeliondock
