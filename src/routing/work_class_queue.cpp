#include <dandeliondock/routing/work_class_queue.h>

#include <algorithm>

namespace dandeliondock {

namespace {

std::size_t indexOf(WorkClass workClass)
{
    return static_cast<std::size_t>(workClass);
}

// For std::upper_bound.
constexpr auto isBefore = [](MonotonicTime deadline, const auto &waiter) { return deadline < waiter.deadline; };

} // namespace

Admission WorkClassQueue::offer(WaiterId id, WorkClass workClass, MonotonicTime deadline, MonotonicTime now,
                                const DrainEstimate &pace)
{
    const auto turns = static_cast<std::int64_t>(ahead(workClass, deadline)) + 1;
    if (now + pace.dequeueInterval * turns + pace.perRequest > deadline)
        return {AdmissionVerdict::DeadlineUnmeetable, std::nullopt};
    Admission admission;
    if (size() >= bound(workClass)) {
        admission.displaced = displaceBelow(workClass);
        if (!admission.displaced)
            return {AdmissionVerdict::Overloaded, std::nullopt};
    }
    auto &ofClass = m_waiters.at(indexOf(workClass));
    const auto place = std::upper_bound(ofClass.begin(), ofClass.end(), deadline, isBefore);
    ofClass.insert(place, {id, deadline});
    return admission;
}

std::vector<WaiterId> WorkClassQueue::order() const
{
    std::vector<WaiterId> waiters;
    waiters.reserve(size());
    for (const auto &ofClass : m_waiters) {
        for (const Waiter &waiter : ofClass)
            waiters.push_back(waiter.id);
    }
    return waiters;
}

std::optional<WaiterId> WorkClassQueue::takeFirst()
{
    for (auto &ofClass : m_waiters) {
        if (ofClass.empty())
            continue;
        const WaiterId first = ofClass.front().id;
        ofClass.erase(ofClass.begin());
        return first;
    }
    return std::nullopt;
}

void WorkClassQueue::withdraw(WaiterId id)
{
    for (auto &ofClass : m_waiters)
        std::erase_if(ofClass, [id](const Waiter &waiter) { return waiter.id == id; });
}

std::size_t WorkClassQueue::ahead(WorkClass workClass) const noexcept
{
    std::size_t count = 0;
    for (std::size_t index = 0; index <= indexOf(workClass); ++index)
        count += m_waiters[index].size();
    return count;
}

std::size_t WorkClassQueue::ahead(WorkClass workClass, MonotonicTime deadline) const noexcept
{
    const auto &ofClass = m_waiters[indexOf(workClass)];
    const auto later = std::upper_bound(ofClass.begin(), ofClass.end(), deadline, isBefore);
    return ahead(workClass) - static_cast<std::size_t>(ofClass.end() - later);
}

std::size_t WorkClassQueue::size() const noexcept
{
    return ahead(WorkClass::Deferrable);
}

// Work that can wait leaves room for work that cannot.
std::size_t WorkClassQueue::bound(WorkClass workClass) const noexcept
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

std::optional<WaiterId> WorkClassQueue::displaceBelow(WorkClass workClass)
{
    for (std::size_t index = m_waiters.size() - 1; index > indexOf(workClass); --index) {
        auto &ofClass = m_waiters.at(index);
        if (ofClass.empty())
            continue;
        const WaiterId displaced = ofClass.back().id;
        ofClass.pop_back();
        return displaced;
    }
    return std::nullopt;
}

} // namespace dandeliondock
