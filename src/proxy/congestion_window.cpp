#include <dandeliondock/proxy/congestion_window.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr double reduction = 0.7;
constexpr double growth = 10'000; // bytes that a window's worth of transfers adds to it

double bytesOf(ByteCount response)
{
    return static_cast<double>(std::max(response, smallestTransfer).value());
}

bool isShort(ByteCount response)
{
    return response <= shortTransfer;
}

} // namespace

bool CongestionWindow::hasRoom(ByteCount response, MonotonicTime now) const noexcept
{
    const bool isUseless = m_way > shortTransferRoundTripLimit && now - m_notedAt < roundTripTtl;
    if (isShort(response) && !isUseless)
        return m_short + bytesOf(response) <= m_window;
    const double underWay = m_long + m_short;
    return underWay == 0 || underWay + bytesOf(response) <= m_window;
}

void CongestionWindow::begin(ByteCount response) noexcept
{
    (isShort(response) ? m_short : m_long) += bytesOf(response);
}

void CongestionWindow::end(ByteCount response) noexcept
{
    (isShort(response) ? m_short : m_long) -= bytesOf(response);
}

void CongestionWindow::recordRoundTrip(ByteCount response, Microseconds way, MonotonicTime now) noexcept
{
    m_way = way;
    m_notedAt = now;
    if (way <= congestedRoundTrip) {
        m_window = std::min(maxCongestionWindow, m_window + growth * bytesOf(response) / m_window);
        return;
    }
    if (now - m_reducedAt < reductionPause)
        return;
    m_reducedAt = now;
    m_window = std::max(minCongestionWindow, m_window * reduction);
}

} // namespace dandeliondock
