#include <dandeliondock/routing/outlier_ejection.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr int doublingsToMax = 6;
static_assert(initialEjectionTime * (1 << doublingsToMax) >= maxEjectionTime);

Milliseconds ejectionTime(int previousEjections)
{
    return std::min(maxEjectionTime, initialEjectionTime * (1 << std::min(previousEjections, doublingsToMax)));
}

} // namespace

void OutlierEjection::recordSuccess(bool isTrial) noexcept
{
    m_failures = 0;
    // A response to a request sent before the ejection is no evidence about the target's present state.
    if (m_ejected && !isTrial)
        return;
    m_ejected = false;
    m_isTrialRunning = false;
    m_ejections = 0;
}

bool OutlierEjection::recordFailure(bool isConnectionRefused, bool isTrial, MonotonicTime now) noexcept
{
    if (m_ejected) {
        if (isTrial)
            eject(now);
        return false;
    }
    ++m_failures;
    return isConnectionRefused || m_failures >= failuresToEject;
}

void OutlierEjection::eject(MonotonicTime now) noexcept
{
    m_ejected = true;
    m_isTrialRunning = false;
    m_failures = 0;
    m_endsAt = now + ejectionTime(m_ejections);
    ++m_ejections;
}

} // namespace dandeliondock
