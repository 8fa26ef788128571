#include <dandeliondock/admission/admission_queue.h>

#include <algorithm>
#include <iterator>

namespace dandeliondock {

namespace {

std::size_t indexOf(WorkClass workClass)
{
    return static_cast<std::size_t>(workClass);
}

// Returns the waiter of the range with the least value for its work; of equal ones the one served last.
template <typename Iterator>
Iterator leastValuable(Iterator begin, Iterator end, MonotonicTime start)
{
    Iterator least = begin;
    for (Iterator item = begin; item != end; ++item) {
        if (valuePerWork(item->terms, start) <= valuePerWork(least->terms, start))
            least = item;
    }
    return least;
}

} // namespace

QueueDecision AdmissionQueue::admit(WaiterId id, const RequestTerms &terms, const DrainRate &rate, MonotonicTime now)
{
    Waiters &waiters = m_waiters.at(indexOf(terms.workClass));
    const auto isEarlier = [](MonotonicTime deadline, const Waiter &waiter) {
        return deadline < waiter.terms.softDeadline;
    };
    const auto position = std::upper_bound(waiters.begin(), waiters.end(), terms.softDeadline, isEarlier);
    Microseconds workAhead = workOfHigherClasses(terms.workClass) + rate.meanWork;
    for (auto waiter = waiters.begin(); waiter != position; ++waiter)
        workAhead += waiter->terms.work;
    QueueDecision decision;
    const MonotonicTime latestStart = terms.softDeadline - terms.work - rate.workMargin;
    if (now + workAhead / rate.slots > latestStart) {
        // One of the requests ahead may give way if it needs more work for the same value.
        const auto victim = leastValuable(waiters.begin(), position, now);
        const bool isWorthIt = victim != position
                               && valuePerWork(terms, now) > displacementGain * valuePerWork(victim->terms, now)
                               && now + (workAhead - victim->terms.work) / rate.slots <= latestStart;
        if (!isWorthIt)
            return decision;
        decision.displaced.push_back(victim->id);
        waiters.erase(victim);
    } else if (size() >= capacityFor(terms.workClass)) {
        const auto displaced = makeRoom(terms, now);
        if (!displaced)
            return decision;
        decision.displaced.push_back(*displaced);
    }
    decision.isQueued = true;
    waiters.insert(std::upper_bound(waiters.begin(), waiters.end(), terms.softDeadline, isEarlier), {id, terms});
    for (std::size_t index = indexOf(terms.workClass); index < m_waiters.size(); ++index)
        dropLate(static_cast<WorkClass>(index), rate, now, decision.displaced);
    const auto own = std::find(decision.displaced.begin(), decision.displaced.end(), id);
    if (own != decision.displaced.end()) {
        decision.displaced.erase(own);
        decision.isQueued = false;
    }
    return decision;
}

// Removes requests of a class that cannot end in time behind the others, or ones ahead of them that are worth less.
void AdmissionQueue::dropLate(WorkClass workClass, const DrainRate &rate, MonotonicTime now,
                              std::vector<WaiterId> &dropped)
{
    Waiters &waiters = m_waiters.at(indexOf(workClass));
    Microseconds workAhead = workOfHigherClasses(workClass) + rate.meanWork;
    for (auto waiter = waiters.begin(); waiter != waiters.end();) {
        const MonotonicTime start = now + workAhead / rate.slots;
        if (start + waiter->terms.work <= waiter->terms.softDeadline) {
            workAhead += waiter->terms.work;
            ++waiter;
            continue;
        }
        const auto victim = leastValuable(waiters.begin(), std::next(waiter), now);
        if (victim != waiter)
            workAhead += waiter->terms.work - victim->terms.work;
        dropped.push_back(victim->id);
        const auto next = std::distance(waiters.begin(), waiter);
        waiters.erase(victim);
        waiter = std::next(waiters.begin(), next);
    }
}

std::optional<WaiterId> AdmissionQueue::makeRoom(const RequestTerms &terms, MonotonicTime now)
{
    for (std::size_t index = m_waiters.size() - 1; index > indexOf(terms.workClass); --index) {
        Waiters &lower = m_waiters.at(index);
        if (lower.empty())
            continue;
        const auto victim = leastValuable(lower.begin(), lower.end(), now);
        const WaiterId displaced = victim->id;
        lower.erase(victim);
        return displaced;
    }
    Waiters &same = m_waiters.at(indexOf(terms.workClass));
    const auto victim = leastValuable(same.begin(), same.end(), now);
    if (victim == same.end() || valuePerWork(terms, now) <= displacementGain * valuePerWork(victim->terms, now))
        return std::nullopt;
    const WaiterId displaced = victim->id;
    same.erase(victim);
    return displaced;
}

std::optional<QueuedRequest> AdmissionQueue::takeFirst()
{
    for (Waiters &waiters : m_waiters) {
        if (waiters.empty())
            continue;
        const QueuedRequest first{waiters.front().id, waiters.front().terms.workClass};
        waiters.erase(waiters.begin());
        return first;
    }
    return std::nullopt;
}

void AdmissionQueue::withdraw(WaiterId id)
{
    for (Waiters &waiters : m_waiters)
        std::erase_if(waiters, [id](const Waiter &waiter) { return waiter.id == id; });
}

Microseconds AdmissionQueue::workOfHigherClasses(WorkClass workClass) const
{
    Microseconds work{0};
    for (std::size_t index = 0; index < indexOf(workClass); ++index) {
        for (const Waiter &waiter : m_waiters.at(index))
            work += waiter.terms.work;
    }
    return work;
}

Microseconds AdmissionQueue::expectedWait(WorkClass workClass, const DrainRate &rate) const
{
    Microseconds work = workOfHigherClasses(workClass) + rate.meanWork;
    for (const Waiter &waiter : m_waiters.at(indexOf(workClass)))
        work += waiter.terms.work;
    return work / rate.slots;
}

std::size_t AdmissionQueue::size() const noexcept
{
    std::size_t count = 0;
    for (const Waiters &waiters : m_waiters)
        count += waiters.size();
    return count;
}

// Lower classes may fill only a part of the queue, which reserves room for higher classes.
std::size_t AdmissionQueue::capacityFor(WorkClass workClass) const noexcept
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

} // namespace dandeliondock
