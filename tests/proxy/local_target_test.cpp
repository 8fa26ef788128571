#include <dandeliondock/proxy/local_target.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

namespace dandeliondock {
namespace {

TargetAnnouncement announcement(const char *id, std::uint64_t startedAt, std::uint64_t sequence,
                                EndpointState state = EndpointState::Serving)
{
    TargetAnnouncement item;
    item.target = TargetId(id);
    item.startedAt = Incarnation(startedAt);
    item.sequence = SequenceNumber(sequence);
    item.state = state;
    item.slots = SlotCount(4);
    item.version = VersionName("v1");
    return item;
}

} // namespace

// Guards against new requests for a leaving target after a serving announcement arrives late.
TEST_CASE("a leaving target does not accept requests again until it is restarted", "[proxy]")
{
    LocalTarget target;
    REQUIRE(target.announce(announcement("a", 10, 1), MonotonicTime{}) == AnnouncementEffect::Changed);
    REQUIRE(target.announce(announcement("a", 10, 3, EndpointState::Leaving), MonotonicTime{})
            == AnnouncementEffect::Changed);
    CHECK(target.announce(announcement("a", 10, 2), MonotonicTime{}) == AnnouncementEffect::Stale);
    CHECK_FALSE(target.acceptsRequests());
    target.announce(announcement("a", 10, 4), MonotonicTime{});
    CHECK_FALSE(target.acceptsRequests());
}

// Guards against an announcement of a former target, delayed by a network outage, that replaces the current target at
// the same address.
TEST_CASE("an announcement of an earlier start is stale regardless of its id and sequence", "[proxy]")
{
    LocalTarget target;
    target.announce(announcement("new", 20, 1), MonotonicTime{});
    CHECK(target.announce(announcement("old", 10, 9), MonotonicTime{}) == AnnouncementEffect::Stale);
    CHECK(target.announce(announcement("new", 10, 9), MonotonicTime{}) == AnnouncementEffect::Stale);
    CHECK(target.announce(announcement("untimed", 0, 9), MonotonicTime{}) == AnnouncementEffect::Stale);
    CHECK(target.current()->target == TargetId("new"));
    CHECK(target.acceptsRequests());
}

// Guards against a late departure message of an earlier start that ends the current one.
TEST_CASE("a departure ends only the start that it names", "[proxy]")
{
    LocalTarget target;
    target.announce(announcement("a", 20, 1), MonotonicTime{});
    CHECK(target.handleDeparture(TargetId("a"), Incarnation(10)) == AnnouncementEffect::Stale);
    CHECK(target.handleDeparture(TargetId("b"), std::nullopt) == AnnouncementEffect::Stale);
    CHECK(target.acceptsRequests());
    CHECK(target.handleDeparture(TargetId("a"), Incarnation(20)) == AnnouncementEffect::Changed);
    CHECK_FALSE(target.acceptsRequests());
    CHECK(target.announce(announcement("a", 30, 1), MonotonicTime{}) == AnnouncementEffect::Changed);
    CHECK(target.acceptsRequests());
}

// Guards against a state that depends on the order in which announcements arrive.
TEST_CASE("the latest start wins regardless of the order in which announcements arrive", "[proxy]")
{
    rc::prop("announcements of several starts", [] {
        std::vector<TargetAnnouncement> items;
        for (std::uint64_t start = 1; start <= 3; ++start) {
            for (std::uint64_t sequence = 1; sequence <= 3; ++sequence)
                items.push_back(
                        announcement("a", start * 10, sequence,
                                     start < 3 && sequence == 3 ? EndpointState::Leaving : EndpointState::Serving));
        }
        const auto keys = *rc::gen::container<std::vector<int>>(items.size(), rc::gen::arbitrary<int>());
        std::vector<std::size_t> order(items.size());
        for (std::size_t index = 0; index < order.size(); ++index)
            order[index] = index;
        std::stable_sort(order.begin(), order.end(),
                         [&keys](std::size_t left, std::size_t right) { return keys[left] < keys[right]; });
        LocalTarget target;
        for (const std::size_t index : order)
            target.announce(items[index], MonotonicTime{});
        RC_ASSERT(target.current()->startedAt == Incarnation(30));
        RC_ASSERT(target.acceptsRequests());
    });
}

} // namespace dandeliondock
