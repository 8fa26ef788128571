#include <dandeliondock/distribution/lease_elector.h>

namespace dandeliondock {

namespace {

// Renewals and reads are due up to 1/jitterDivisor of their interval earlier, at random, so that holders do not write
// at the same time.
constexpr int jitterDivisor = 4;
// Time beyond the lease duration for which observers wait, because clocks run at slightly different speeds.
constexpr Milliseconds clockRateMargin{500};
constexpr Milliseconds retryInterval{500};
// A node that does not hold a lease reads it less often than the holder. A node without a parent also reads the leases
// when it searches for a parent.
constexpr Milliseconds observerInterval{4'000};

} // namespace

LeaseElector::LeaseElector(NodeId self, Address controlAddress, RandomSource random, Milliseconds claimDelay)
    : m_self(std::move(self)), m_controlAddress(std::move(controlAddress)), m_random(std::move(random)),
      m_claimDelay(claimDelay)
{
}

LeaseStep LeaseElector::next(MonotonicTime now, WallTime wall)
{
    if (m_heldUntil && now >= *m_heldUntil) {
        m_heldUntil.reset();
        m_rowIsFresh = false;
        m_unchangedSince.reset();
        m_nextStepAt = now;
    }
    if (now < m_nextStepAt)
        return {LeaseAction::Wait, m_nextStepAt, {}};
    if (m_rowIsFresh && (m_heldUntil || isVacant(now)))
        return claimOrRenew(now, wall);
    return {LeaseAction::Read, {}, {}};
}

LeaseStep LeaseElector::claimOrRenew(MonotonicTime now, WallTime wall)
{
    m_rowIsFresh = false;
    m_writtenRow = m_row;
    m_writtenRow.record.holder = m_self;
    m_writtenRow.record.controlAddress = m_controlAddress;
    m_writtenRow.record.expiresAt = wall + leaseDuration;
    if (!m_heldUntil)
        m_writtenRow.record.fence = FencingToken(m_row.record.fence.value() + 1);
    m_writeStarted = now;
    return {LeaseAction::Write, {}, m_writtenRow};
}

bool LeaseElector::isVacant(MonotonicTime now) const noexcept
{
    if (!m_unchangedSince)
        return false;
    // A row written by an earlier process of this node, or for a lease that this process lost, can be claimed at once:
    // no other node acts under it, and writes that an earlier process still sends fail because of the new fencing
    // token.
    const bool isOwn = m_row.record.holder == m_self && m_row.record.controlAddress == m_controlAddress;
    const bool isUnclaimed = m_row.version == RowVersion{} || m_row.record.holder.value().empty() || isOwn;
    const Milliseconds requiredTime = isUnclaimed ? m_claimDelay : m_claimDelay + leaseDuration + clockRateMargin;
    return now - *m_unchangedSince >= requiredTime;
}

MonotonicTime LeaseElector::withJitter(MonotonicTime now, Milliseconds interval) const
{
    const auto spread = static_cast<std::uint64_t>(interval.count() / jitterDivisor);
    return now + interval - Milliseconds(uniformBelow(m_random, spread + 1));
}

void LeaseElector::onRead(const VersionedLease &row, MonotonicTime now)
{
    const bool changed = !m_unchangedSince || row.version != m_row.version;
    if (changed)
        m_unchangedSince = now;
    const bool writeTookEffect =
            m_writeStarted && row.record == m_writtenRow.record && row.version != m_writtenRow.version;
    if (writeTookEffect && now < *m_writeStarted + leaseDuration)
        m_heldUntil = *m_writeStarted + leaseDuration;
    m_writeStarted.reset();
    m_row = row;
    if (m_heldUntil && row.record.holder != m_self)
        m_heldUntil.reset();
    m_rowIsFresh = true;
    const bool mayWrite = (m_heldUntil && !writeTookEffect) || isVacant(now);
    m_nextStepAt = mayWrite ? now : withJitter(now, m_heldUntil ? leaseRenewInterval : observerInterval);
}

void LeaseElector::onReadFailed(MonotonicTime now)
{
    m_nextStepAt = withJitter(now, leaseRenewInterval);
}

void LeaseElector::onWrite(LeaseWriteResult result, MonotonicTime started, MonotonicTime now)
{
    if (!m_writeStarted)
        return;
    if (result == LeaseWriteResult::Committed) {
        // The commit does not return the row's new version, so the next renewal starts with a read.
        m_row.record = m_writtenRow.record;
        m_writeStarted.reset();
        m_heldUntil = started + leaseDuration;
        m_nextStepAt = withJitter(now, leaseRenewInterval);
        return;
    }
    if (result == LeaseWriteResult::Refused)
        m_heldUntil.reset();
    m_nextStepAt = result == LeaseWriteResult::Unavailable ? now + retryInterval : now;
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
    m_writeStarted.reset();
    m_rowIsFresh = false;
    return row;
}

} // namespace dandeliondock
