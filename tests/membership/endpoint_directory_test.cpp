#include <dandeliondock/membership/announcement_source.h>
#include <dandeliondock/membership/child_liveness.h>
#include <dandeliondock/membership/endpoint_directory.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>

namespace dandeliondock {
namespace {

const RegionName ownRegion("east");

Endpoint recordOf(unsigned target, unsigned incarnation, unsigned sequence, EndpointState state)
{
    Endpoint record;
    record.target = TargetId("t" + std::to_string(target));
    record.stamp = {Incarnation(incarnation), SequenceNumber(sequence), state};
    record.service = ServiceName("ledger");
    record.version = VersionName("v1");
    record.region = target % 4 == 3 ? RegionName("west") : ownRegion;
    return record;
}

rc::Gen<Endpoint> genRecord()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0U, 6U), rc::gen::inRange(0U, 3U), rc::gen::inRange(0U, 3U),
                                       rc::gen::inRange(0, 4), rc::gen::inRange(0U, 2U)),
                        [](const auto &draw) {
                            const auto [target, incarnation, sequence, state, slots] = draw;
                            Endpoint record =
                                    recordOf(target, incarnation, sequence, static_cast<EndpointState>(state));
                            record.slots = SlotCount(slots);
                            return record;
                        });
}

std::vector<Endpoint> contentOf(const EndpointDirectory &directory)
{
    std::vector<Endpoint> records = directory.all();
    std::sort(records.begin(), records.end(),
              [](const Endpoint &left, const Endpoint &right) { return left.target < right.target; });
    return records;
}

EndpointDirectory mergeAll(const std::vector<Endpoint> &records)
{
    EndpointDirectory directory(ownRegion);
    for (const Endpoint &record : records)
        directory.merge(record, MonotonicTime{});
    return directory;
}

} // namespace

// Guards against nodes that saw the same records in another order and hold other targets for ever.
TEST_CASE("merging is commutative and idempotent", "[membership]")
{
    rc::prop("any order and any repetition gives the same content and digest", [] {
        const auto records = *rc::gen::container<std::vector<Endpoint>>(genRecord());
        auto shuffled = records;
        shuffled.insert(shuffled.end(), records.begin(), records.end());
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
        const EndpointDirectory first = mergeAll(records);
        const EndpointDirectory second = mergeAll(shuffled);
        RC_ASSERT(contentOf(first) == contentOf(second));
        RC_ASSERT(first.digest() == second.digest());
        RC_ASSERT(first.summary() == second.summary());
    });
}

