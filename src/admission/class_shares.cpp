#include <dandeliondock/admission/class_shares.h>

#include <chrono>
#include <cmath>
#include <cstddef>

namespace dandeliondock {

void ClassShares::recordOffered(WorkClass workClass, MonotonicTime now)
{
    const std::chrono::duration<double> elapsed = now - m_decayedAt;
    const double remaining = std::exp(-elapsed / std::chrono::duration<double>(classShareTime));
    for (Counts &counts : m_counts) {
        counts.offered *= remaining;
        counts.served *= remaining;
    }
    m_decayedAt = now;
    m_counts.at(static_cast<std::size_t>(workClass)).offered += 1;
}

void ClassShares::recordServed(WorkClass workClass) noexcept
{
    m_counts[static_cast<std::size_t>(workClass)].served += 1;
}

bool ClassShares::isServedBeforeUrgent(WorkClass workClass) const noexcept
{
    const Counts &own = m_counts[static_cast<std::size_t>(workClass)];
    if (own.offered < minCountedRequests)
        return false;
    for (std::size_t index = 0; index < static_cast<std::size_t>(workClass); ++index) {
        const Counts &urgent = m_counts[index];
        const bool isRefused =
                urgent.offered >= minCountedRequests && urgent.served < fullyServedShare * urgent.offered;
        if (isRefused && own.served * urgent.offered > urgent.served * own.offered)
            return true;
    }
    return false;
}

} // namespace dandeliondock
