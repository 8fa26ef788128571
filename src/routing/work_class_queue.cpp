#include <dandeliondock/routing/work_class_queue.h>

#include <algorithm>

namespace dandeliondock {

namespace {

std::size_t indexOf(WorkClass workClass)
{
    return static_cast<std::size_t>(workClass);
}

// Comparator for std::upper_bound.
constexpr auto isBefore = [](MonotonicTime deadline, const auto &waiter) { return deadline < waiter.deadline; };

} // namespace

Admission WorkClassQueue::admit(WaiterId id, WorkClass workClass, MonotonicTime deadline, MonotonicTime now,
                                const DrainEstimate &drain)
{
    const auto departures = static_cast<std::int64_t>(countAhead(workClass, deadline)) + 1;
    if (now + drain.dequeueInterval * departures + drain.perRequest > deadline)
        return {AdmissionVerdict::DeadlineUnmeetable, std::nullopt};
    Admission admission;
    if (size() >= capacityFor(workClass)) {
        admission.displaced = displaceLowerClass(workClass);
        if (!admission.displaced)
            return {AdmissionVerdict::Overloaded, std::nullopt};
    }
    auto &classWaiters = m_waiters.at(indexOf(workClass));
    const auto position = std::upper_bound(classWaiters.begin(), classWaiters.end(), deadline, isBefore);
    classWaiters.insert(position, {id, deadline});
    return admission;
}

std::vector<WaiterId> WorkClassQueue::order() const
{
    std::vector<WaiterId> waiters;
    waiters.reserve(size());
    for (const auto &classWaiters : m_waiters) {
        for (const Waiter &waiter : classWaiters)
            waiters.push_back(waiter.id);
    }
    return waiters;
}

std::optional<WaiterId> WorkClassQueue::takeFirst()
{
    for (auto &classWaiters : m_waiters) {
        if (classWaiters.empty())
            continue;
        const WaiterId first = classWaiters.front().id;
        classWaiters.erase(classWaiters.begin());
        return first;
    }
    return std::nullopt;
}

void WorkClassQueue::withdraw(WaiterId id)
{
    for (auto &classWaiters : m_waiters)
        std::erase_if(classWaiters, [id](const Waiter &waiter) { return waiter.id == id; });
}

std::size_t WorkClassQueue::countAhead(WorkClass workClass) const noexcept
{
    std::size_t count = 0;
    for (std::size_t index = 0; index <= indexOf(workClass); ++index)
        count += m_waiters[index].size();
    return count;
}

std::size_t WorkClassQueue::countAhead(WorkClass workClass, MonotonicTime deadline) const noexcept
{
    const auto &classWaiters = m_waiters[indexOf(workClass)];
    const auto later = std::upper_bound(classWaiters.begin(), classWaiters.end(), deadline, isBefore);
    return countAhead(workClass) - static_cast<std::size_t>(classWaiters.end() - later);
}

std::size_t WorkClassQueue::size() const noexcept
{
    return countAhead(WorkClass::Deferrable);
}

// Lower classes may fill only a part of the queue, which reserves room for higher classes.
std::size_t WorkClassQueue::capacityFor(WorkClass workClass) const noexcept
{
    switch (workClass) {
    case WorkClass::Critical:
        return m_capacity;
    case WorkClass::Interactive:
        return m_capacity * 3 / 4;
    case WorkClass::Deferrable:
        return m_capacity / 2;
    }
    return 0;
}

std::optional<WaiterId> WorkClassQueue::displaceLowerClass(WorkClass workClass)
{
    for (std::size_t index = m_waiters.size() - 1; index > indexOf(workClass); --index) {
        auto &classWaiters = m_waiters.at(index);
        if (classWaiters.empty())
            continue;
        const WaiterId displaced = classWaiters.back().id;
        classWaiters.pop_back();
        return displaced;
    }
    return std::nullopt;
}

} // namespace dandeliondock
