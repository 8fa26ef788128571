#include <dandeliondock/distribution/snapshot_admission.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr int averageWeight = 4;
constexpr Milliseconds longestHint{5'000};

} // namespace

std::optional<Milliseconds> SnapshotAdmission::admit(MonotonicTime now)
{
    if (m_serving < maxSnapshotsServed) {
        ++m_serving;
        return std::nullopt;
    }
    m_nextSlot = std::max(m_nextSlot, now + m_servingTime);
    const auto hint = std::chrono::ceil<Milliseconds>(m_nextSlot - now);
    m_nextSlot = std::min<MonotonicTime>(m_nextSlot + m_servingTime / maxSnapshotsServed, now + longestHint);
    return std::min(hint, longestHint);
}

void SnapshotAdmission::finish(MonotonicTime started, MonotonicTime now)
{
    --m_serving;
    m_servingTime += ((now - started) - m_servingTime) / averageWeight;
}

} // namespace dandeliondock
