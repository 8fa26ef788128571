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

constexpr Incarnation latestStart{1'000};

/// A target without a record of an earlier process.
LocalTarget targetWithoutRecord()
{
    LocalTarget target;
    target.applyRecord(std::nullopt);
    return target;
}

} // namespace

// Guards against new requests for a leaving target after a serving announcement arrives late.
TEST_CASE("a leaving target does not accept requests again until it is restarted", "[proxy]")
{
    LocalTarget target = targetWithoutRecord();
    REQUIRE(target.announce(announcement("a", 10, 1), MonotonicTime{}) == AnnouncementEffect::Changed);
    REQUIRE(target.announce(announcement("a", 10, 3, EndpointState::Leaving), MonotonicTime{})
            == AnnouncementEffect::Changed);
    CHECK(target.announce(announcement("a", 10, 2), MonotonicTime{}) == AnnouncementEffect::Stale);
    CHECK_FALSE(target.acceptsRequests());
    target.announce(announcement("a", 10, 4), MonotonicTime{});
    CHECK_FALSE(target.acceptsRequests());
}

// Guards against a target that stays in use although it has said that it leaves: an announcement with a high sequence
// number, which another process sent in its name, made its own announcements stale.
TEST_CASE("a target leaves whatever the sequence number of its announcement", "[proxy]")
{
    LocalTarget target = targetWithoutRecord();
    target.announce(announcement("a", 10, 1), MonotonicTime{});
    target.announce(announcement("a", 10, 1'000), MonotonicTime{});
    CHECK(target.announce(announcement("a", 10, 2), MonotonicTime{}) == AnnouncementEffect::Stale);
    CHECK(target.announce(announcement("a", 10, 3, EndpointState::Leaving), MonotonicTime{})
          == AnnouncementEffect::Changed);
    CHECK_FALSE(target.acceptsRequests());
    CHECK(target.announce(announcement("a", 10, 4, EndpointState::Leaving), MonotonicTime{})
          == AnnouncementEffect::Renewed);
    target.announce(announcement("a", 10, 2'000), MonotonicTime{});
    CHECK_FALSE(target.acceptsRequests());
    CHECK(target.announce(announcement("a", 9, 5'000, EndpointState::Leaving), MonotonicTime{})
          == AnnouncementEffect::Stale);
    CHECK(target.announce(announcement("a", 11, 1), MonotonicTime{}) == AnnouncementEffect::Changed);
    CHECK(target.acceptsRequests());
}

// Guards against an announcement of a former target, delayed by a network outage, that replaces the current target at
// the same address.
TEST_CASE("an announcement of an earlier start is stale regardless of its id and sequence", "[proxy]")
{
    LocalTarget target = targetWithoutRecord();
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
    LocalTarget target = targetWithoutRecord();
    target.announce(announcement("a", 20, 1), MonotonicTime{});
    CHECK(target.handleDeparture(TargetId("a"), Incarnation(10), latestStart) == AnnouncementEffect::Stale);
    CHECK(target.handleDeparture(TargetId("b"), std::nullopt, latestStart) == AnnouncementEffect::Stale);
    CHECK(target.acceptsRequests());
    CHECK(target.handleDeparture(TargetId("a"), Incarnation(20), latestStart) == AnnouncementEffect::Changed);
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
        LocalTarget target = targetWithoutRecord();
        for (const std::size_t index : order)
            target.announce(items[index], MonotonicTime{});
        RC_ASSERT(target.current()->startedAt == Incarnation(30));
        RC_ASSERT(target.acceptsRequests());
    });
}

// Guards against a proxy that was restarted and has forgotten the departure that it acknowledged: a delayed
// announcement put the target back into use.
TEST_CASE("a target that left before a restart of its proxy does not accept requests after a late announcement",
          "[proxy]")
{
    LocalTarget target;
    target.applyRecord(announcement("a", 10, 3, EndpointState::Gone));
    CHECK_FALSE(target.acceptsRequests());
    target.announce(announcement("a", 10, 9), MonotonicTime{});
    CHECK_FALSE(target.acceptsRequests());
    CHECK(target.announce(announcement("b", 9, 9), MonotonicTime{}) == AnnouncementEffect::Stale);
    CHECK(target.announce(announcement("a", 11, 1), MonotonicTime{}) == AnnouncementEffect::Changed);
    CHECK(target.acceptsRequests());
}

// Guards against a target that is in use before the record of an earlier process is read.
TEST_CASE("a target accepts requests when its record is known and it has announced itself", "[proxy]")
{
    LocalTarget early;
    early.announce(announcement("a", 10, 4), MonotonicTime{});
    CHECK_FALSE(early.acceptsRequests());
    CHECK(early.applyRecord(announcement("a", 10, 3)) == AnnouncementEffect::Renewed);
    CHECK(early.acceptsRequests());
    LocalTarget silent;
    silent.applyRecord(announcement("a", 10, 3));
    CHECK_FALSE(silent.acceptsRequests());
    CHECK(silent.announce(announcement("a", 10, 4), MonotonicTime{}) == AnnouncementEffect::Changed);
    CHECK(silent.acceptsRequests());
}

// Guards against a departure of which no note is kept because the target is not known.
TEST_CASE("a departure of an unknown target makes its late announcements stale", "[proxy]")
{
    LocalTarget target = targetWithoutRecord();
    CHECK(target.handleDeparture(TargetId("a"), Incarnation(10), latestStart) == AnnouncementEffect::Changed);
    target.announce(announcement("a", 10, 9), MonotonicTime{});
    CHECK_FALSE(target.acceptsRequests());
    CHECK(target.announce(announcement("a", 30, 1), MonotonicTime{}) == AnnouncementEffect::Changed);
    CHECK(target.acceptsRequests());
    // A later start of the known target departs before its first announcement arrives.
    CHECK(target.handleDeparture(TargetId("a"), Incarnation(40), latestStart) == AnnouncementEffect::Changed);
    target.announce(announcement("a", 40, 1), MonotonicTime{});
    CHECK_FALSE(target.acceptsRequests());
    LocalTarget unnamedStart = targetWithoutRecord();
    unnamedStart.handleDeparture(TargetId("a"), std::nullopt, latestStart);
    CHECK(unnamedStart.announce(announcement("a", 10, 9), MonotonicTime{}) == AnnouncementEffect::Stale);
    unnamedStart.announce(announcement("a", latestStart.value() + 1, 1), MonotonicTime{});
    CHECK(unnamedStart.acceptsRequests());
}

// Guards against a restart at any point of a target's life after which it is used although it has left.
TEST_CASE("no start is in use after its departure, wherever the proxy is restarted", "[proxy]")
{
    rc::prop("announcements in any order, a record read at any time", [] {
        const auto lateSequence = static_cast<std::uint64_t>(*rc::gen::inRange(1, 20));
        const auto recordedSequence = static_cast<std::uint64_t>(*rc::gen::inRange(1, 20));
        const auto recordedState = *rc::gen::element(EndpointState::Leaving, EndpointState::Gone);
        const auto earlierStarts =
                *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 9));
        const bool isRecordFirst = *rc::gen::arbitrary<bool>();
        LocalTarget target;
        const auto applyRecord = [&] {
            target.applyRecord(announcement("a", 10, recordedSequence, recordedState));
            RC_ASSERT_FALSE(target.acceptsRequests());
        };
        if (isRecordFirst)
            applyRecord();
        for (const std::uint64_t start : earlierStarts) {
            target.announce(announcement("b", start, 1), MonotonicTime{});
            RC_ASSERT_FALSE(target.acceptsRequests());
        }
        target.announce(announcement("a", 10, lateSequence), MonotonicTime{});
        RC_ASSERT_FALSE(target.acceptsRequests());
        if (!isRecordFirst)
            applyRecord();
        target.announce(announcement("a", 11, 1), MonotonicTime{});
        RC_ASSERT(target.acceptsRequests());
    });
}

// Guards against another writer who replaces the known target by changing its row.
TEST_CASE("a later record counts only if the known start has left", "[proxy]")
{
    LocalTarget target = targetWithoutRecord();
    target.announce(announcement("a", 10, 1), MonotonicTime{});
    CHECK(target.applyRecord(announcement("b", 99, 1)) == AnnouncementEffect::Stale);
    CHECK(target.applyRecord(announcement("a", 10, 2)) == AnnouncementEffect::Renewed);
    CHECK(target.acceptsRequests());
    CHECK(target.applyRecord(announcement("a", 10, 2, EndpointState::Leaving)) == AnnouncementEffect::Changed);
    CHECK_FALSE(target.acceptsRequests());
}

} // namespace dandeliondock
