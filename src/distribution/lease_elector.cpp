#include <dandeliondock/distribution/lease_elector.h>

namespace dandeliondock {

namespace {

// Renewals and reads are spread by this part of their interval, so that holders do not write in step.
constexpr int jitterDivisor = 4;
// Observers wait this much longer than the term, which covers clocks of slightly different speeds.
constexpr Milliseconds claimMargin{500};
constexpr Milliseconds retryInterval{500};
// A node that only watches a lease reads less often than its holder; one without a parent reads when it looks for one.
constexpr Milliseconds observerInterval{4'000};

} // namespace

LeaseElector::LeaseElector(NodeId self, Address controlAddress, RandomSource random, Milliseconds claimDelay)
    : m_self(std::move(self)), m_address(std::move(controlAddress)), m_random(std::move(random)),
      m_reluctance(claimDelay)
{
}

LeaseStep LeaseElector::next(MonotonicTime now, WallTime wall)
{
    if (m_heldUntil && now >= *m_heldUntil) {
        m_heldUntil.reset();
        m_fresh = false;
        m_unchangedSince.reset();
        m_nextAction = now;
    }
    if (now < m_nextAction)
        return {LeaseAction::Wait, m_nextAction, {}};
    if (m_fresh && (m_heldUntil || vacant(now)))
        return claim(now, wall);
    return {LeaseAction::Read, {}, {}};
}

LeaseStep LeaseElector::claim(MonotonicTime now, WallTime wall)
{
    m_fresh = false;
    m_attempt = m_row;
    m_attempt.record.holder = m_self;
    m_attempt.record.controlAddress = m_address;
    m_attempt.record.expiresAt = wall + leaseDuration;
    if (!m_heldUntil)
        m_attempt.record.fence = FencingToken(m_row.record.fence.value() + 1);
    m_attemptStarted = now;
    return {LeaseAction::Write, {}, m_attempt};
}

bool LeaseElector::vacant(MonotonicTime now) const noexcept
{
    if (!m_unchangedSince)
        return false;
    // A row of a former process of this node, or of a term that this process lost, can be claimed at once: nobody else
    // acts under it, and the new fence refuses what a former process still writes.
    const bool isOwn = m_row.record.holder == m_self && m_row.record.controlAddress == m_address;
    const bool unclaimed = m_row.version == RowVersion{} || m_row.record.holder.value().empty() || isOwn;
    const Milliseconds wait = unclaimed ? m_reluctance : m_reluctance + leaseDuration + claimMargin;
    return now - *m_unchangedSince >= wait;
}

MonotonicTime LeaseElector::jittered(MonotonicTime now, Milliseconds interval) const
{
    const auto spread = static_cast<std::uint64_t>(interval.count() / jitterDivisor);
    return now + interval - Milliseconds(uniformBelow(m_random, spread + 1));
}

void LeaseElector::onRead(const VersionedLease &row, MonotonicTime now)
{
    const bool changed = !m_unchangedSince || row.version != m_row.version;
    if (changed)
        m_unchangedSince = now;
    const bool attempted = m_attemptStarted && row.record == m_attempt.record && row.version != m_attempt.version;
    if (attempted && now < *m_attemptStarted + leaseDuration)
        m_heldUntil = *m_attemptStarted + leaseDuration;
    m_attemptStarted.reset();
    m_row = row;
    if (m_heldUntil && row.record.holder != m_self)
        m_heldUntil.reset();
    m_fresh = true;
    const bool mayWrite = (m_heldUntil && !attempted) || vacant(now);
    m_nextAction = mayWrite ? now : jittered(now, m_heldUntil ? leaseRenewInterval : observerInterval);
}

void LeaseElector::onReadFailed(MonotonicTime now)
{
    m_nextAction = jittered(now, leaseRenewInterval);
}

void LeaseElector::onWrite(LeaseWriteResult result, MonotonicTime started, MonotonicTime now)
{
    if (!m_attemptStarted)
        return;
    if (result == LeaseWriteResult::Committed) {
        // The table does not return the row's new version, so that the next renewal begins with a read.
        m_row.record = m_attempt.record;
        m_attemptStarted.reset();
        m_heldUntil = started + leaseDuration;
        m_nextAction = jittered(now, leaseRenewInterval);
        return;
    }
    if (result == LeaseWriteResult::Refused)
        m_heldUntil.reset();
    m_nextAction = result == LeaseWriteResult::Unavailable ? now + retryInterval : now;
}

bool LeaseElector::held(MonotonicTime now) const noexcept
{
    return m_heldUntil && now < *m_heldUntil;
}

std::optional<VersionedLease> LeaseElector::release(MonotonicTime now)
{
    if (!held(now))
        return std::nullopt;
    VersionedLease row = m_row;
    row.record.holder = NodeId();
    row.record.controlAddress = Address();
    m_heldUntil.reset();
    m_attemptStarted.reset();
    m_fresh = false;
    return row;
}

} // namespace dandeliondock
