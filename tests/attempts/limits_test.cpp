#include <dandeliondock/attempts/connection_reuse.h>
#include <dandeliondock/attempts/deadline.h>
#include <dandeliondock/attempts/hedging.h>
#include <dandeliondock/attempts/retry_budget.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <atomic>
#include <thread>

namespace dandeliondock {
namespace {

constexpr MonotonicTime begin{Seconds(1'000)};

} // namespace

// Guards against a budget that is refilled by requests of long ago, or never refilled.
TEST_CASE("the retry budget counts the last 10 s", "[attempts]")
{
    RetryBudget budget({Share(1'000), 1});
    for (int i = 0; i < 20; ++i)
        budget.recordRequest(begin);
    CHECK(budget.tryAcquire(begin + Seconds(9)));
    CHECK(budget.tryAcquire(begin + Seconds(9)));
    CHECK(budget.tryAcquire(begin + Seconds(9)));
    CHECK_FALSE(budget.tryAcquire(begin + Seconds(9)));
    CHECK_FALSE(budget.tryAcquire(begin + Seconds(18)));
    CHECK(budget.tryAcquire(begin + Seconds(19)));
    CHECK_FALSE(budget.tryAcquire(begin + Seconds(19)));
}

// Guards against a service that gets the repeats of its callers on top of a whole budget of its own ones.
TEST_CASE("calls of repeated runs leave fewer extra attempts", "[attempts]")
{
    RetryBudget budget({Share(1'000), 1});
    for (int i = 0; i < 20; ++i)
        budget.recordRequest(begin);
    for (int i = 0; i < 4; ++i)
        budget.recordUpstreamRetry(begin, Share(5'000));
    CHECK(budget.usage(begin).upstreamRetries == 2);
    CHECK(budget.tryAcquire(begin));
    CHECK_FALSE(budget.tryAcquire(begin));
    CHECK(budget.usage(begin).taken == 1);
}

// Guards against threads that spend the same part of the budget twice.
TEST_CASE("threads share one retry budget", "[attempts]")
{
    RetryBudget budget({Share(1'000), 10});
    std::atomic<int> taken{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < 250; ++n) {
                budget.recordRequest(begin);
                taken += budget.tryAcquire(begin) ? 1 : 0;
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(taken <= 110);
    CHECK(taken >= 10);
}

// Guards against work that continues past the time its caller waits.
TEST_CASE("the deadline is the lesser of the caller's and the route's, less the time spent", "[attempts]")
{
    rc::prop("the value passed on never exceeds what is left",
             [](std::uint32_t caller, std::uint16_t route, std::uint16_t spent) {
                 const Deadline deadline = Deadline::fromHeader(std::to_string(caller), Milliseconds(route), begin);
                 const auto bound = std::min<std::int64_t>(caller, route);
                 const auto left = std::max<std::int64_t>(0, bound - spent);
                 RC_ASSERT(deadline.headerValue(begin + Milliseconds(spent)).count() == left);
                 RC_ASSERT(deadline.hasPassed(begin + Milliseconds(spent)) == (left == 0));
             });
    CHECK(Deadline::fromHeader("soon", Milliseconds(70), begin).at() == begin + Milliseconds(70));
    CHECK(Deadline::fromHeader("-5", Milliseconds(70), begin).at() == begin + Milliseconds(70));
    CHECK(Deadline::fromHeader(std::nullopt, Milliseconds(70), begin).at() == begin + Milliseconds(70));
}

// Guards against hedges that start too early, and so double the load, or from too few observations.
TEST_CASE("a hedge waits for the 95th percentile of the route", "[attempts]")
{
    HedgeDelayEstimator hedging;
    const RouteName route("slots");
    for (int i = 0; i < 49; ++i)
        hedging.record(route, Microseconds(1'000));
    CHECK_FALSE(hedging.delay(route));
    for (int i = 0; i < 1'000; ++i)
        hedging.record(route, Microseconds(i % 100 < 90 ? 1'000 : 10'000));
    REQUIRE(hedging.delay(route));
    CHECK(*hedging.delay(route) >= Microseconds(10'000));
    CHECK(*hedging.delay(route) <= Microseconds(12'000));
    CHECK_FALSE(hedging.delay(RouteName("other")));
}

// Guards against a non-idempotent request on a connection of unknown state.
TEST_CASE("only non-idempotent requests need a proven connection", "[attempts]")
{
    CHECK(allowedConnectionIdle(false) == Milliseconds(1'000));
    CHECK_FALSE(allowedConnectionIdle(true));
}

} // namespace dandeliondock
