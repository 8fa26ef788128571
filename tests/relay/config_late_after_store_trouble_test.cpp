#include "support/relay_replay.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace dandeliondock::testing {
namespace {

// The bounds that the users state for the deployments of 65 and 80 proxies.
constexpr Milliseconds configApplyTime{3'000};
constexpr Milliseconds contactTime{4'000}; ///< without trouble, after which the bounds hold again

struct ReplayCase
{
    std::string name;
    ReplayEvents events;
};

std::vector<Milliseconds> series(Milliseconds from, Milliseconds interval, int count)
{
    std::vector<Milliseconds> times(static_cast<std::size_t>(count));
    std::generate(times.begin(), times.end(),
                  [next = from, interval]() mutable { return std::exchange(next, next + interval); });
    return times;
}

ReplayEvents events(std::vector<Milliseconds> writes, std::vector<ReplaySpan> platformAway)
{
    ReplayEvents events;
    events.writes = std::move(writes);
    events.platformAway = std::move(platformAway);
    return events;
}

ReplayEvents withRestarts(ReplayEvents events, double share, ReplaySpan away)
{
    events.restartedShare = share;
    events.proxiesAway = {away};
    return events;
}

std::vector<ReplayCase> replayCases()
{
    const std::vector<ReplaySpan> once{{Milliseconds(3'000), Milliseconds(7'000)}};
    const std::vector<ReplaySpan> thrice{{Milliseconds(3'000), Milliseconds(4'500)},
                                         {Milliseconds(5'000), Milliseconds(6'500)},
                                         {Milliseconds(7'000), Milliseconds(8'500)}};
    const ReplaySpan restart{Milliseconds(3'500), Milliseconds(5'500)};
    return {
            {"no trouble", events({Milliseconds(2'000), Milliseconds(6'000)}, {})},
            {"the store is away for 4 s, then a change", events({Milliseconds(2'000), Milliseconds(9'000)}, once)},
            {"a change just before the store is away", events({Milliseconds(2'900), Milliseconds(9'000)}, once)},
            {"the store is away three times", events({Milliseconds(2'000), Milliseconds(9'000)}, thrice)},
            {"changes while the store is away three times",
             events(series(Milliseconds(2'800), Milliseconds(700), 9), thrice)},
            {"a series of changes, all proxies restarted",
             withRestarts(events(series(Milliseconds(3'000), Milliseconds(200), 25), {}), 1, restart)},
            {"a series of changes, nine tenths restarted",
             withRestarts(events(series(Milliseconds(3'000), Milliseconds(200), 25), {}), 0.9, restart)},
            {"all proxies restarted while the store is away",
             withRestarts(events({Milliseconds(2'000), Milliseconds(9'000)}, once), 1, restart)},
            {"a series of changes while the store is away",
             events(series(Milliseconds(3'000), Milliseconds(200), 25), {{Milliseconds(4'000), Milliseconds(8'000)}})},
    };
}

/// Returns the time of the latest write or end of a trouble from which on the bounds hold.
Milliseconds lastTrouble(const ReplayEvents &events)
{
    Milliseconds last{0};
    for (const auto *spans : {&events.platformAway, &events.proxiesAway}) {
        for (const ReplaySpan &span : *spans)
            last = std::max(last, span.until);
    }
    return last;
}

} // namespace

// Guards against a region that loses its copies while the store is away and then crowds the link to the store with
// reads, so that no change reaches it although the trouble has ended.
TEST_CASE("a change reaches all proxies in time after a trouble of the store", "[relay]")
{
    const auto replayCase = GENERATE(from_range(replayCases()));
    const std::uint64_t seed = GENERATE(1, 2, 3, 27);
    INFO(replayCase.name << ", seed " << seed);
    const ReplayEvents &events = replayCase.events;
    const ReplayResult result = RelayReplay(ReplayDeployment(), events, seed).run();
    const Milliseconds calmFrom =
            lastTrouble(events) + (lastTrouble(events).count() > 0 ? contactTime : Milliseconds(0));
    for (std::size_t index = 0; index < events.writes.size(); ++index) {
        INFO("write " << index);
        REQUIRE(result.timeToAll[index]);
        CHECK(events.writes[index] + *result.timeToAll[index]
              <= std::max(events.writes[index] + configApplyTime, calmFrom));
    }
    REQUIRE(result.allConfirmedAt);
    CHECK(*result.allConfirmedAt <= calmFrom + configApplyTime);
}

// Guards against a region that follows no change because the platform refuses the proxies of one of its data centres,
// the first ones of the region among them, and serves the others.
TEST_CASE("changes reach all proxies while the platform refuses a data centre", "[relay]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    const Milliseconds refusedFrom{3'000};
    ReplayEvents refused = events(series(refusedFrom + contactTime, Milliseconds(500), 8), {});
    refused.platformRefuses = {{refusedFrom, Milliseconds(15'000)}};
    const ReplayResult result = RelayReplay(ReplayDeployment(), refused, seed).run();
    for (std::size_t index = 0; index < refused.writes.size(); ++index) {
        INFO("seed " << seed << ", write " << index);
        REQUIRE(result.timeToAll[index]);
        CHECK(*result.timeToAll[index] <= configApplyTime);
    }
}

// Guards against a number of readers, or of bytes in flight, that grows with the fleet.
TEST_CASE("the number of reads from the platform in progress does not grow with the fleet", "[relay]")
{
    const auto replayCase = GENERATE(from_range(replayCases()));
    INFO(replayCase.name);
    const auto mostReads = [&replayCase](std::size_t proxiesPerRegion) {
        ReplayDeployment deployment;
        deployment.proxiesPerRegion = proxiesPerRegion;
        return RelayReplay(deployment, replayCase.events, 1).run().mostPlatformReads;
    };
    constexpr std::size_t dataCentres = 2; ///< of each region
    const std::size_t bound = dataCentres * maxPlatformReaders * (maxFullPlatformReads + maxOpenProbesOfReader);
    CHECK(mostReads(40) <= bound);
    CHECK(mostReads(150) <= bound);
}

// Guards against proxies that give up the copy that they have because nobody can confirm it.
TEST_CASE("no proxy stops serving its copy while the store is away", "[relay]")
{
    ReplayEvents away = events({Milliseconds(2'000)}, {{Milliseconds(3'000), Milliseconds(13'000)}});
    CHECK(RelayReplay(ReplayDeployment(), away, 1).run().copiesLost == 0);
}

// Guards against a catch-up whose time or bytes grow with the fleet, or beyond what the link between regions carries in
// the time in which a change must be in force.
TEST_CASE("a fleet catches up in time for every size of fleet and configuration", "[relay]")
{
    const std::size_t proxies = GENERATE(80, 300);
    const std::uint64_t routes = GENERATE(100, 600, 1'400, 2'000);
    // Bytes of a route in a response of the platform and in a compressed copy.
    constexpr std::uint64_t platformBytesPerRoute = 430;
    constexpr std::uint64_t relayedBytesPerRoute = 25;
    ReplayDeployment deployment;
    deployment.proxiesPerRegion = proxies / 2;
    deployment.platformRow = ByteCount(routes * platformBytesPerRoute);
    deployment.relayedRow = ByteCount(routes * relayedBytesPerRoute);
    const double linkBytes =
            deployment.regionLinkMbps * 1e6 / 8 * std::chrono::duration<double>(configApplyTime).count();
    const std::vector<Milliseconds> two{Milliseconds(2'000), Milliseconds(11'000)};
    const std::vector<ReplayCase> cases{
            {"calm", events(two, {})},
            {"the store was away", events(two, {{Milliseconds(3'000), Milliseconds(7'000)}})},
            {"all proxies restarted", withRestarts(events(two, {}), 1, {Milliseconds(5'000), Milliseconds(7'000)})},
            {"ten changes a second", events(series(Milliseconds(3'000), Milliseconds(100), 50), {})},
    };
    for (const ReplayCase &replayCase : cases) {
        INFO(proxies << " proxies, " << routes << " routes, " << replayCase.name);
        const ReplayResult result = RelayReplay(deployment, replayCase.events, 1).run();
        REQUIRE(result.timeToAll.back());
        CHECK(*result.timeToAll.back() <= configApplyTime);
        CHECK(static_cast<double>(result.platformBytes.value() + result.relayedBytes.value()) <= linkBytes);
    }
}

} // namespace dandeliondock::testing
