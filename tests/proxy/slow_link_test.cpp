#include "support/relay_fleet.h"
#include "support/table_versions.h"

#include <absl/strings/match.h>

#include <catch2/catch.hpp>

#include <thread>

namespace dandeliondock::testing {
namespace {

constexpr Milliseconds applyDeadline{3'000};

} // namespace

// Guards against a proxy that abandons responses in transit when its saturated link delays every call, so that it
// applies a change seconds late.
TEST_CASE("a proxy whose own link is slow applies a change in time and excludes no peer", "[proxy]")
{
    PeerFleet fleet;
    ChildProxy child(fleet);
    REQUIRE(child.waitFor(tableVersion(1), applyDeadline) < applyDeadline);
    fleet.setRoundTrip(Milliseconds(900));
    const std::size_t linesBefore = child.lines("relay.passed_over").size();
    fleet.confirmFor(Milliseconds(1'500));
    fleet.change(tableVersion(2));
    CHECK(child.waitFor(tableVersion(2), applyDeadline) < applyDeadline);
    CHECK(child.lines("relay.passed_over").size() == linesBefore);
}

// Guards against a refusal of the platform that discards the late response of the parent.
TEST_CASE("a proxy with a slow link that the platform refuses applies a change in time", "[proxy]")
{
    PeerFleet fleet;
    ChildProxy child(fleet, Address(fleet.peers()[1].address.value() + "1"));
    REQUIRE(child.waitFor(tableVersion(1), applyDeadline) < applyDeadline);
    fleet.setRoundTrip(Milliseconds(900));
    fleet.confirmFor(Milliseconds(1'500));
    fleet.change(tableVersion(2));
    CHECK(child.waitFor(tableVersion(2), applyDeadline) < applyDeadline);
}

// Guards against a dead proxy that delays its children for as long as they would wait for a slow one.
TEST_CASE("a proxy whose parent does not respond applies a change in time and excludes the parent", "[proxy]")
{
    PeerFleet fleet;
    ChildProxy child(fleet);
    REQUIRE(child.waitFor(tableVersion(1), applyDeadline) < applyDeadline);
    const Address parent = *relayParent({fleetRegion, lastAddress}, fleet.peers());
    fleet.stopResponding(parent);
    std::this_thread::sleep_for(relayHold);
    fleet.change(tableVersion(2));
    CHECK(child.waitFor(tableVersion(2), applyDeadline) < Milliseconds(1'500));
    const auto exclusionLines = child.lines("relay.passed_over");
    REQUIRE_FALSE(exclusionLines.empty());
    for (const std::string &line : exclusionLines)
        CHECK(absl::StrContains(line, parent.value()));
}

} // namespace dandeliondock::testing
