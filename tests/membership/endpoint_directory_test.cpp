#include <dandeliondock/membership/child_liveness.h>
#include <dandeliondock/membership/endpoint_announcer.h>
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

rc::Gen<Endpoint> anyRecord()
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

std::vector<Endpoint> sortedRecords(const EndpointDirectory &directory)
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

// Guards against nodes that receive the same records in different orders and keep different content permanently.
TEST_CASE("merging is commutative and idempotent", "[membership]")
{
    rc::prop("any order and any repetition gives the same content and digest", [] {
        const auto records = *rc::gen::container<std::vector<Endpoint>>(anyRecord());
        auto shuffled = records;
        shuffled.insert(shuffled.end(), records.begin(), records.end());
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
        const EndpointDirectory first = mergeAll(records);
        const EndpointDirectory second = mergeAll(shuffled);
        RC_ASSERT(sortedRecords(first) == sortedRecords(second));
        RC_ASSERT(first.digest() == second.digest());
        RC_ASSERT(first.summary() == second.summary());
    });
}

// Guards against a digest that no longer matches the content after records replaced each other.
TEST_CASE("the digest depends on the live records only", "[membership]")
{
    rc::prop("a directory rebuilt from all records has the same digest", [] {
        const auto records = *rc::gen::container<std::vector<Endpoint>>(anyRecord());
        EndpointDirectory directory = mergeAll(records);
        RC_ASSERT(mergeAll(directory.all()).digest() == directory.digest());
        const std::uint64_t before = directory.digest();
        directory.expire(MonotonicTime(Seconds(10'000)));
        RC_ASSERT(directory.digest() == before);
    });
}

// Guards against a relay that omits a change, or sends a change that its child already has.
TEST_CASE("applying the changes since a version brings a copy up to date", "[membership]")
{
    rc::prop("a copy that applies the changes has the same content", [] {
        const auto before = *rc::gen::container<std::vector<Endpoint>>(anyRecord());
        const auto after = *rc::gen::container<std::vector<Endpoint>>(anyRecord());
        EndpointDirectory directory = mergeAll(before);
        EndpointDirectory copy = mergeAll(directory.all());
        const DirectoryVersion seen = directory.version();
        for (const Endpoint &record : after)
            directory.merge(record, MonotonicTime{});
        for (const Endpoint &record : directory.changesSince(seen))
            copy.merge(record, MonotonicTime{});
        RC_ASSERT(sortedRecords(copy) == sortedRecords(directory));
        RC_ASSERT(directory.changesSince(directory.version()).empty());
    });
}

// Guards against an old record that makes a target live again after it left.
TEST_CASE("a record of an older incarnation never replaces a tombstone", "[membership]")
{
    EndpointDirectory directory(ownRegion);
    directory.merge(recordOf(1, 2, 4, EndpointState::Leaving), MonotonicTime{});
    CHECK_FALSE(directory.merge(recordOf(1, 2, 3, EndpointState::Serving), MonotonicTime{}));
    CHECK_FALSE(directory.merge(recordOf(1, 1, 9, EndpointState::Serving), MonotonicTime{}));
    CHECK(directory.find(TargetId("t1"))->stamp.state == EndpointState::Leaving);
}

// Guards against memory that grows with the number of targets that ever existed.
TEST_CASE("tombstones expire by age and by number", "[membership]")
{
    DirectoryLimits limits;
    limits.maxTombstones = 10;
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

// Guards against a live target that stays marked Gone after its node polled late.
TEST_CASE("a live target refutes newer records that other nodes sent about it", "[membership]")
{
    rc::prop("after any received records the refutation wins and the target is Serving", [] {
        const auto records = *rc::gen::container<std::vector<Endpoint>>(anyRecord());
        Endpoint self = recordOf(1, 1, 0, EndpointState::Starting);
        EndpointAnnouncer announcer(self);
        EndpointDirectory directory(ownRegion);
        directory.merge(*announcer.report(EndpointState::Serving), MonotonicTime{});
        for (const Endpoint &record : records) {
            directory.merge(record, MonotonicTime{});
            directory.markGone(self.target, MonotonicTime{});
            if (const auto refutation = announcer.observe(*directory.find(self.target)))
                directory.merge(*refutation, MonotonicTime{});
        }
        RC_ASSERT(directory.find(self.target)->stamp == announcer.current().stamp);
        RC_ASSERT(announcer.current().stamp.state == EndpointState::Serving);
    });
}

// Guards against a leaving target that refutes the record of its own departure.
TEST_CASE("a leaving target refutes no record until it starts again", "[membership]")
{
    EndpointAnnouncer announcer(recordOf(1, 1, 0, EndpointState::Starting));
    announcer.report(EndpointState::Serving);
    const Endpoint leaving = *announcer.report(EndpointState::Leaving);
    CHECK_FALSE(announcer.report(EndpointState::Leaving).has_value());
    Endpoint gone = leaving;
    gone.stamp.state = EndpointState::Gone;
    CHECK_FALSE(announcer.observe(gone).has_value());
    const Endpoint again = *announcer.report(EndpointState::Starting);
    CHECK(again.stamp.incarnation > leaving.stamp.incarnation);
}

// Guards against traffic over the metered link between regions that grows with the number of targets.
TEST_CASE("the summary holds at most four serving targets of a service and version", "[membership]")
{
    rc::prop("a summary is bounded and holds serving targets of the own region only", [] {
        const EndpointDirectory directory = mergeAll(*rc::gen::container<std::vector<Endpoint>>(rc::gen::map(
                rc::gen::inRange(0U, 40U), [](unsigned t) { return recordOf(t, 1, 0, EndpointState::Serving); })));
        const auto summary = directory.summary();
        RC_ASSERT(summary.size() <= 4U);
        for (const Endpoint &record : summary)
            RC_ASSERT(record.region == ownRegion);
    });
}

// Guards against counts, look-ups and a summary that no longer match the records after records replaced each other.
TEST_CASE("the indexes agree with a scan of all records", "[membership]")
{
    rc::prop("counts, look-up by control address, sample and summary match the content", [] {
        const auto records = *rc::gen::container<std::vector<Endpoint>>(anyRecord());
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
        RC_ASSERT(directory.servingCount(ServiceName("ledger"), VersionName("v1")) == serving);
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

// Guards against another region that never receives the target which replaced one in the summary.
TEST_CASE("a target that enters the summary counts as changed", "[membership]")
{
    EndpointDirectory directory(ownRegion);
    for (unsigned target = 0; target < 24; target += 4)
        directory.merge(recordOf(target, 1, 0, EndpointState::Serving), MonotonicTime{});
    const std::vector<Endpoint> before = directory.summary();
    const DirectoryVersion seen = directory.version();
    directory.markGone(before.front().target, MonotonicTime{});
    const Endpoint added = directory.summary().back();
    REQUIRE(std::find(before.begin(), before.end(), added) == before.end());
    const std::vector<Endpoint> changes = directory.changesSince(seen);
    CHECK(std::find(changes.begin(), changes.end(), added) != changes.end());
    // A new stamp of a target that stays in the summary marks no other target as changed.
    const DirectoryVersion later = directory.version();
    Endpoint again = added;
    again.stamp.sequence = SequenceNumber(1);
    directory.merge(again, MonotonicTime{});
    CHECK(directory.changesSince(later) == std::vector{again});
}

// Guards against requests to targets of a region that has been unreachable for a long time.
TEST_CASE("records of another region expire without contact", "[membership]")
{
    EndpointDirectory directory(ownRegion);
    directory.merge(recordOf(3, 1, 0, EndpointState::Serving), MonotonicTime{});
    directory.merge(recordOf(1, 1, 0, EndpointState::Serving), MonotonicTime{});
    directory.recordContact(RegionName("west"), MonotonicTime(Seconds(20)));
    CHECK(directory.expire(MonotonicTime(Seconds(49))).empty());
    CHECK(directory.expire(MonotonicTime(Seconds(50))) == std::vector{TargetId("t3")});
    CHECK(directory.find(TargetId("t1")) != nullptr);
    // The region's next summary adds the record again.
    CHECK(directory.merge(recordOf(3, 1, 0, EndpointState::Serving), MonotonicTime(Seconds(60))));
}

// Guards against a target that stays in the directory after the process of its node, a child, has ended.
TEST_CASE("the target of a child that has not polled for five seconds is returned once", "[membership]")
{
    ChildLiveness children;
    children.recordPoll(NodeId("n1"), TargetId("t1"), MonotonicTime{});
    children.recordPoll(NodeId("n2"), TargetId("t2"), MonotonicTime{});
    children.recordPoll(NodeId("n3"), TargetId("t3"), MonotonicTime{});
    children.recordPoll(NodeId("n2"), TargetId("t2"), MonotonicTime(Seconds(2)));
    children.forget(NodeId("n3"));
    CHECK(children.takeTimedOut(MonotonicTime(Milliseconds(4'999))).empty());
    CHECK(children.takeTimedOut(MonotonicTime(Seconds(5))) == std::vector{TargetId("t1")});
    CHECK(children.takeTimedOut(MonotonicTime(Seconds(6))).empty());
}

} // namespace dandeliondock
