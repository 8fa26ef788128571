#include <dandeliondock/config/config_lease.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

Milliseconds configLeaseDuration(Milliseconds bound) noexcept
{
    const Milliseconds reserve = std::max(minConfigLeaseReserve, bound / configLeaseReserveDivisor);
    return std::max(Milliseconds{0}, bound - reserve);
}

bool isConfirmationOld(std::optional<BootTime> confirmedAt, Milliseconds bound, BootTime now) noexcept
{
    return !confirmedAt || now - *confirmedAt > bound * oldConfirmationTenths / 10;
}

ConfigLease::ConfigLease(std::optional<Milliseconds> bound)
{
    if (bound)
        m_duration = configLeaseDuration(*bound);
}

bool ConfigLease::confirm(BootTime confirmedAt, BootTime now)
{
    const BootTime confirmed = std::min(confirmedAt, now);
    if (!m_confirmedAt || confirmed > *m_confirmedAt)
        m_confirmedAt = confirmed;
    return isHeld(now) && std::exchange(m_isLossRecorded, false);
}

bool ConfigLease::isHeld(BootTime now) const
{
    return !m_duration || (m_confirmedAt && now - *m_confirmedAt < *m_duration);
}

bool ConfigLease::recordLoss()
{
    return !std::exchange(m_isLossRecorded, true);
}

} // namespace dandeliondock
