#include <dandeliondock/distribution/snapshot_admission.h>

#include <algorithm>

namespace dandeliondock {

namespace {

// A new sample has a weight of 1 / averageDivisor in the moving average of the serving time.
constexpr int averageDivisor = 4;
constexpr Milliseconds maxRetryDelay{5'000};

} // namespace

std::optional<Milliseconds> SnapshotAdmission::admit(MonotonicTime now)
{
    if (m_servingCount < maxSnapshotsServed) {
        ++m_servingCount;
        return std::nullopt;
    }
    m_nextSlot = std::max(m_nextSlot, now + m_averageServingTime);
    const auto retryDelay = std::chrono::ceil<Milliseconds>(m_nextSlot - now);
    m_nextSlot = std::min<MonotonicTime>(m_nextSlot + m_averageServingTime / maxSnapshotsServed, now + maxRetryDelay);
    return std::min(retryDelay, maxRetryDelay);
}

void SnapshotAdmission::finish(MonotonicTime started, MonotonicTime now)
{
    --m_servingCount;
    m_averageServingTime += ((now - started) - m_averageServingTime) / averageDivisor;
}

} // namespace dandeliondock
