#include <dandeliondock/proxy/door_queue.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr int workSmoothing = 16;

} // namespace

void DoorQueue::setSlots(SlotCount slots)
{
    m_slots = std::max<std::uint32_t>(1, slots.value());
    m_queue.setCapacity(std::max(smallestQueue, m_slots * queuePerSlot));
}

QueuePace DoorQueue::pace() const noexcept
{
    return {m_meanWork / m_slots, m_meanWork};
}

DoorAdmission DoorQueue::offer(WaiterId id, WorkClass workClass, MonotonicTime deadline, MonotonicTime now)
{
    if (m_running < m_slots) {
        ++m_running;
        return {};
    }
    const Admission admission = m_queue.offer(id, workClass, deadline, now, pace());
    if (admission.verdict == AdmissionVerdict::Queued)
        return {DoorVerdict::Wait, admission.displaced, {}};
    const auto turns = static_cast<std::int64_t>(m_queue.size()) + 1;
    return {DoorVerdict::Refuse, std::nullopt, pace().perTurn * turns};
}

void DoorQueue::finished(std::optional<Microseconds> worked)
{
    --m_running;
    if (worked)
        m_meanWork += (*worked - m_meanWork) / workSmoothing;
}

std::optional<WaiterId> DoorQueue::next()
{
    if (m_running >= m_slots)
        return std::nullopt;
    const std::optional<WaiterId> id = m_queue.takeFirst();
    if (id)
        ++m_running;
    return id;
}

DoorLoad DoorQueue::load() const noexcept
{
    return {m_running, static_cast<std::uint32_t>(m_queue.size()), m_slots};
}

} // namespace dandeliondock