// Guards against a digest that drifts from the content when records replace each other.
TEST_CASE("the digest depends on the live records only", "[membership]")
{
    rc::prop("a directory rebuilt from the records held has the same digest", [] {
        const auto records = *rc::gen::container<std::vector<Endpoint>>(genRecord());
        EndpointDirectory directory = mergeAll(records);
        RC_ASSERT(mergeAll(directory.all()).digest() == directory.digest());
        const std::uint64_t before = directory.digest();
        directory.expire(MonotonicTime(Seconds(10'000)));
        RC_ASSERT(directory.digest() == before);
    });
}

// Guards against a relay that leaves out a change, or sends a change again that its child has.
TEST_CASE("the changes since a version bring a copy up to date", "[membership]")
{
    rc::prop("a copy that takes the changes holds the same content", [] {
        const auto before = *rc::gen::container<std::vector<Endpoint>>(genRecord());
        const auto after = *rc::gen::container<std::vector<Endpoint>>(genRecord());
        EndpointDirectory directory = mergeAll(before);
        EndpointDirectory copy = mergeAll(directory.all());
        const DirectoryVersion seen = directory.version();
        for (const Endpoint &record : after)
            directory.merge(record, MonotonicTime{});
        for (const Endpoint &record : directory.changesSince(seen))
            copy.merge(record, MonotonicTime{});
        RC_ASSERT(contentOf(copy) == contentOf(directory));
        RC_ASSERT(directory.changesSince(directory.version()).empty());
    });
}

// Guards against an old record that brings a target back after it left.
TEST_CASE("a record of an older incarnation never replaces a tombstone", "[membership]")
{
    EndpointDirectory directory(ownRegion);
    directory.merge(recordOf(1, 2, 4, EndpointState::Leaving), MonotonicTime{});
    CHECK_FALSE(directory.merge(recordOf(1, 2, 3, EndpointState::Serving), MonotonicTime{}));
    CHECK_FALSE(directory.merge(recordOf(1, 1, 9, EndpointState::Serving), MonotonicTime{}));
    CHECK(directory.find(TargetId("t1"))->stamp.state == EndpointState::Leaving);
}

// Guards against memory that grows with every target that ever was.
TEST_CASE("tombstones expire by age and by number", "[membership]")
{
    DirectoryLimits limits;
    limits.tombstones = 10;
    EndpointDirectory directory(ownRegion, limits);
    for (unsigned target = 0; target < 100; ++target) {
        directory.merge(recordOf(target * 4, 1, 0, EndpointState::Serving), MonotonicTime{});
        directory.markGone(TargetId("t" + std::to_string(target * 4)), MonotonicTime{});
        REQUIRE(directory.size() <= 10);
    }
    directory.expire(MonotonicTime(limits.tombstoneTtl - Milliseconds(1)));
    CHECK(directory.size() == 10);
    directory.expire(MonotonicTime(limits.tombstoneTtl));
    CHECK(directory.size() == 0);
    CHECK(directory.changesSince(DirectoryVersion(0)).empty());
}

// Guards against a live target that stays marked gone because its node was slow to poll.
TEST_CASE("a live target refutes what others say of it", "[membership]")
{
    rc::prop("after any rumours the refutation wins and the target serves", [] {
        const auto rumours = *rc::gen::container<std::vector<Endpoint>>(genRecord());
        Endpoint self = recordOf(1, 1, 0, EndpointState::Starting);
        EndpointAnnouncer source(self);
        EndpointDirectory directory(ownRegion);
        directory.merge(*source.report(EndpointState::Serving), MonotonicTime{});
        for (const Endpoint &rumour : rumours) {
            directory.merge(rumour, MonotonicTime{});
            directory.markGone(self.target, MonotonicTime{});
            if (const auto refutation = source.observe(*directory.find(self.target)))
                directory.merge(*refutation, MonotonicTime{});
        }
        RC_ASSERT(directory.find(self.target)->stamp == source.current().stamp);
        RC_ASSERT(source.current().stamp.state == EndpointState::Serving);
    });
}

// Guards against a leaving target that refutes its own departure.
TEST_CASE("a target that leaves refutes nothing until it starts again", "[membership]")
{
    EndpointAnnouncer source(recordOf(1, 1, 0, EndpointState::Starting));
    source.report(EndpointState::Serving);
    const Endpoint leaving = *source.report(EndpointState::Leaving);
    CHECK_FALSE(source.report(EndpointState::Leaving).has_value());
    Endpoint gone = leaving;
    gone.stamp.state = EndpointState::Gone;
    CHECK_FALSE(source.observe(gone).has_value());
    const Endpoint again = *source.report(EndpointState::Starting);
    CHECK(again.stamp.incarnation > leaving.stamp.incarnation);
}

// Guards against traffic over the metered link that grows with the number of targets.
TEST_CASE("the summary holds at most four serving targets of a service and version", "[membership]")
{
    rc::prop("summaries are bounded and hold the own region's serving targets only", [] {
        const EndpointDirectory directory = mergeAll(*rc::gen::container<std::vector<Endpoint>>(rc::gen::map(
                rc::gen::inRange(0U, 40U), [](unsigned t) { return recordOf(t, 1, 0, EndpointState::Serving); })));
        const auto summary = directory.summary();
        RC_ASSERT(summary.size() <= 4U);
        for (const Endpoint &record : summary)
            RC_ASSERT(record.region == ownRegion);
    });
}

// Guards against counts, look-ups and a summary that drift from the records while these replace each other.
TEST_CASE("the indexes agree with a scan of all records", "[membership]")
{
    rc::prop("counts, look-up by control address, sample and summary match the content", [] {
        const auto records = *rc::gen::container<std::vector<Endpoint>>(genRecord());
        EndpointDirectory directory(ownRegion);
        for (const Endpoint &record : records) {
            Endpoint addressed = record;
            addressed.controlAddress = Address(record.target.value());
            directory.merge(addressed, MonotonicTime{});
        }
        std::size_t live = 0;
        std::size_t serving = 0;
        for (const Endpoint &record : directory.all()) {
            const bool isLive = !isTerminal(record.stamp.state);
            const Endpoint *found = directory.findByControlAddress(record.controlAddress);
            RC_ASSERT((found != nullptr) == isLive);
            RC_ASSERT((!isLive || *found == record));
            live += isLive && record.region == ownRegion ? 1U : 0U;
            serving += record.stamp.state == EndpointState::Serving ? 1U : 0U;
        }
        RC_ASSERT(directory.liveTargetsInRegion() == live);
        RC_ASSERT(directory.serving(ServiceName("ledger"), VersionName("v1")) == serving);
        const std::vector<Endpoint> summary = directory.summary();
        for (const Endpoint &record : directory.all()) {
            const bool listed = std::find(summary.begin(), summary.end(), record) != summary.end();
            RC_ASSERT(directory.isInSummary(record) == listed);
        }
        auto sample = directory.sampleControlAddresses(3, *rc::gen::arbitrary<std::uint64_t>());
        RC_ASSERT(sample.size() == std::min<std::size_t>(3, live));
        std::sort(sample.begin(), sample.end());
        RC_ASSERT(std::unique(sample.begin(), sample.end()) == sample.end());
    });
}

// Guards against another region that never hears of the target which took the place of one that left its summary.
TEST_CASE("a target that enters the summary counts as changed", "[membership]")
{
    EndpointDirectory directory(ownRegion);
    for (unsigned target = 0; target < 24; target += 4)
        directory.merge(recordOf(target, 1, 0, EndpointState::Serving), MonotonicTime{});
    const std::vector<Endpoint> before = directory.summary();
    const DirectoryVersion seen = directory.version();
    directory.markGone(before.front().target, MonotonicTime{});
    const Endpoint entered = directory.summary().back();
    REQUIRE(std::find(before.begin(), before.end(), entered) == before.end());
    const std::vector<Endpoint> changes = directory.changesSince(seen);
    CHECK(std::find(changes.begin(), changes.end(), entered) != changes.end());
    // A new stamp of a target that stays in the summary makes nothing else change.
    const DirectoryVersion later = directory.version();
    Endpoint again = entered;
    again.stamp.sequence = SequenceNumber(1);
    directory.merge(again, MonotonicTime{});
    CHECK(directory.changesSince(later) == std::vector{again});
}

// Guards against calls to a region that was cut off long ago.
TEST_CASE("another region's records age out without contact", "[membership]")
{
    EndpointDirectory directory(ownRegion);
    directory.merge(recordOf(3, 1, 0, EndpointState::Serving), MonotonicTime{});
    directory.merge(recordOf(1, 1, 0, EndpointState::Serving), MonotonicTime{});
    directory.recordContact(RegionName("west"), MonotonicTime(Seconds(20)));
    CHECK(directory.expire(MonotonicTime(Seconds(49))).empty());
    CHECK(directory.expire(MonotonicTime(Seconds(50))) == std::vector{TargetId("t3")});
    CHECK(directory.find(TargetId("t1")) != nullptr);
    // The region's next summary brings the record back.
    CHECK(directory.merge(recordOf(3, 1, 0, EndpointState::Serving), MonotonicTime(Seconds(60))));
}

// Guards against a child whose process ended and whose target stays in the directory.
TEST_CASE("a child that stays silent for five seconds is told once", "[membership]")
{
    ChildLiveness children;
    children.polled(NodeId("n1"), TargetId("t1"), MonotonicTime{});
    children.polled(NodeId("n2"), TargetId("t2"), MonotonicTime{});
    children.polled(NodeId("n3"), TargetId("t3"), MonotonicTime{});
    children.polled(NodeId("n2"), TargetId("t2"), MonotonicTime(Seconds(2)));
    children.forget(NodeId("n3"));
    CHECK(children.takeSilent(MonotonicTime(Milliseconds(4'999))).empty());
    CHECK(children.takeSilent(MonotonicTime(Seconds(5))) == std::vector{TargetId("t1")});
    CHECK(children.takeSilent(MonotonicTime(Seconds(6))).empty());
}

} // namespace dandeliondock
