#include "support/relay_fleet.h"
#include "support/table_versions.h"

#include <dandeliondock/relay/relay_peer_health.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

namespace dandeliondock::testing {
namespace {

constexpr Milliseconds startTimeout{6'000};
constexpr Milliseconds contactTime{3'000};   ///< time after a loss from which a proxy must follow changes
constexpr Milliseconds applyDeadline{2'000}; ///< time in which a change must be applied

} // namespace

// Guards against proxies that learn of changes late because all proxies before them in the relay order were lost for
// good: they called lost peers one after the other and were not among the proxies that may read from the platform.
TEST_CASE("a proxy that remains when all proxies before it are lost applies changes in time", "[proxy]")
{
    PeerFleet fleet;
    ChildProxy child(fleet, lastAddress, ChildProxy::Platform::Serves);
    REQUIRE(child.waitFor(tableVersion(1), startTimeout) < startTimeout);
    fleet.stopRespondingAll();
    std::this_thread::sleep_for(contactTime);
    // The time covers several rounds of exclusions and probes.
    Milliseconds latest{0};
    for (unsigned version = 2; version < 32; ++version) {
        fleet.change(tableVersion(version));
        latest = std::max(latest, child.waitFor(tableVersion(version), applyDeadline));
        std::this_thread::sleep_for(Milliseconds(100));
    }
    CHECK(latest < applyDeadline);
}

// Guards against a fleet whose proxies all read from the platform because one of them was lost.
TEST_CASE("the loss of one parent does not make a proxy of high rank read from the platform", "[proxy]")
{
    PeerFleet fleet;
    ChildProxy child(fleet, lastAddress, ChildProxy::Platform::Serves);
    REQUIRE(child.waitFor(tableVersion(1), startTimeout) < startTimeout);
    const int polls = child.platformPolls;
    fleet.stopResponding(*relayParent({fleetRegion, lastAddress}, fleet.peers()));
    std::this_thread::sleep_for(contactTime);
    fleet.change(tableVersion(2));
    CHECK(child.waitFor(tableVersion(2), applyDeadline) < applyDeadline);
    CHECK(child.platformPolls == polls);
}

// Guards against a proxy that stays on the platform after its peers have come back.
TEST_CASE("a proxy reads from its parent again when the peers respond again", "[proxy]")
{
    PeerFleet fleet;
    ChildProxy child(fleet, lastAddress, ChildProxy::Platform::Serves);
    REQUIRE(child.waitFor(tableVersion(1), startTimeout) < startTimeout);
    fleet.stopRespondingAll();
    std::this_thread::sleep_for(contactTime);
    fleet.respondAgain();
    // A peer that failed again and again is probed at the latest after the longest exclusion.
    bool hasReturned = false;
    for (Milliseconds waited{0}; waited < maxPeerExclusion && !hasReturned; waited += contactTime) {
        const int polls = child.platformPolls;
        fleet.confirmFor(contactTime);
        hasReturned = child.platformPolls == polls;
    }
    CHECK(hasReturned);
}

} // namespace dandeliondock::testing
