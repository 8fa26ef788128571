#include <dandeliondock/quotas/quota_limiter.h>

#include <catch2/catch.hpp>

#include <cstddef>
#include <vector>

namespace dandeliondock {
namespace {

const AccountName account("mill");

std::vector<ClientAccount> accountsWith(double rate, double burst)
{
    ClientAccount item;
    item.name = account;
    item.quota = {RequestRate(rate), RequestAmount(burst)};
    return {item};
}

QuotaLimiter limiterWith(double rate, double burst)
{
    QuotaLimiter limiter(QuotaBounds{}, seededRandom(7));
    limiter.setQuotas(accountsWith(rate, burst));
    return limiter;
}

MonotonicTime at(std::int64_t milliseconds)
{
    return MonotonicTime(std::chrono::hours(1) + Milliseconds(milliseconds));
}

/// Offers requests at even distances and returns how many are admitted.
std::size_t offer(QuotaLimiter &limiter, std::int64_t from, std::int64_t to, std::int64_t distance)
{
    std::size_t admitted = 0;
    for (std::int64_t time = from; time < to; time += distance)
        admitted += limiter.admit(account, at(time)).isAdmitted ? 1 : 0;
    return admitted;
}

} // namespace

// Guards against limits for accounts that have none.
TEST_CASE("requests of accounts without a quota are admitted and not reported", "[quotas]")
{
    QuotaLimiter limiter = limiterWith(0, 0);
    CHECK(limiter.isEmpty());
    for (int request = 0; request < 1'000; ++request)
        REQUIRE(limiter.admit(account, at(0)).isAdmitted);
    CHECK_FALSE(limiter.report(at(1)));
}

// Guards against one proxy that exceeds the quota before the first grant arrives.
TEST_CASE("one proxy admits no more than the whole quota without grants", "[quotas]")
{
    QuotaLimiter limiter = limiterWith(10, 10);
    // (10 x 5 + 10) x 1.1 + 20 is the bound of a window.
    CHECK(offer(limiter, 0, 5'000, 10) <= 86);
    while (limiter.admit(account, at(5'000)).isAdmitted)
        continue;
    const QuotaDecision refused = limiter.admit(account, at(5'000));
    CHECK_FALSE(refused.isAdmitted);
    CHECK(refused.retryAfter >= Milliseconds(250));
}

// Guards against grants that are not followed, and against refusals in long rows.
TEST_CASE("the granted share of the requests is admitted evenly", "[quotas]")
{
    QuotaLimiter limiter = limiterWith(1'000, 1'000);
    limiter.apply({{{account, Share(2'500)}}, 80}, at(0));
    CHECK(offer(limiter, 0, 4'000, 10) == 100);
    CHECK(offer(limiter, 4'000, 4'040, 10) == 1);
    CHECK(limiter.reportInterval() == limitedQuotaReportInterval);
    limiter.apply({{}, 80}, at(4'040));
    CHECK(offer(limiter, 4'040, 5'040, 10) == 100);
    CHECK(limiter.reportInterval() == quotaReportInterval);
}

// Guards against a proxy without contact that uses the whole quota.
TEST_CASE("a proxy whose reports have no response keeps to its share of the quota", "[quotas]")
{
    QuotaLimiter limiter = limiterWith(80, 80);
    limiter.apply({{}, 80}, at(0));
    REQUIRE(limiter.admit(account, at(0)).isAdmitted);
    REQUIRE(limiter.report(at(1)));
    // An equal share is one request per second, with a burst of 3.5.
    CHECK(offer(limiter, 1'000, 11'000, 10) <= 14);
    limiter.apply({{}, 80}, at(11'000));
    // The whole rate of the quota again, from an empty bucket.
    CHECK(offer(limiter, 11'000, 12'000, 10) == 80);
}

// Guards against a proxy that is cut off while it serves more than an equal share, and then refuses its usual load.
TEST_CASE("a proxy whose reports have no response keeps its last share for a while", "[quotas]")
{
    QuotaLimiter limiter = limiterWith(80, 80);
    REQUIRE(offer(limiter, 0, 5'000, 100) == 50);
    limiter.apply({{}, 80}, at(5'000));
    REQUIRE(limiter.report(at(5'000)));
    CHECK(offer(limiter, 5'000, 14'900, 100) == 99);
    // Later the others use that share.
    CHECK(offer(limiter, 20'000, 30'000, 100) <= 14);
}

// Guards against reports that grow with accounts that are not in use.
TEST_CASE("a report has the usage of the last window", "[quotas]")
{
    QuotaLimiter limiter = limiterWith(100, 100);
    CHECK_FALSE(limiter.report(at(0)));
    REQUIRE(offer(limiter, 0, 2'000, 100) == 20);
    const auto usage = limiter.report(at(2'000));
    REQUIRE(usage);
    REQUIRE(usage->size() == 1);
    CHECK(usage->front().account == account);
    CHECK(usage->front().admittedInWindow == RequestAmount(20));
    CHECK(usage->front().offered.value() == Approx(10).margin(4));
    CHECK_FALSE(limiter.report(at(8'000)));
}

// Guards against refused requests that use up the quota.
TEST_CASE("a refund returns a request to the window and to the local bucket", "[quotas]")
{
    QuotaLimiter limiter = limiterWith(1, 1);
    const std::size_t admitted = offer(limiter, 0, 100, 1);
    CHECK(admitted < 20);
    for (std::size_t request = 0; request < admitted; ++request)
        limiter.refund(account, at(static_cast<std::int64_t>(request)), at(200));
    CHECK(limiter.report(at(200))->front().admittedInWindow == RequestAmount(0));
    CHECK(offer(limiter, 200, 300, 1) >= admitted);
    // A refund for an account that was removed changes nothing.
    limiter.setQuotas({});
    limiter.refund(account, at(0), at(300));
}

// Guards against counts that are lost, or limits that stay, when a configuration changes a quota.
TEST_CASE("a changed quota keeps the counts of the window", "[quotas]")
{
    QuotaLimiter limiter = limiterWith(100, 100);
    REQUIRE(offer(limiter, 0, 1'000, 100) == 10);
    limiter.setQuotas(accountsWith(1, 1));
    CHECK(limiter.report(at(1'000))->front().admittedInWindow == RequestAmount(10));
    CHECK(offer(limiter, 1'000, 2'000, 10) <= 13);
}

} // namespace dandeliondock
