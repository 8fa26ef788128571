#include <dandeliondock/quotas/quota_collector.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <cstdint>
#include <vector>

namespace dandeliondock {
namespace {

const AccountName account("mill");
const QuotaPeer self{DataCentreName("a"), Address("10.0.0.1:80")};
constexpr double rate = 100;

MonotonicTime at(std::int64_t milliseconds)
{
    return MonotonicTime(std::chrono::hours(1) + Milliseconds(milliseconds));
}

AccountUsage usageOf(double offered, double admitted, double inWindow)
{
    return {account, RequestRate(offered), RequestRate(admitted), RequestAmount(inWindow)};
}

QuotaReport report(int sender, std::uint64_t sequence, const AccountUsage &usage)
{
    return {Address(absl::StrCat("10.0.0.", sender, ":80")), {Incarnation(1), SequenceNumber(sequence)}, {usage}};
}

QuotaSums sumsOf(const char *dataCentre, std::uint64_t sequence, const AccountUsage &usage)
{
    return {Address(absl::StrCat("10.1.", dataCentre, ":80")),
            {Incarnation(1), SequenceNumber(sequence)},
            DataCentreName(dataCentre),
            {usage}};
}

/// A collector of data centre a, which has as many proxies as b and c each.
QuotaCollector collectorOfThree()
{
    QuotaCollector collector(QuotaBounds{}, self);
    ClientAccount limited;
    limited.name = account;
    limited.quota = {RequestRate(rate), RequestAmount(rate)};
    collector.setQuotas({limited});
    QuotaPeers peers;
    for (const char *dataCentre : {"a", "b", "c"}) {
        for (int proxy = 1; proxy <= 10; ++proxy)
            peers.push_back({DataCentreName(dataCentre), Address(absl::StrCat(dataCentre, proxy))});
    }
    collector.setPeers(peers);
    return collector;
}

/// Share of the only account that has a grant; the full share without one.
Share granted(QuotaCollector &collector, MonotonicTime now)
{
    const QuotaGrants &grants = collector.grants(now);
    return grants.accounts.empty() ? fullShare : grants.accounts.front().admitted;
}

} // namespace

// Guards against a hot account that no single data centre sees as hot.
TEST_CASE("an account is limited by the usage of all data centres together", "[quotas]")
{
    QuotaCollector collector = collectorOfThree();
    collector.addReport(report(1, 1, usageOf(120, 120, 250)), at(0));
    collector.addSums(sumsOf("b", 1, usageOf(20, 20, 50)), at(0));
    collector.addSums(sumsOf("c", 1, usageOf(20, 20, 50)), at(0));
    CHECK(granted(collector, at(0)) == fullShare);
    collector.addSums(sumsOf("b", 2, usageOf(200, 200, 250)), at(200));
    CHECK(granted(collector, at(200)) < Share(6'000));
    CHECK(collector.grants(at(200)).proxies == 30);
    REQUIRE(collector.sums(at(200)).size() == 1);
    CHECK(collector.sums(at(200)).front().offered == RequestRate(120));
}

// Guards against reports that are counted twice or replaced by older ones that arrive late.
TEST_CASE("a report replaces earlier ones of the same proxy and later ones only", "[quotas]")
{
    QuotaCollector collector = collectorOfThree();
    collector.addReport(report(1, 2, usageOf(10, 10, 40)), at(0));
    collector.addReport(report(1, 1, usageOf(10, 10, 20)), at(0));
    collector.addReport(report(2, 1, usageOf(10, 10, 30)), at(0));
    REQUIRE(collector.hasReports(at(0)));
    CHECK(collector.sums(at(0)).front().admittedInWindow == RequestAmount(70));
}

// Guards against the usage of a lost proxy that is kept, and against one that is forgotten within the window.
TEST_CASE("the usage of a proxy that reports no longer leaves the window", "[quotas]")
{
    QuotaCollector collector = collectorOfThree();
    collector.addReport(report(1, 1, usageOf(10, 10, 50)), at(0));
    const AccountUsages later = collector.sums(at(2'500));
    REQUIRE(later.size() == 1);
    CHECK(later.front().offered == RequestRate(0));
    CHECK(later.front().admittedInWindow.value() == Approx(33).margin(1));
    CHECK_FALSE(collector.hasReports(at(2'500)));
    CHECK(collector.sums(at(5'100)).empty());
}

// Guards against two sides of an interrupted link that grant the whole quota each.
TEST_CASE("a data centre without contact grants its part of the quota", "[quotas]")
{
    QuotaCollector collector = collectorOfThree();
    collector.addReport(report(1, 1, usageOf(200, 0, 0)), at(0));
    collector.addSums(sumsOf("b", 1, usageOf(0, 0, 0)), at(0));
    collector.addSums(sumsOf("c", 1, usageOf(0, 0, 0)), at(0));
    CHECK(granted(collector, at(0)) == fullShare);
    collector.addReport(report(1, 2, usageOf(200, 0, 0)), at(2'000));
    // A third of (100 x 5 s + 0.7 x 100) and a part of the slack, handed out over 3 s, besides 33 per second.
    const double allowed = granted(collector, at(2'000)).value() / 10'000.0 * 200;
    CHECK(allowed == Approx(100).margin(6));
}

// Guards against quota that stays with data centres that are gone.
TEST_CASE("the part of a data centre that is silent for long returns to the majority", "[quotas]")
{
    QuotaCollector collector = collectorOfThree();
    for (std::uint64_t tick = 1; tick <= 60; ++tick) {
        const MonotonicTime now = at(static_cast<std::int64_t>(tick) * 300);
        collector.addReport(report(1, tick, usageOf(200, 100, 500)), now);
        collector.addSums(sumsOf("b", tick, usageOf(0, 0, 0)), now);
        const double allowed = granted(collector, now).value() / 10'000.0 * 200;
        if (tick == 10)
            CHECK(allowed < 75);
        if (tick == 60)
            CHECK(allowed > 100);
    }
}

// Guards against a minority that takes the whole quota because it cannot see the others.
TEST_CASE("a minority keeps to its part however long the others are silent", "[quotas]")
{
    QuotaCollector collector = collectorOfThree();
    for (std::uint64_t tick = 1; tick <= 60; ++tick) {
        const MonotonicTime now = at(static_cast<std::int64_t>(tick) * 300);
        collector.addReport(report(1, tick, usageOf(200, 33, 165)), now);
        CHECK(granted(collector, now).value() / 10'000.0 * 200 < 50);
    }
}

// Guards against messages about accounts that this configuration does not know.
TEST_CASE("usage of accounts without a quota is not granted", "[quotas]")
{
    QuotaCollector collector = collectorOfThree();
    AccountUsage unknown = usageOf(10'000, 10'000, 50'000);
    unknown.account = AccountName("other");
    collector.addReport(report(1, 1, unknown), at(0));
    CHECK(collector.grants(at(0)).accounts.empty());
}

} // namespace dandeliondock
