#include <dandeliondock/places/cold_pacing.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

// Part of the interval that remains after a result without a wait.
constexpr int shorterNumerator = 7;
constexpr int shorterDenominator = 10;

} // namespace

void ColdPacing::record(const ColdReport &report, MonotonicTime now)
{
    if (report.remaining.count() <= 0) {
        m_coldUntil = MonotonicTime();
        return;
    }
    const bool wasCold = isCold(now);
    const bool hadTurn = wasCold && std::exchange(m_hasTurn, true);
    m_coldUntil = now + report.remaining;
    Microseconds interval = std::max(report.interval, report.wait);
    if (wasCold && report.wait.count() == 0)
        interval = std::max<Microseconds>(report.interval, m_interval * shorterNumerator / shorterDenominator);
    // Of several results that arrived since the last request, the earliest time counts.
    const MonotonicTime turn = now + report.wait;
    m_nextAt = hadTurn ? std::min(m_nextAt, turn) : turn;
    m_interval = hadTurn ? std::min(m_interval, interval) : interval;
    m_hasTurn = true;
}

Microseconds ColdPacing::timeToSend(MonotonicTime now) const noexcept
{
    return maySend(now) ? Microseconds{0} : std::min(m_nextAt, m_coldUntil) - now;
}

void ColdPacing::recordSent(MonotonicTime now)
{
    m_hasTurn = false;
    if (isCold(now))
        m_nextAt = now + m_interval;
}

} // namespace dandeliondock
