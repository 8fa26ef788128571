#include <dandeliondock/relay/full_read_choice.h>
#include <dandeliondock/relay/relay_protocol.h>
#include <dandeliondock/relay/relay_source_selection.h>

#include <absl/strings/str_format.h>

#include <catch2/catch.hpp>

#include <set>
#include <vector>

namespace dandeliondock {
namespace {

const MonotonicTime start{Seconds(100)};
constexpr Milliseconds responseTimeout{700};
constexpr std::size_t proxiesPerRegion = largeFleetThreshold;

RelayPeer peerAt(const char *region, std::size_t index)
{
    return {RegionName(region), Address(absl::StrFormat("10.0.%s.%03d:1", region, index))};
}

std::vector<RelayPeer> largeFleet()
{
    std::vector<RelayPeer> peers;
    for (std::size_t index = 0; index < proxiesPerRegion; ++index) {
        peers.push_back(peerAt("a", index));
        peers.push_back(peerAt("b", index));
    }
    return peers;
}

RelaySourceSelection selectionOf(const RelayPeer &self)
{
    RelaySourceSelection selection(self);
    selection.setPeers(largeFleet());
    return selection;
}

RelaySource peerSource(const RelayPeer &peer)
{
    return {RelaySource::Kind::Peer, peer.address};
}

/// Calls the first source with a poll for changes and lets it respond with a copy of a given age.
RelaySource receiveCopy(RelaySourceSelection &selection, Milliseconds age, MonotonicTime now)
{
    RelaySource source = selection.firstSource(false, now);
    REQUIRE(source.kind == RelaySource::Kind::Peer);
    static_cast<void>(selection.copyReceived(selection.callSent(source.peer, now, now + responseTimeout), age, now));
    return source;
}

constexpr Milliseconds oldAge = maxRelayedAge + Milliseconds(1);

} // namespace

// Guards against a fleet in which every proxy passes over every other one while the platform is away.
TEST_CASE("a proxy that finds old copies only goes on reading them from its parent", "[relay]")
{
    RelaySourceSelection selection = selectionOf(peerAt("b", 20));
    const RelaySource parent = selection.firstSource(false, start);
    CHECK(parent == peerSource(peerAt("b", 2)));
    std::set<Address> called;
    MonotonicTime now = start;
    for (std::size_t poll = 0; poll < 20; ++poll)
        called.insert(receiveCopy(selection, oldAge, now).peer);
    CHECK(called.size() == 20);
    for (int poll = 0; poll < 5; ++poll)
        CHECK(receiveCopy(selection, oldAge, now) == parent);
    // A recent copy ends the search.
    static_cast<void>(receiveCopy(selection, Milliseconds(100), now));
    CHECK(selection.firstSource(false, now) == parent);
}

// Guards against proxies that all read from the platform at once when the proxies of their region start without a copy.
TEST_CASE("only the first proxies of a region call sources outside of it when their region has no copy", "[relay]")
{
    for (std::size_t index = 0; index < proxiesPerRegion; ++index) {
        INFO("proxy " << index);
        RelaySourceSelection selection = selectionOf(peerAt("b", index));
        bool callsOutside = false;
        RelayReadProgress read{true, 0, false};
        for (RelaySource source = selection.firstSource(true, start); source.kind != RelaySource::Kind::None;
             source = selection.nextSource(read, start)) {
            ++read.calledSources;
            if (source.kind == RelaySource::Kind::Platform) {
                read.hasCalledPlatform = true;
                callsOutside = true;
                continue;
            }
            callsOutside = callsOutside || source.peer.value().substr(5, 1) == "a";
            const RelayCallId call = selection.callSent(source.peer, start, start + responseTimeout);
            CHECK(selection.copyMissing(call, start).empty());
        }
        CHECK(callsOutside == (index < maxPlatformReaders));
        CHECK(read.calledSources <= maxFullReadSources + 1);
    }
}

TEST_CASE("a peer without a copy is called again soon", "[relay]")
{
    RelaySourceSelection selection = selectionOf(peerAt("b", 20));
    const RelaySource parent = selection.firstSource(true, start);
    static_cast<void>(selection.copyMissing(selection.callSent(parent.peer, start, start + responseTimeout), start));
    CHECK(selection.firstSource(true, start) != parent);
    CHECK(selection.firstSource(true, start + missingCopyInterval) == parent);
}

// Guards against the long responses of the platform where the copy of another peer would do.
TEST_CASE("a reader that finds a peer without a copy goes on with its other peers", "[relay]")
{
    RelaySourceSelection selection = selectionOf(peerAt("b", 1));
    const RelaySource parent = selection.firstSource(false, start);
    static_cast<void>(selection.copyMissing(selection.callSent(parent.peer, start, start + responseTimeout), start));
    const RelaySource next = selection.firstSource(false, start);
    CHECK(next.kind == RelaySource::Kind::Peer);
    CHECK(next != parent);
}

// Guards against a proxy without a source when all proxies before it refuse connections.
TEST_CASE("a proxy whose earlier peers have all failed reads from the platform", "[relay]")
{
    constexpr std::size_t failed = maxPlatformReaders + 2;
    RelaySourceSelection selection = selectionOf(peerAt("a", failed));
    CHECK_FALSE(selection.mayReadPlatform(start));
    for (std::size_t index = 0; index < failed; ++index) {
        const RelaySource source = selection.firstSource(false, start);
        REQUIRE(source.kind == RelaySource::Kind::Peer);
        static_cast<void>(selection.callFailed(selection.callSent(source.peer, start, start + responseTimeout), start));
    }
    CHECK(selection.firstSource(false, start).kind == RelaySource::Kind::Platform);
    // The next proxy reads from this one, which responds.
    RelaySourceSelection next = selectionOf(peerAt("a", failed + 1));
    for (std::size_t index = 0; index < failed; ++index)
        static_cast<void>(next.callFailed(next.callSent(peerAt("a", index).address, start, start), start));
    CHECK(next.firstSource(false, start) == peerSource(peerAt("a", failed)));
}

// Guards against a proxy that calls the same lost peers for a full table again and again.
TEST_CASE("a proxy whose peers are all silent reads full tables from the platform", "[relay]")
{
    RelaySourceSelection selection = selectionOf(peerAt("b", proxiesPerRegion - 1));
    MonotonicTime now = start;
    std::size_t calls = 0;
    RelaySource source = selection.firstSource(true, now);
    while (source.kind == RelaySource::Kind::Peer) {
        ++calls;
        REQUIRE(calls <= maxFullReadSources);
        static_cast<void>(selection.callSent(source.peer, now, now + responseTimeout));
        now += responseTimeout;
        source = selection.nextSource({true, calls, false}, now);
    }
    CHECK(source.kind == RelaySource::Kind::Platform);
}

// Guards against a platform that is called again and again while it is away, in place of a peer that responds.
TEST_CASE("a reader with an old copy alternates between the platform and its peers while the platform fails", "[relay]")
{
    RelaySourceSelection selection = selectionOf(peerAt("b", 1));
    static_cast<void>(receiveCopy(selection, oldAge, start));
    CHECK(selection.firstSource(false, start).kind == RelaySource::Kind::Platform);
    selection.platformFailed(start);
    CHECK(selection.firstSource(false, start).kind == RelaySource::Kind::Peer);
    CHECK(selection.firstSource(false, start + platformRetryInterval).kind == RelaySource::Kind::Platform);
}

// Guards against bytes in flight that grow while the link to the platform is slow.
TEST_CASE("a proxy awaits its full reads from the platform before it begins others", "[relay]")
{
    RelaySourceSelection selection = selectionOf(peerAt("a", 0));
    for (std::size_t read = 0; read < maxFullPlatformReads; ++read) {
        CHECK(selection.firstSource(true, start).kind == RelaySource::Kind::Platform);
        selection.platformCalled(true, start);
    }
    CHECK(selection.firstSource(true, start).kind == RelaySource::Kind::Peer);
    CHECK(selection.openProbeLimit(start + platformRetryInterval) == 0);
    selection.platformCallEnded(true);
    CHECK(selection.firstSource(true, start).kind == RelaySource::Kind::Platform);
}

// Guards against a fleet that probes the platform at the same moment, after the same time without a confirmation.
TEST_CASE("in a large fleet only the readers of a region probe the platform", "[relay]")
{
    for (std::size_t index = 0; index < proxiesPerRegion; ++index) {
        RelaySourceSelection selection = selectionOf(peerAt("b", index));
        CHECK(selection.openProbeLimit(start) == (index < maxPlatformReaders ? maxOpenProbesOfReader : 0));
        selection.platformCalled(false, start);
        CHECK(selection.openProbeLimit(start) == 0);
    }
    RelaySourceSelection smallFleet(peerAt("a", 1));
    smallFleet.setPeers({peerAt("a", 0), peerAt("b", 0)});
    CHECK(smallFleet.openProbeLimit(start) == maxOpenConfirmationProbes);
}

// Guards against polls whose response holds every change of a long absence, and against full reads that never end.
TEST_CASE("an old copy is replaced by a full read, and one that brings nothing new is followed by a poll", "[relay]")
{
    FullReadChoice choice;
    CHECK_FALSE(choice.isFullReadDue(start));
    choice.recordResult(start, start, false, true);
    CHECK_FALSE(choice.isFullReadDue(start + maxChangesAge));
    MonotonicTime now = start + maxChangesAge + Milliseconds(1);
    CHECK(choice.isFullReadDue(now));
    choice.recordResult(now, now, true, true);
    now += maxChangesAge + Milliseconds(1);
    CHECK(choice.isFullReadDue(now));
    choice.recordResult(now, now, true, false);
    CHECK_FALSE(choice.isFullReadDue(now + futileReadTime - Milliseconds(1)));
    // A poll that is not sent in this time would return the changes of a longer one.
    CHECK(choice.isFullReadDue(now + futileReadTime));
}

} // namespace dandeliondock
