#include <dandeliondock/distribution/lease_elector.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

constexpr MonotonicTime start{Seconds(100)};

LeaseElector leaseOf(const char *node, std::uint64_t seed = 1)
{
    return LeaseElector(NodeId(node), Address(node), seededRandom(seed));
}

// Claims the absent row at start; the row that the table then holds.
VersionedLease claimAt(LeaseElector &lease, MonotonicTime now)
{
    lease.onRead(VersionedLease(), now);
    const LeaseStep step = lease.next(now, WallTime());
    REQUIRE(step.action == LeaseAction::Write);
    return {step.write.record, RowVersion(7)};
}

} // namespace

// Guards against a holder that carries on its duty after a pause that outlasted its term.
TEST_CASE("a holder paused past its term has lost the lease when it wakes", "[distribution]")
{
    LeaseElector lease = leaseOf("n1");
    claimAt(lease, start);
    SECTION("paused after the answer")
    {
        lease.onWrite(LeaseWriteResult::Committed, start, start);
        CHECK(lease.held(start + leaseDuration - Milliseconds(1)));
        CHECK_FALSE(lease.held(start + leaseDuration));
    }
    SECTION("paused between the write and its answer")
    {
        lease.onWrite(LeaseWriteResult::Committed, start, start + leaseDuration);
        CHECK_FALSE(lease.held(start + leaseDuration));
        CHECK_FALSE(lease.release(start + leaseDuration).has_value());
    }
}

// Guards against a claim that loses its answer and is then neither used nor given up.
TEST_CASE("a claim with a lost answer is settled by reading the row", "[distribution]")
{
    LeaseElector lease = leaseOf("n1");
    const VersionedLease row = claimAt(lease, start);
    lease.onWrite(LeaseWriteResult::Unknown, start, start + Milliseconds(100));
    CHECK_FALSE(lease.held(start + Milliseconds(100)));
    SECTION("it took effect")
    {
        lease.onRead(row, start + Milliseconds(200));
        CHECK(lease.held(start + Milliseconds(200)));
        CHECK_FALSE(lease.held(start + leaseDuration));
    }
    SECTION("it did not")
    {
        lease.onRead(VersionedLease(), start + Milliseconds(200));
        CHECK_FALSE(lease.held(start + Milliseconds(200)));
    }
}

// Guards against two holders under one fence, which a fenced write could not tell apart.
TEST_CASE("every new holder has a higher fence and renewals keep it", "[distribution]")
{
    LeaseElector first = leaseOf("n1");
    VersionedLease row = claimAt(first, start);
    first.onWrite(LeaseWriteResult::Committed, start, start);
    first.onRead(row, start + leaseRenewInterval);
    const LeaseStep renewal = first.next(start + leaseRenewInterval, WallTime());
    REQUIRE(renewal.action == LeaseAction::Write);
    CHECK(renewal.write.record.fence == row.record.fence);
    CHECK(renewal.write.version == row.version);

    LeaseElector second = leaseOf("n2");
    second.onRead(row, start);
    CHECK(second.next(start + leaseDuration, WallTime()).action != LeaseAction::Write);
    const MonotonicTime later = start + leaseDuration + Milliseconds(500);
    second.onRead(row, later);
    const LeaseStep claim = second.next(later, WallTime());
    REQUIRE(claim.action == LeaseAction::Write);
    CHECK(claim.write.record.fence > row.record.fence);
}

// Guards against a restarted node that leaves its subtree without a top until its own former lease has lapsed.
TEST_CASE("a restarted holder claims its own lease at once under a higher fence", "[distribution]")
{
    LeaseElector former = leaseOf("n1");
    const VersionedLease row = claimAt(former, start);
    LeaseElector restarted = leaseOf("n1", 2);
    restarted.onRead(row, start);
    const LeaseStep claim = restarted.next(start, WallTime());
    REQUIRE(claim.action == LeaseAction::Write);
    CHECK(claim.write.record.fence > row.record.fence);
    CHECK(claim.write.version == row.version);
}

// Guards against renewals in step and against renewals later than planned.
TEST_CASE("renewals are spread over a quarter of their interval", "[distribution]")
{
    rc::prop("the next step is due in the last quarter of the interval", [](std::uint64_t seed) {
        LeaseElector lease = leaseOf("n1", seed);
        claimAt(lease, start);
        lease.onWrite(LeaseWriteResult::Committed, start, start);
        const LeaseStep step = lease.next(start, WallTime());
        RC_ASSERT(step.action == LeaseAction::Wait);
        RC_ASSERT(step.until >= start + leaseRenewInterval - leaseRenewInterval / 4);
        RC_ASSERT(step.until <= start + leaseRenewInterval);
    });
}

} // namespace dandeliondock
