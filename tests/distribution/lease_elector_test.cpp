#include <dandeliondock/distribution/lease_elector.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

constexpr MonotonicTime start{Seconds(100)};

LeaseElector makeElector(const char *node, std::uint64_t seed = 1)
{
    return LeaseElector(NodeId(node), Address(node), seededRandom(seed));
}

// Claims the absent row and returns the row that the table holds afterwards.
VersionedLease claimAbsentRow(LeaseElector &elector, MonotonicTime now)
{
    elector.onRead(VersionedLease(), now);
    const LeaseStep step = elector.next(now, WallTime());
    REQUIRE(step.action == LeaseAction::Write);
    return {step.write.record, RowVersion(7)};
}

} // namespace

// Guards against a holder that still acts under its lease after a pause that lasted beyond the lease's expiry.
TEST_CASE("a holder that was paused beyond the expiry no longer holds the lease", "[distribution]")
{
    LeaseElector elector = makeElector("n1");
    claimAbsentRow(elector, start);
    SECTION("paused after the response")
    {
        elector.onWrite(LeaseWriteResult::Committed, start, start);
        CHECK(elector.held(start + leaseDuration - Milliseconds(1)));
        CHECK_FALSE(elector.held(start + leaseDuration));
    }
    SECTION("paused between the write and its response")
    {
        elector.onWrite(LeaseWriteResult::Committed, start, start + leaseDuration);
        CHECK_FALSE(elector.held(start + leaseDuration));
        CHECK_FALSE(elector.release(start + leaseDuration).has_value());
    }
}

// Guards against a claim whose response is lost and that is then neither used nor given up.
TEST_CASE("reading the row settles a claim whose response was lost", "[distribution]")
{
    LeaseElector elector = makeElector("n1");
    const VersionedLease row = claimAbsentRow(elector, start);
    elector.onWrite(LeaseWriteResult::Unknown, start, start + Milliseconds(100));
    CHECK_FALSE(elector.held(start + Milliseconds(100)));
    SECTION("the claim took effect")
    {
        elector.onRead(row, start + Milliseconds(200));
        CHECK(elector.held(start + Milliseconds(200)));
        CHECK_FALSE(elector.held(start + leaseDuration));
    }
    SECTION("the claim did not take effect")
    {
        elector.onRead(VersionedLease(), start + Milliseconds(200));
        CHECK_FALSE(elector.held(start + Milliseconds(200)));
    }
}

// Guards against two holders with the same fencing token, whose writes could not be told apart.
TEST_CASE("every new holder has a higher fencing token and renewals keep it", "[distribution]")
{
    LeaseElector first = makeElector("n1");
    VersionedLease row = claimAbsentRow(first, start);
    first.onWrite(LeaseWriteResult::Committed, start, start);
    first.onRead(row, start + leaseRenewInterval);
    const LeaseStep renewal = first.next(start + leaseRenewInterval, WallTime());
    REQUIRE(renewal.action == LeaseAction::Write);
    CHECK(renewal.write.record.fence == row.record.fence);
    CHECK(renewal.write.version == row.version);

    LeaseElector second = makeElector("n2");
    second.onRead(row, start);
    CHECK(second.next(start + leaseDuration, WallTime()).action != LeaseAction::Write);
    const MonotonicTime later = start + leaseDuration + Milliseconds(500);
    second.onRead(row, later);
    const LeaseStep claim = second.next(later, WallTime());
    REQUIRE(claim.action == LeaseAction::Write);
    CHECK(claim.write.record.fence > row.record.fence);
}

// Guards against a restarted node whose subtree has no path until the lease of its earlier process has expired.
TEST_CASE("a restarted holder claims its own lease at once with a higher fencing token", "[distribution]")
{
    LeaseElector former = makeElector("n1");
    const VersionedLease row = claimAbsentRow(former, start);
    LeaseElector restarted = makeElector("n1", 2);
    restarted.onRead(row, start);
    const LeaseStep claim = restarted.next(start, WallTime());
    REQUIRE(claim.action == LeaseAction::Write);
    CHECK(claim.write.record.fence > row.record.fence);
    CHECK(claim.write.version == row.version);
}

// Guards against lease holders that all renew at the same time, and against a renewal later than the interval.
TEST_CASE("renewals are spread over the last quarter of their interval", "[distribution]")
{
    rc::prop("the next step is due in the last quarter of the interval", [](std::uint64_t seed) {
        LeaseElector elector = makeElector("n1", seed);
        claimAbsentRow(elector, start);
        elector.onWrite(LeaseWriteResult::Committed, start, start);
        const LeaseStep step = elector.next(start, WallTime());
        RC_ASSERT(step.action == LeaseAction::Wait);
        RC_ASSERT(step.until >= start + leaseRenewInterval - leaseRenewInterval / 4);
        RC_ASSERT(step.until <= start + leaseRenewInterval);
    });
}

} // namespace dandeliondock
