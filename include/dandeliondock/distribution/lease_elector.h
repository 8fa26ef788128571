#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/store/row_types.h>

#include <optional>

namespace dandeliondock {

/// \brief Duration of a lease, counted from before its last write was sent.
inline constexpr Milliseconds leaseDuration{3'000};
inline constexpr Milliseconds leaseRenewInterval{1'000};

/// \brief A lease row as read from the table, with its version; an absent row has version 0.
struct VersionedLease
{
    LeaseRow record;
    RowVersion version;

    bool operator==(const VersionedLease &) const = default;
};

/// \brief Fencing token of a held lease, and the time at which it expires unless it is renewed.
struct HeldLease
{
    FencingToken fence;
    MonotonicTime expiresAt;
};

enum class LeaseAction { Wait, Read, Write };

/// \brief Next step for a lease.
struct LeaseStep
{
    LeaseAction action = LeaseAction::Wait;
    MonotonicTime until;  ///< for Wait: when to call next() again
    VersionedLease write; ///< for Write: the record, conditional on the row's version
};

enum class LeaseWriteResult { Committed, Refused, Unavailable, Unknown };

/// \brief State machine that claims, renews and releases one lease.
///
/// \remark Not thread-safe. The lease duration is counted on the monotonic clock from the time before the write was
/// sent, so that held() is false for a holder that was paused beyond its expiry. A lease is vacant when its row is
/// absent, released or this process's own, or when the row's version has not changed for the lease duration and a
/// margin on the observer's clock; the clocks of different instances are not compared.
class LeaseElector
{
public:
    /// \param claimDelay extra time for which this process leaves a vacant lease to other processes.
    LeaseElector(NodeId self, Address controlAddress, RandomSource random, Milliseconds claimDelay = Milliseconds(0));

    /// \brief Returns the next step.
    [[nodiscard]] LeaseStep next(MonotonicTime now, WallTime wall);

    /// \brief Processes a row that was read. It also shows whether a write with an unknown outcome took effect.
    void onRead(const VersionedLease &row, MonotonicTime now);
    /// \brief Records that the row could not be read; the next read follows after about leaseRenewInterval.
    void onReadFailed(MonotonicTime now);

    /// \brief Processes the result of a write.
    /// \pre next() returned Write at \c started.
    void onWrite(LeaseWriteResult result, MonotonicTime started, MonotonicTime now);

    /// \brief Whether the lease is held at \c now.
    [[nodiscard]] bool held(MonotonicTime now) const noexcept;

    /// \brief Expiry of the lease according to the last write known to have taken effect; empty when it is not held.
    [[nodiscard]] const std::optional<MonotonicTime> &heldUntil() const noexcept { return m_heldUntil; }

    /// \brief Returns the fencing token for writes made under the lease.
    /// \pre held() at the time of use.
    [[nodiscard]] FencingToken fence() const noexcept { return m_row.record.fence; }

    /// \brief Gives up the lease and returns the write that releases its row; empty when the lease is not held.
    [[nodiscard]] std::optional<VersionedLease> release(MonotonicTime now);

    /// \brief Control address of the holder as last read; empty when it is unknown or the lease is released.
    [[nodiscard]] const Address &holderAddress() const noexcept { return m_row.record.controlAddress; }

private:
    [[nodiscard]] LeaseStep claimOrRenew(MonotonicTime now, WallTime wall);
    [[nodiscard]] bool isVacant(MonotonicTime now) const noexcept;
    [[nodiscard]] MonotonicTime withJitter(MonotonicTime now, Milliseconds interval) const;

    NodeId m_self;
    Address m_controlAddress;
    RandomSource m_random;
    Milliseconds m_claimDelay;
    VersionedLease m_row;
    VersionedLease m_writtenRow;
    std::optional<MonotonicTime> m_writeStarted;
    std::optional<MonotonicTime> m_unchangedSince;
    std::optional<MonotonicTime> m_heldUntil;
    MonotonicTime m_nextStepAt;
    bool m_rowIsFresh = false; ///< the row was read and no write was based on it yet
};

} // namespace dandeliondock
