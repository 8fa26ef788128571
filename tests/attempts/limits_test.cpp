#include <dandeliondock/attempts/connection_reuse.h>
#include <dandeliondock/attempts/deadline.h>
#include <dandeliondock/attempts/hedge_delay_estimator.h>
#include <dandeliondock/attempts/retry_budget.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <atomic>
#include <thread>

namespace dandeliondock {
namespace {

constexpr MonotonicTime startTime{Seconds(1'000)};

} // namespace

// Guards against a budget that counts requests older than 10 s, or is never replenished.
TEST_CASE("the retry budget counts the last 10 s", "[attempts]")
{
    RetryBudget budget({Share(1'000), 1});
    for (int i = 0; i < 20; ++i)
        budget.recordRequest(startTime);
    CHECK(budget.tryAcquire(startTime + Seconds(9)));
    CHECK(budget.tryAcquire(startTime + Seconds(9)));
    CHECK(budget.tryAcquire(startTime + Seconds(9)));
    CHECK_FALSE(budget.tryAcquire(startTime + Seconds(9)));
    CHECK_FALSE(budget.tryAcquire(startTime + Seconds(18)));
    CHECK(budget.tryAcquire(startTime + Seconds(19)));
    CHECK_FALSE(budget.tryAcquire(startTime + Seconds(19)));
}

// Guards against retries that add up along a call chain: if upstream retries did not use up the budget of a service's
// direct callers, the service would receive them in addition to the full budget.
TEST_CASE("upstream retries reduce the extra attempts that are allowed", "[attempts]")
{
    RetryBudget budget({Share(1'000), 1});
    for (int i = 0; i < 20; ++i)
        budget.recordRequest(startTime);
    for (int i = 0; i < 4; ++i)
        budget.recordUpstreamRetry(startTime, Share(5'000));
    CHECK(budget.usage(startTime).upstreamRetries == 2);
    CHECK(budget.tryAcquire(startTime));
    CHECK_FALSE(budget.tryAcquire(startTime));
    CHECK(budget.usage(startTime).extraAttempts == 1);
}

// Guards against a race in which two threads spend the same extra attempt.
TEST_CASE("threads share one retry budget", "[attempts]")
{
    RetryBudget budget({Share(1'000), 10});
    std::atomic<int> taken{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < 250; ++n) {
                budget.recordRequest(startTime);
                taken += budget.tryAcquire(startTime) ? 1 : 0;
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(taken <= 110);
    CHECK(taken >= 10);
}

// Guards against work that continues after its caller has stopped waiting.
TEST_CASE("the deadline is the earlier of the caller's and the route's", "[attempts]")
{
    rc::prop("the forwarded value is the remaining time",
             [](std::uint32_t caller, std::uint16_t route, std::uint16_t spent) {
                 const Deadline deadline = Deadline::fromHeader(std::to_string(caller), Milliseconds(route), startTime);
                 const auto bound = std::min<std::int64_t>(caller, route);
                 const auto remaining = std::max<std::int64_t>(0, bound - spent);
                 RC_ASSERT(deadline.headerValue(startTime + Milliseconds(spent)).count() == remaining);
                 RC_ASSERT(deadline.hasPassed(startTime + Milliseconds(spent)) == (remaining == 0));
             });
    CHECK(Deadline::fromHeader("soon", Milliseconds(70), startTime).at() == startTime + Milliseconds(70));
    CHECK(Deadline::fromHeader("-5", Milliseconds(70), startTime).at() == startTime + Milliseconds(70));
    CHECK(Deadline::fromHeader(std::nullopt, Milliseconds(70), startTime).at() == startTime + Milliseconds(70));
}

// Guards against hedges that start too early and double the load, and against a delay from too few responses.
TEST_CASE("the hedge delay is the 95th percentile of the route's latency", "[attempts]")
{
    HedgeDelayEstimator estimator;
    const RouteName route("slots");
    for (int i = 0; i < 49; ++i)
        estimator.record(route, Microseconds(1'000));
    CHECK_FALSE(estimator.delay(route));
    for (int i = 0; i < 1'000; ++i)
        estimator.record(route, Microseconds(i % 100 < 90 ? 1'000 : 10'000));
    REQUIRE(estimator.delay(route));
    CHECK(*estimator.delay(route) >= Microseconds(10'000));
    CHECK(*estimator.delay(route) <= Microseconds(12'000));
    CHECK_FALSE(estimator.delay(RouteName("other")));
}

// Guards against a non-idempotent request on an idle connection that may be dead.
TEST_CASE("only non-idempotent requests limit the idle time of a reused connection", "[attempts]")
{
    CHECK(allowedConnectionIdle(false) == Milliseconds(1'000));
    CHECK_FALSE(allowedConnectionIdle(true));
}

} // namespace dandeliondock
