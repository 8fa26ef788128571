#include <dandeliondock/proxy/inbound_queue.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

constexpr int workTimeSmoothing = 16;
constexpr std::size_t maxKnownRoutes = 1'024; // then all estimates are dropped; a few requests restore them

} // namespace

void InboundQueue::setSlots(SlotCount slots)
{
    m_slots = std::max<std::uint32_t>(1, slots.value());
    m_queue.setCapacity(std::max(minQueueCapacity, m_slots * queueCapacityPerSlot));
}

InboundQueue::WorkTime InboundQueue::expectedWork(const RouteName &route) const
{
    const auto known = m_routeWorkTimes.find(route);
    return known == m_routeWorkTimes.end() ? WorkTime{m_meanWorkTime, {}} : known->second;
}

InboundAdmission InboundQueue::admit(WaiterId id, const InboundWork &work, MonotonicTime deadline, MonotonicTime now)
{
    m_classShares.recordOffered(work.workClass, now);
    if (m_running < m_slots) {
        ++m_running;
        m_classShares.recordServed(work.workClass);
        return {};
    }
    const WorkTime time = expectedWork(work.route);
    const DrainRate rate{m_slots, m_meanWorkTime, time.deviation * workDeviations};
    const Microseconds expectedWait = m_queue.expectedWait(work.workClass, rate);
    const bool isTooLong = work.maxWait.count() > 0 && expectedWait > work.maxWait;
    if (isTooLong || m_classShares.isServedBeforeUrgent(work.workClass))
        return {InboundVerdict::Refuse, {}, expectedWait};
    QueueDecision decision = m_queue.admit(id, {work.workClass, deadline, deadline, time.mean}, rate, now);
    if (decision.isQueued)
        return {InboundVerdict::Wait, std::move(decision.displaced), {}};
    return {InboundVerdict::Refuse, std::move(decision.displaced), m_queue.expectedWait(work.workClass, rate)};
}

void InboundQueue::recordFinished(const RouteName &route, std::optional<Microseconds> workTime)
{
    --m_running;
    if (!workTime)
        return;
    m_meanWorkTime += (*workTime - m_meanWorkTime) / workTimeSmoothing;
    if (m_routeWorkTimes.size() >= maxKnownRoutes)
        m_routeWorkTimes.clear();
    WorkTime &time = m_routeWorkTimes.try_emplace(route, WorkTime{*workTime, {}}).first->second;
    const Microseconds distance = std::chrono::abs(*workTime - time.mean);
    time.mean += (*workTime - time.mean) / workTimeSmoothing;
    time.deviation += (distance - time.deviation) / workTimeSmoothing;
}

std::optional<WaiterId> InboundQueue::takeNext()
{
    if (m_running >= m_slots)
        return std::nullopt;
    const std::optional<QueuedRequest> first = m_queue.takeFirst();
    if (!first)
        return std::nullopt;
    ++m_running;
    m_classShares.recordServed(first->workClass);
    return first->id;
}

TargetLoad InboundQueue::load() const noexcept
{
    return {m_running, static_cast<std::uint32_t>(m_queue.size()), m_slots};
}

Microseconds InboundQueue::workTime(const RouteName &route) const
{
    const auto known = m_routeWorkTimes.find(route);
    return known == m_routeWorkTimes.end() ? Microseconds{0} : known->second.mean;
}

} // namespace dandeliondock
