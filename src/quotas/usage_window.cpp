#include <dandeliondock/quotas/usage_window.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr std::int64_t slicesPerWindow = 40;
// With 125 ms slices the recent rate covers 250 to 375 ms: a rise of the demand shows within one report interval.
constexpr std::int64_t recentSlices = 2;

} // namespace

UsageWindow::UsageWindow(Milliseconds window)
    : m_sliceLength(Microseconds(window) / slicesPerWindow), m_slices(slicesPerWindow + 1), m_current(0)
{
}

std::int64_t UsageWindow::sliceNumber(MonotonicTime time) const
{
    return time.time_since_epoch() / m_sliceLength;
}

UsageWindow::Slice &UsageWindow::slice(std::int64_t number)
{
    return m_slices[static_cast<std::size_t>(number) % m_slices.size()];
}

void UsageWindow::advance(MonotonicTime now)
{
    const std::int64_t target = sliceNumber(now);
    const auto count = static_cast<std::int64_t>(m_slices.size());
    for (std::int64_t number = std::max(m_current + 1, target - count + 1); number <= target; ++number) {
        Slice &expired = slice(number);
        m_offered -= expired.offered;
        m_admitted -= expired.admitted;
        expired = {};
    }
    m_current = std::max(m_current, target);
}

void UsageWindow::recordOffered(MonotonicTime now)
{
    advance(now);
    ++slice(m_current).offered;
    ++m_offered;
}

void UsageWindow::recordAdmitted(MonotonicTime now)
{
    advance(now);
    ++slice(m_current).admitted;
    ++m_admitted;
}

void UsageWindow::removeAdmitted(MonotonicTime admittedAt, MonotonicTime now)
{
    advance(now);
    const std::int64_t number = sliceNumber(admittedAt);
    if (number > m_current || number <= m_current - static_cast<std::int64_t>(m_slices.size()))
        return;
    Slice &admitting = slice(number);
    if (admitting.admitted == 0)
        return;
    --admitting.admitted;
    --m_admitted;
}

RequestAmount UsageWindow::admittedInWindow(MonotonicTime now)
{
    advance(now);
    return RequestAmount(static_cast<double>(m_admitted));
}

RequestRate UsageWindow::recentRate(std::uint32_t Slice::*count, MonotonicTime now)
{
    advance(now);
    std::uint64_t sum = 0;
    for (std::int64_t number = std::max<std::int64_t>(m_current - recentSlices, 0); number <= m_current; ++number)
        sum += slice(number).*count;
    const Microseconds covered = now.time_since_epoch() - (m_current - recentSlices) * m_sliceLength;
    return RequestRate(static_cast<double>(sum) / std::chrono::duration<double>(covered).count());
}

RequestRate UsageWindow::offeredRate(MonotonicTime now)
{
    return recentRate(&Slice::offered, now);
}

RequestRate UsageWindow::admittedRate(MonotonicTime now)
{
    return recentRate(&Slice::admitted, now);
}

bool UsageWindow::hasTraffic(MonotonicTime now)
{
    advance(now);
    return m_offered > 0;
}

} // namespace dandeliondock
