#include <dandeliondock/proxy/relay_peer_health.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

namespace dandeliondock {
namespace {

const MonotonicTime start{Seconds(100)};
constexpr Milliseconds due{700};
const Address first("10.0.0.1:1");
const Address second("10.0.0.2:1");

} // namespace

// Guards against a proxy that takes its own full link for the failure of those it follows.
TEST_CASE("proxies whose answers are late but come in their order are not passed over", "[proxy]")
{
    rc::prop("any way that delays all answers alike", [] {
        RelayPeerHealth trust;
        const auto way = Milliseconds(*rc::gen::inRange(0, 5'000));
        const auto calls = *rc::gen::inRange(1, 8);
        std::vector<std::pair<RelayCallId, MonotonicTime>> sent;
        for (int index = 0; index < calls; ++index) {
            const MonotonicTime now = start + due * index;
            sent.emplace_back(trust.callSent(Address(absl::StrCat("10.0.0.", index, ":1")), now, now + due), now);
        }
        for (const auto &[call, askedAt] : sent)
            RC_ASSERT(trust.callSucceeded(call, askedAt + way).empty());
    });
}

TEST_CASE("a proxy that is silent while another one answers is passed over and followed again later", "[proxy]")
{
    RelayPeerHealth trust;
    static_cast<void>(trust.callSent(first, start, start + due));
    CHECK(trust.isAvailable(first, start));
    CHECK_FALSE(trust.isAvailable(first, start + due));
    const MonotonicTime later = start + due;
    const auto passed = trust.callSucceeded(trust.callSent(second, later, later + due), later + Milliseconds(50));
    REQUIRE(passed.size() == 1);
    CHECK(passed.front().address == first);
    CHECK(passed.front().duration == initialPeerExclusion);
    CHECK(passed.front().sinceCall == due + Milliseconds(50));
    CHECK(trust.isAvailable(second, later));
}

TEST_CASE("a platform that answers a later call shows that the followed proxy is silent", "[proxy]")
{
    RelayPeerHealth trust;
    static_cast<void>(trust.callSent(first, start, start + due));
    CHECK(trust.platformResponded(start + Milliseconds(1), start + due * 2).empty());
    CHECK(trust.platformResponded(start + due, start + due * 2).size() == 1);
}

// Guards against one slow moment that counts once for each table and keeps a proxy away for twice the time.
TEST_CASE("failures while a proxy is passed over count once", "[proxy]")
{
    RelayPeerHealth trust;
    const RelayCallId one = trust.callSent(first, start, start + due);
    const RelayCallId other = trust.callSent(first, start, start + due);
    CHECK(trust.callFailed(one, start).duration == initialPeerExclusion);
    CHECK(trust.callFailed(other, start + Milliseconds(1)).duration == initialPeerExclusion);
    CHECK_FALSE(trust.isAvailable(first, start + initialPeerExclusion - Milliseconds(1)));
    const MonotonicTime again = start + initialPeerExclusion;
    CHECK(trust.isAvailable(first, again));
    CHECK(trust.callFailed(trust.callSent(first, again, again + due), again).duration == initialPeerExclusion * 2);
}

TEST_CASE("an answer makes up for earlier failures", "[proxy]")
{
    RelayPeerHealth trust;
    const RelayCallId slow = trust.callSent(first, start, start + due);
    static_cast<void>(trust.callFailed(trust.callSent(first, start, start + due), start));
    CHECK_FALSE(trust.isAvailable(first, start));
    CHECK(trust.callSucceeded(slow, start + due).empty());
    CHECK(trust.isAvailable(first, start + due));
}

// Guards against calls that stay in the books and keep a proxy away for ever.
TEST_CASE("a call that ended without an answer does not keep its proxy from being followed", "[proxy]")
{
    RelayPeerHealth trust;
    const RelayCallId call = trust.callSent(first, start, start + due);
    CHECK_FALSE(trust.isAvailable(first, start + due));
    trust.callTimedOut(call);
    CHECK(trust.isAvailable(first, start + due));
}

} // namespace dandeliondock
