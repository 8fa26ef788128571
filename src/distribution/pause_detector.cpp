#include <dandeliondock/distribution/pause_detector.h>

namespace dandeliondock {

bool PauseDetector::onTick(MonotonicTime now) noexcept
{
    const bool paused = m_lastTick && now - *m_lastTick > pauseThreshold;
    m_lastTick = now;
    return paused;
}

} // namespace dandeliondock
