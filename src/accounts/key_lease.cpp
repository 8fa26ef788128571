#include <dandeliondock/accounts/key_lease.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

Milliseconds keyLeaseDuration(Milliseconds bound) noexcept
{
    const Milliseconds reserve = std::max(minKeyLeaseReserve, bound / keyLeaseReserveDivisor);
    return std::max(Milliseconds{0}, bound - reserve);
}

bool isConfirmationOld(std::optional<BootTime> confirmedAt, Milliseconds bound, BootTime now) noexcept
{
    return !confirmedAt || now - *confirmedAt > bound * oldConfirmationTenths / 10;
}

KeyLease::KeyLease(std::optional<Milliseconds> bound)
{
    if (bound)
        m_duration = keyLeaseDuration(*bound);
}

bool KeyLease::confirm(BootTime confirmedAt, BootTime now)
{
    const BootTime confirmed = std::min(confirmedAt, now);
    if (!m_confirmedAt || confirmed > *m_confirmedAt)
        m_confirmedAt = confirmed;
    return isHeld(now) && std::exchange(m_isLossRecorded, false);
}

bool KeyLease::isHeld(BootTime now) const
{
    return !m_duration || (m_confirmedAt && now - *m_confirmedAt < *m_duration);
}

bool KeyLease::recordLoss()
{
    return !std::exchange(m_isLossRecorded, true);
}

} // namespace dandeliondock
