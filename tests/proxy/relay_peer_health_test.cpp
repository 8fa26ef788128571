#include <dandeliondock/proxy/relay_peer_health.h>

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
TEST_CASE("peers whose responses are late but arrive in the order of the calls are not excluded", "[proxy]")
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

TEST_CASE("a peer that does not respond while another one does is excluded", "[proxy]")
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

TEST_CASE("a peer that does not respond is excluded when the platform responds to a later call", "[proxy]")
{
    RelayPeerHealth health;
    static_cast<void>(health.callSent(firstPeer, start, start + responseTimeout));
    CHECK(health.platformResponded(start + Milliseconds(1), start + responseTimeout * 2).empty());
    CHECK(health.platformResponded(start + responseTimeout, start + responseTimeout * 2).size() == 1);
}

// Guards against one short delay that counts once for each table and doubles the exclusion time.
TEST_CASE("failures during an exclusion do not extend it", "[proxy]")
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

TEST_CASE("a response ends the exclusion of a peer", "[proxy]")
{
    RelayPeerHealth health;
    const RelayCallId slowCall = health.callSent(firstPeer, start, start + responseTimeout);
    static_cast<void>(health.callFailed(health.callSent(firstPeer, start, start + responseTimeout), start));
    CHECK_FALSE(health.isAvailable(firstPeer, start));
    CHECK(health.callSucceeded(slowCall, start + responseTimeout).empty());
    CHECK(health.isAvailable(firstPeer, start + responseTimeout));
}

// Guards against calls that stay recorded after they ended and make their peer unavailable for good.
TEST_CASE("a call that ended without a response does not make its peer unavailable", "[proxy]")
{
    RelayPeerHealth health;
    const RelayCallId call = health.callSent(firstPeer, start, start + responseTimeout);
    CHECK_FALSE(health.isAvailable(firstPeer, start + responseTimeout));
    health.callTimedOut(call);
    CHECK(health.isAvailable(firstPeer, start + responseTimeout));
}

} // namespace dandeliondock
