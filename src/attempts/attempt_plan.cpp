#include <dandeliondock/attempts/attempt_plan.h>

#include <algorithm>

namespace dandeliondock {

AttemptAction AttemptPlan::start(MonotonicTime now)
{
    m_budget.recordRequest(now);
    if (m_deadline.hasPassed(now))
        return refuse();
    return {AttemptStep::Send, 0, ExecutionState::NotSent};
}

std::size_t AttemptPlan::startAttempt(MonotonicTime now)
{
    // Only the first attempt is hedged; later attempts are retries.
    if (m_tracker.attempts() == 0 && m_idempotent && m_hedgeDelay)
        m_hedgeAt = now + *m_hedgeDelay;
    else
        m_hedgeAt.reset();
    return m_tracker.startAttempt();
}

AttemptAction AttemptPlan::recordNoTarget()
{
    m_hedgeAt.reset();
    return m_tracker.openAttempts() > 0 ? AttemptAction{} : refuse();
}

AttemptAction AttemptPlan::conclude(std::size_t attempt, AttemptResult result, MonotonicTime now)
{
    m_tracker.conclude(attempt, result);
    if (result == AttemptResult::Responded)
        return {AttemptStep::Respond, attempt, ExecutionState::Responded};
    if (m_tracker.openAttempts() > 0)
        return {};
    if (result == AttemptResult::Cancelled || !allowsAnotherAttempt(now) || !m_budget.tryAcquire(now))
        return refuse();
    return {AttemptStep::Send, 0, ExecutionState::NotSent};
}

AttemptAction AttemptPlan::tick(MonotonicTime now)
{
    if (m_deadline.hasPassed(now))
        return refuse();
    if (!m_hedgeAt || now < *m_hedgeAt)
        return {};
    m_hedgeAt.reset();
    if (!allowsAnotherAttempt(now) || !m_budget.tryAcquire(now))
        return {};
    return {AttemptStep::Send, 0, ExecutionState::NotSent};
}

MonotonicTime AttemptPlan::nextTick() const
{
    return m_hedgeAt ? std::min(*m_hedgeAt, m_deadline.at()) : m_deadline.at();
}

bool AttemptPlan::allowsAnotherAttempt(MonotonicTime now) const
{
    return m_tracker.attempts() < maxAttempts && m_tracker.allowsRetry() && !m_deadline.hasPassed(now);
}

} // namespace dandeliondock
