#include <dandeliondock/proxy/inbound_queue.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr int workSmoothing = 16;
constexpr std::size_t routesKnown = 1'024; // the times are learnt again within a few requests

} // namespace

void InboundQueue::setSlots(SlotCount slots)
{
    m_slots = std::max<std::uint32_t>(1, slots.value());
    m_queue.setCapacity(std::max(smallestQueue, m_slots * queuePerSlot));
}

DrainEstimate InboundQueue::pace(const RouteName &route) const
{
    const auto known = m_routeWork.find(route);
    const Microseconds work =
            known == m_routeWork.end() ? m_meanWork : known->second.mean + known->second.deviation * workDeviations;
    return {m_meanWork / m_slots, work};
}

InboundAdmission InboundQueue::offer(WaiterId id, const InboundWork &work, MonotonicTime deadline, MonotonicTime now)
{
    if (m_running < m_slots) {
        ++m_running;
        return {};
    }
    const Admission admission = m_queue.offer(id, work.workClass, deadline, now, pace(work.route));
    if (admission.verdict == AdmissionVerdict::Queued)
        return {InboundVerdict::Wait, admission.displaced, {}};
    const auto turns = static_cast<std::int64_t>(m_queue.size()) + 1;
    return {InboundVerdict::Refuse, std::nullopt, pace(work.route).dequeueInterval * turns};
}

void InboundQueue::recordFinished(const RouteName &route, std::optional<Microseconds> worked)
{
    --m_running;
    if (!worked)
        return;
    m_meanWork += (*worked - m_meanWork) / workSmoothing;
    if (m_routeWork.size() >= routesKnown)
        m_routeWork.clear();
    WorkTime &time = m_routeWork.try_emplace(route, WorkTime{*worked, {}}).first->second;
    const Microseconds distance = std::chrono::abs(*worked - time.mean);
    time.mean += (*worked - time.mean) / workSmoothing;
    time.deviation += (distance - time.deviation) / workSmoothing;
}

std::optional<WaiterId> InboundQueue::takeNext()
{
    if (m_running >= m_slots)
        return std::nullopt;
    const std::optional<WaiterId> id = m_queue.takeFirst();
    if (id)
        ++m_running;
    return id;
}

TargetLoad InboundQueue::load() const noexcept
{
    return {m_running, static_cast<std::uint32_t>(m_queue.size()), m_slots};
}

} // namespace dandeliondock
