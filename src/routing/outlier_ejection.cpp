#include <dandeliondock/routing/outlier_ejection.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr int doublingsToCap = 6;
static_assert(firstEjection * (1 << doublingsToCap) >= longestEjection);

Milliseconds ejectionTime(int earlier)
{
    return std::min(longestEjection, firstEjection * (1 << std::min(earlier, doublingsToCap)));
}

} // namespace

void OutlierEjection::succeeded(bool isTrial) noexcept
{
    m_failures = 0;
    // An answer to a request sent before the ejection shows nothing of the target after it.
    if (m_ejected && !isTrial)
        return;
    m_ejected = false;
    m_trialRuns = false;
    m_ejections = 0;
}

bool OutlierEjection::failed(bool isRefusal, bool isTrial, MonotonicTime now) noexcept
{
    if (m_ejected) {
        if (isTrial)
            eject(now);
        return false;
    }
    ++m_failures;
    return isRefusal || m_failures >= failuresToEject;
}

void OutlierEjection::eject(MonotonicTime now) noexcept
{
    m_ejected = true;
    m_trialRuns = false;
    m_failures = 0;
    m_until = now + ejectionTime(m_ejections);
    ++m_ejections;
}

} // namespace dandeliondock
