#include <dandeliondock/distribution/pause_detector.h>

namespace dandeliondock {

bool PauseDetector::onTick(MonotonicTime now) noexcept
{
    const bool paused = m_last && now - *m_last > pauseThreshold;
    m_last = now;
    return paused;
}

} // namespace dandeliondock
