#include "quotas/quota_replay.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <vector>

// Replays of the traffic of 82 accounts at 80 proxies. The bound of a window of 5 s is (rate x 5 s + burst) x 1.1 + 20.

namespace dandeliondock::testing {
namespace {

constexpr ReplaySeconds hotFrom = 10;
constexpr ReplaySeconds hotUntil = 16.5;
constexpr double hotDemand = 7.5;

/// An account that sends 7.5 times its usual rate for 6.5 s; the others keep their usual rates.
ReplayConditions hotAccount(std::size_t hot)
{
    ReplayConditions conditions;
    conditions.duration = 25;
    conditions.demand = [hot](std::size_t account, ReplaySeconds at) {
        return account == hot && at >= hotFrom && at < hotUntil ? hotDemand : 1.0;
    };
    return conditions;
}

/// The ranks of the accounts that become hot, from 0.
std::size_t hotRank()
{
    return GENERATE(std::size_t{0}, std::size_t{4}, std::size_t{19}, std::size_t{59});
}

double refusedOfOthers(const std::vector<ReplayRequest> &requests, std::size_t hot)
{
    return refusedPart(requests, [hot](const ReplayRequest &request) { return request.account != hot; });
}

} // namespace

// Guards against limits that refuse the random arrivals of accounts below their quota.
TEST_CASE("normal load is refused nearly nothing", "[quotas][load]")
{
    ReplayConditions conditions;
    conditions.seed = GENERATE(1U, 2U, 3U);
    QuotaReplay replay(conditions);
    const auto &requests = replay.run();
    REQUIRE(requests.size() > 30'000);
    CHECK(refusedPart(requests, [](const ReplayRequest &) { return true; }) <= 0.001);
    CHECK(refusedBelow(requests, 0.5) == 0);
}

// Guards against a limit that is found too late, or that stops the account instead of limiting it.
TEST_CASE("a hot account at all proxies stays below the bound of its window and near its quota", "[quotas][load]")
{
    const std::size_t hot = hotRank();
    ReplayConditions conditions = hotAccount(hot);
    conditions.seed = GENERATE(1U, 2U, 3U);
    QuotaReplay replay(conditions);
    const auto &requests = replay.run();
    CAPTURE(hot, conditions.seed);
    CHECK(largestWindow(requests, hot) <= 1);
    CHECK(servedRate(requests, hot, hotFrom, hotUntil) >= 1);
    CHECK(servedRate(requests, hot, hotFrom + 2, hotUntil) >= 0.65);
    CHECK(refusedOfOthers(requests, hot) <= 0.001);
    CHECK(refusedPart(requests,
                      [&](const ReplayRequest &request) { return request.account == hot && request.at > hotUntil + 2; })
          <= 0.03);
}

// Shows that the replay can fail: the local buckets alone let the account far over its bound.
TEST_CASE("without reports a hot account exceeds the bound of its window", "[quotas][load]")
{
    const std::size_t hot = hotRank();
    ReplayConditions conditions = hotAccount(hot);
    conditions.hasReports = false;
    QuotaReplay replay(conditions);
    CHECK(largestWindow(replay.run(), hot) > 2);
}

// Guards against equal shares, which would leave the quota of the other proxies unused.
TEST_CASE("a burst at one proxy gets the quota that the other proxies do not use", "[quotas][load]")
{
    const std::size_t hot = hotRank();
    ReplayConditions conditions = hotAccount(hot);
    conditions.place = [hot](std::size_t account, ReplaySeconds at) {
        return account == hot && at >= hotFrom && at < hotUntil ? 33 : -1;
    };
    QuotaReplay replay(conditions);
    const auto &requests = replay.run();
    CAPTURE(hot);
    CHECK(largestWindow(requests, hot) <= 1);
    CHECK(servedRate(requests, hot, hotFrom, hotUntil) >= 1);
    CHECK(servedRate(requests, hot, hotFrom + 2, hotUntil) >= 0.9);
}

// Guards against an allowance that is lost with its proxies, and against counts that are lost with them.
TEST_CASE("the quota of lost proxies returns to the others", "[quotas][load]")
{
    const std::size_t hot = hotRank();
    ReplayConditions conditions = hotAccount(hot);
    conditions.isRunning = [](std::size_t proxy, ReplaySeconds at) { return at < 8 || proxy % 2 == 1; };
    QuotaReplay replay(conditions);
    const auto &requests = replay.run();
    CAPTURE(hot);
    CHECK(largestWindow(requests, hot) <= 1);
    CHECK(servedRate(requests, hot, hotFrom, hotUntil) >= 1);
    CHECK(servedRate(requests, hot, hotFrom + 2, hotUntil) >= 0.65);
    CHECK(refusedOfOthers(requests, hot) <= 0.001);
}

// Guards against a collector whose successor starts without the counts of the window.
TEST_CASE("a hot account stays below its bound when a collector is lost", "[quotas][load]")
{
    const std::size_t hot = hotRank();
    ReplayConditions conditions = hotAccount(hot);
    const ReplaySeconds lostAt = GENERATE(9.8, 10.0, 10.3, 12.0);
    conditions.isRunning = [lostAt](std::size_t proxy, ReplaySeconds at) { return at < lostAt || proxy != 20; };
    QuotaReplay replay(conditions);
    const auto &requests = replay.run();
    CAPTURE(hot, lostAt);
    CHECK(largestWindow(requests, hot) <= 1);
    CHECK(servedRate(requests, hot, hotFrom, hotUntil) >= 1);
    CHECK(refusedOfOthers(requests, hot) <= 0.001);
}

// Guards against a proxy without contact that admits what it likes, and against one that refuses normal load.
TEST_CASE("a proxy that is cut off for 4 s keeps to its share", "[quotas][load]")
{
    const std::size_t hot = hotRank();
    ReplayConditions conditions = hotAccount(hot);
    const ReplaySeconds cutAt = GENERATE(9.0, 10.2, 12.0);
    conditions.isConnected = [cutAt](std::size_t from, std::size_t to, ReplaySeconds at) {
        return at < cutAt || at >= cutAt + 4 || (from != 33 && to != 33);
    };
    QuotaReplay replay(conditions);
    const auto &requests = replay.run();
    CAPTURE(hot, cutAt);
    CHECK(largestWindow(requests, hot) <= 1);
    CHECK(refusedPart(requests,
                      [&](const ReplayRequest &request) { return request.account != hot && request.proxy == 33; })
          <= 0.01);
    CHECK(refusedOfOthers(requests, hot) <= 0.001);
}

// Guards against a data centre whose collector grants the whole quota a second time while it is cut off.
TEST_CASE("a data centre that is cut off for 4 s keeps to its part of the quota", "[quotas][load]")
{
    const std::size_t hot = hotRank();
    ReplayConditions conditions = hotAccount(hot);
    const ReplaySeconds cutAt = GENERATE(9.0, 10.2, 12.0);
    conditions.isConnected = [cutAt](std::size_t from, std::size_t to, ReplaySeconds at) {
        const bool isWithinOneSide = (QuotaReplay::dataCentreOf(from) == 2) == (QuotaReplay::dataCentreOf(to) == 2);
        return at < cutAt || at >= cutAt + 4 || isWithinOneSide;
    };
    QuotaReplay replay(conditions);
    const auto &requests = replay.run();
    CAPTURE(hot, cutAt);
    CHECK(largestWindow(requests, hot) <= 1);
    CHECK(servedRate(requests, hot, hotFrom, hotUntil) >= 1);
    CHECK(refusedOfOthers(requests, hot) <= 0.0015);
}

// Guards against a lowered limit that stays without effect, or that stops the account.
TEST_CASE("a limit lowered to a third under load binds within one window after 3 s", "[quotas][load]")
{
    const std::size_t account = hotRank();
    constexpr ReplaySeconds loweredAt = 10;
    ReplayConditions conditions;
    conditions.quota = [account](std::size_t changed, std::size_t proxy, ReplaySeconds at) {
        const ReplaySeconds knownAt = loweredAt + 2.9 * static_cast<double>(proxy) / QuotaReplay::proxyCount;
        return changed == account && at > knownAt ? 1.0 / 3 : 1.0;
    };
    QuotaReplay replay(conditions);
    const auto &requests = replay.run();
    CAPTURE(account);
    CHECK(largestWindow(requests, account, 1.0 / 3, loweredAt + 3) <= 1);
    CHECK(servedRate(requests, account, loweredAt + 3, 30) >= 0.8 / 3);
    CHECK(refusedOfOthers(requests, account) <= 0.001);
}

// Guards against requests that were refused later and still use up the quota.
TEST_CASE("requests that no target has run return their quota", "[quotas][load]")
{
    const std::size_t account = hotRank();
    ReplayConditions conditions;
    conditions.demand = [account](std::size_t changed, ReplaySeconds at) {
        return changed == account && at >= hotFrom ? 3.2 : 1.0;
    };
    std::size_t count = 0;
    conditions.isNotRun = [&count, account](std::size_t changed, ReplaySeconds) {
        return changed == account && ++count % 2 == 0;
    };
    QuotaReplay replay(conditions);
    const auto &requests = replay.run();
    CAPTURE(account);
    // Demand of 2 x the rate, of which every second admitted request is not run: without refunds half the rate is left.
    CHECK(servedRate(requests, account, hotFrom + 5, 30) >= 0.7);
    CHECK(largestWindow(requests, account) <= 1);
}

} // namespace dandeliondock::testing
