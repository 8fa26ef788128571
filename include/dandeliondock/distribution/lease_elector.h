#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/store/row_types.h>

#include <optional>

namespace dandeliondock {

inline constexpr Milliseconds leaseDuration{3'000};
inline constexpr Milliseconds leaseRenewInterval{1'000};

/// \brief A lease's row as read; absent rows have version 0.
struct VersionedLease
{
    LeaseRow record;
    RowVersion version;

    bool operator==(const VersionedLease &) const = default;
};

/// \brief A lease held: its fencing token, and when it ends unless it is renewed.
struct HeldLease
{
    FencingToken fence;
    MonotonicTime until;
};

enum class LeaseAction { Wait, Read, Write };

/// \brief What to do for a lease.
struct LeaseStep
{
    LeaseAction action = LeaseAction::Wait;
    MonotonicTime until;  ///< of Wait
    VersionedLease write; ///< of Write: the record, on condition that the row still has this version
};

enum class LeaseWriteResult { Committed, Refused, Unavailable, Unknown };

/// \brief A leased duty: claims a vacant lease, renews it and gives it up in time.
///
/// \remark One thread at a time. The term counts from before the write was sent, on the monotonic clock, so a holder
/// that was paused past its term finds held() false before it acts. A row is vacant when it is released or when its
/// version has not changed for a term on the observer's clock; the clocks of instances are not compared.
class LeaseElector
{
public:
    /// \param reluctance how much longer than others this process leaves a vacant lease to them.
    LeaseElector(NodeId self, Address controlAddress, RandomSource random, Milliseconds claimDelay = Milliseconds(0));

    [[nodiscard]] LeaseStep next(MonotonicTime now, WallTime wall);

    void onRead(const VersionedLease &row, MonotonicTime now);
    void onReadFailed(MonotonicTime now);

    /// \pre next() returned Write at \c started.
    void onWrite(LeaseWriteResult result, MonotonicTime started, MonotonicTime now);

    /// \brief Whether the duty may be carried out at \c now.
    [[nodiscard]] bool held(MonotonicTime now) const noexcept;

    /// \brief End of the term as far as it is certain; empty when the lease is not held.
    [[nodiscard]] const std::optional<MonotonicTime> &heldUntil() const noexcept { return m_heldUntil; }

    /// \brief The token to condition writes under the lease on.
    /// \pre held() at the time of use.
    [[nodiscard]] FencingToken fence() const noexcept { return m_row.record.fence; }

    /// \brief The write that releases the lease; empty when it is not held.
    [[nodiscard]] std::optional<VersionedLease> release(MonotonicTime now);

    /// \brief Address of the holder last read; empty when unknown or vacant.
    [[nodiscard]] const Address &holderAddress() const noexcept { return m_row.record.controlAddress; }

private:
    [[nodiscard]] LeaseStep claim(MonotonicTime now, WallTime wall);
    [[nodiscard]] bool vacant(MonotonicTime now) const noexcept;
    [[nodiscard]] MonotonicTime jittered(MonotonicTime now, Milliseconds interval) const;

    NodeId m_self;
    Address m_address;
    RandomSource m_random;
    Milliseconds m_reluctance;
    VersionedLease m_row;
    VersionedLease m_attempt;
    std::optional<MonotonicTime> m_attemptStarted;
    std::optional<MonotonicTime> m_unchangedSince;
    std::optional<MonotonicTime> m_heldUntil;
    MonotonicTime m_nextAction;
    bool m_fresh = false; ///< the row was read and not yet acted on
};

} // namespace dandeliondock
