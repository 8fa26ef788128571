#include <dandeliondock/proxy/link_window.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr double reduction = 0.7;

} // namespace

void LinkWindow::note(Microseconds way, MonotonicTime now) noexcept
{
    if (way <= congestedWay) {
        m_window = std::min(largestLinkWindow, m_window + 1.0 / m_window);
        return;
    }
    if (now - m_reducedAt < reductionPause)
        return;
    m_reducedAt = now;
    m_window = std::max(smallestLinkWindow, m_window * reduction);
}

} // namespace dandeliondock
