#include <dandeliondock/relay/relay_peer_health.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

namespace dandeliondock {
namespace {

const MonotonicTime start{Seconds(100)};
constexpr Milliseconds responseTimeout{700};
const Address firstPeer("10.0.0.1:1");
const Address secondPeer("10.0.0.2:1");

} // namespace

// Guards against a proxy that takes the saturation of its own link for the failure of its peers.
TEST_CASE("peers whose responses are late but arrive in the order of the calls are not excluded", "[relay]")
{
    rc::prop("any delay that is the same for all responses", [] {
        RelayPeerHealth health;
        const auto delay = Milliseconds(*rc::gen::inRange(0, 5'000));
        const auto calls = *rc::gen::inRange(1, 8);
        std::vector<std::pair<RelayCallId, MonotonicTime>> sent;
        for (int index = 0; index < calls; ++index) {
            const MonotonicTime now = start + responseTimeout * index;
            sent.emplace_back(
                    health.callSent(Address(absl::StrCat("10.0.0.", index, ":1")), now, now + responseTimeout), now);
        }
        for (const auto &[call, sentAt] : sent)
            RC_ASSERT(health.callSucceeded(call, sentAt + delay).empty());
    });
}

TEST_CASE("a peer that does not respond while another one does is excluded", "[relay]")
{
    RelayPeerHealth health;
    static_cast<void>(health.callSent(firstPeer, start, start + responseTimeout));
    CHECK(health.isAvailable(firstPeer, start));
    CHECK_FALSE(health.isAvailable(firstPeer, start + responseTimeout));
    const MonotonicTime later = start + responseTimeout;
    const auto exclusions =
            health.callSucceeded(health.callSent(secondPeer, later, later + responseTimeout), later + Milliseconds(50));
    REQUIRE(exclusions.size() == 1);
    CHECK(exclusions.front().address == firstPeer);
    CHECK(exclusions.front().duration == initialPeerExclusion);
    CHECK(exclusions.front().sinceCall == responseTimeout + Milliseconds(50));
    CHECK(health.isAvailable(secondPeer, later));
}

TEST_CASE("a peer that does not respond is excluded when the platform responds to a later call", "[relay]")
{
    RelayPeerHealth health;
    static_cast<void>(health.callSent(firstPeer, start, start + responseTimeout));
    CHECK(health.platformResponded(start + Milliseconds(1), start + responseTimeout * 2).empty());
    CHECK(health.platformResponded(start + responseTimeout, start + responseTimeout * 2).size() == 1);
}

// Guards against one short delay that counts once for each table and doubles the exclusion time.
TEST_CASE("failures during an exclusion do not extend it", "[relay]")
{
    RelayPeerHealth health;
    const RelayCallId firstCall = health.callSent(firstPeer, start, start + responseTimeout);
    const RelayCallId secondCall = health.callSent(firstPeer, start, start + responseTimeout);
    CHECK(health.callFailed(firstCall, start).duration == initialPeerExclusion);
    CHECK(health.callFailed(secondCall, start + Milliseconds(1)).duration == initialPeerExclusion);
    CHECK_FALSE(health.isAvailable(firstPeer, start + initialPeerExclusion - Milliseconds(1)));
    const MonotonicTime afterExclusion = start + initialPeerExclusion;
    CHECK(health.isAvailable(firstPeer, afterExclusion));
    CHECK(health.callFailed(health.callSent(firstPeer, afterExclusion, afterExclusion + responseTimeout),
                            afterExclusion)
                  .duration
          == initialPeerExclusion * 2);
}

// Guards against a lost peer that is called again and again after its exclusion and delays a read each time.
TEST_CASE("a peer that did not respond is excluded until it responds to a probe", "[relay]")
{
    RelayPeerHealth health;
    const RelayCallId call = health.callSent(firstPeer, start, start + responseTimeout);
    MonotonicTime now = start + responseTimeout;
    REQUIRE(health.platformResponded(now, now).size() == 1);
    health.callTimedOut(call, now);
    CHECK(health.isUnresponsive(firstPeer));
    CHECK_FALSE(health.isProbeDue(firstPeer, now + initialPeerExclusion - Milliseconds(1)));
    now += initialPeerExclusion;
    CHECK(health.isProbeDue(firstPeer, now));
    CHECK_FALSE(health.isAvailable(firstPeer, now));
    const RelayCallId unansweredProbe = health.callSent(firstPeer, now, now + responseTimeout);
    CHECK_FALSE(health.isProbeDue(firstPeer, now));
    now += responseTimeout * 2;
    health.callTimedOut(unansweredProbe, now);
    CHECK_FALSE(health.isProbeDue(firstPeer, now + initialPeerExclusion * 2 - Milliseconds(1)));
    now += initialPeerExclusion * 2;
    CHECK(health.isProbeDue(firstPeer, now));
    const RelayCallId answeredProbe = health.callSent(firstPeer, now, now + responseTimeout);
    CHECK(health.callSucceeded(answeredProbe, now).empty());
    CHECK(health.isAvailable(firstPeer, now));
    CHECK_FALSE(health.hasUnresponsivePeers());
}

// Guards against a fleet in which more proxies read from the platform although their peers respond.
TEST_CASE("calls count as unanswered until any peer responds, with or without data", "[relay]")
{
    RelayPeerHealth health;
    const RelayCallId lateCall = health.callSent(firstPeer, start, start + responseTimeout);
    CHECK(health.unansweredCalls(start) == 0);
    MonotonicTime now = start + responseTimeout;
    CHECK(health.unansweredCalls(now) == 1);
    static_cast<void>(health.callSent(secondPeer, now, now + responseTimeout));
    now += responseTimeout;
    CHECK(health.unansweredCalls(now) == 2);
    health.callTimedOut(lateCall, now);
    CHECK(health.unansweredCalls(now) == 2);
    static_cast<void>(health.callRejected(health.callSent(secondPeer, now, now + responseTimeout), now));
    CHECK(health.unansweredCalls(now + responseTimeout) == 0);
}

TEST_CASE("the exclusion of a peer that is no longer known is forgotten", "[relay]")
{
    RelayPeerHealth health;
    for (const Address &peer : {firstPeer, secondPeer})
        static_cast<void>(health.callSent(peer, start, start + responseTimeout));
    REQUIRE(health.platformResponded(start + responseTimeout, start + responseTimeout).size() == 2);
    health.retain({{RegionName("east"), secondPeer}});
    CHECK_FALSE(health.isUnresponsive(firstPeer));
    CHECK(health.isUnresponsive(secondPeer));
}

TEST_CASE("a response ends the exclusion of a peer", "[relay]")
{
    RelayPeerHealth health;
    const RelayCallId slowCall = health.callSent(firstPeer, start, start + responseTimeout);
    static_cast<void>(health.callFailed(health.callSent(firstPeer, start, start + responseTimeout), start));
    CHECK_FALSE(health.isAvailable(firstPeer, start));
    CHECK(health.callSucceeded(slowCall, start + responseTimeout).empty());
    CHECK(health.isAvailable(firstPeer, start + responseTimeout));
}

// Guards against a lost peer that is never excluded because its connection attempt ends before another source has
// responded to the next call.
TEST_CASE("a call without a response excludes its peer when another source responds to a later call", "[relay]")
{
    RelayPeerHealth health;
    const RelayCallId call = health.callSent(firstPeer, start, start + responseTimeout);
    const MonotonicTime later = start + responseTimeout + Milliseconds(300);
    health.callTimedOut(call, later);
    CHECK(health.platformResponded(start + responseTimeout - Milliseconds(1), later).empty());
    const auto exclusions = health.platformResponded(start + responseTimeout, later + Milliseconds(100));
    REQUIRE(exclusions.size() == 1);
    CHECK(exclusions.front().address == firstPeer);
    CHECK(health.isUnresponsive(firstPeer));
}

// Guards against calls that stay recorded after they ended and make their peer unavailable for good.
TEST_CASE("a call that ended without a response does not make its peer unavailable", "[relay]")
{
    RelayPeerHealth health;
    const RelayCallId call = health.callSent(firstPeer, start, start + responseTimeout);
    CHECK_FALSE(health.isAvailable(firstPeer, start + responseTimeout));
    health.callTimedOut(call, start + responseTimeout);
    CHECK(health.isAvailable(firstPeer, start + responseTimeout));
}

} // namespace dandeliondock
