#include <dandeliondock/proxy/congestion_window.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr double reductionFactor = 0.7;
constexpr double growthPerWindow = 10'000; // bytes by which the window grows per window of transferred bytes

double transferBytes(ByteCount response)
{
    return static_cast<double>(std::max(response, minTransferSize).value());
}

bool isShort(ByteCount response)
{
    return response <= maxShortTransferSize;
}

} // namespace

bool CongestionWindow::hasRoom(ByteCount response, MonotonicTime now) const noexcept
{
    const bool isLinkTooSlow = m_lastRoundTrip > shortTransferRoundTripLimit && now - m_lastRoundTripAt < roundTripTtl;
    if (isShort(response) && !isLinkTooSlow)
        return m_shortTransferBytes + transferBytes(response) <= m_window;
    const double inFlight = m_longTransferBytes + m_shortTransferBytes;
    return inFlight == 0 || inFlight + transferBytes(response) <= m_window;
}

void CongestionWindow::startTransfer(ByteCount response) noexcept
{
    (isShort(response) ? m_shortTransferBytes : m_longTransferBytes) += transferBytes(response);
}

void CongestionWindow::endTransfer(ByteCount response) noexcept
{
    (isShort(response) ? m_shortTransferBytes : m_longTransferBytes) -= transferBytes(response);
}

void CongestionWindow::recordRoundTrip(ByteCount response, Microseconds roundTrip, MonotonicTime now) noexcept
{
    m_lastRoundTrip = roundTrip;
    m_lastRoundTripAt = now;
    if (roundTrip <= congestedRoundTrip) {
        m_window = std::min(maxCongestionWindow, m_window + growthPerWindow * transferBytes(response) / m_window);
        return;
    }
    if (now - m_reducedAt < reductionInterval)
        return;
    m_reducedAt = now;
    m_window = std::max(minCongestionWindow, m_window * reductionFactor);
}

} // namespace dandeliondock
