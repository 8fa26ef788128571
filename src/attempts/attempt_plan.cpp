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
    // A hedge runs beside the first attempt only; later ones are retries.
    if (m_ledger.attempts() == 0 && m_idempotent && m_hedgeDelay)
        m_hedgeAt = now + *m_hedgeDelay;
    else
        m_hedgeAt.reset();
    return m_ledger.startAttempt();
}

AttemptAction AttemptPlan::noTarget()
{
    m_hedgeAt.reset();
    return m_ledger.open() > 0 ? AttemptAction{} : refuse();
}

AttemptAction AttemptPlan::conclude(std::size_t attempt, AttemptResult result, MonotonicTime now)
{
    m_ledger.conclude(attempt, result);
    if (result == AttemptResult::Responded)
        return {AttemptStep::Answer, attempt, ExecutionState::Responded};
    if (m_ledger.open() > 0)
        return {};
    if (result == AttemptResult::Cancelled || !mayTryAgain(now) || !m_budget.tryAcquire(now))
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
    if (!mayTryAgain(now) || !m_budget.tryAcquire(now))
        return {};
    return {AttemptStep::Send, 0, ExecutionState::NotSent};
}

MonotonicTime AttemptPlan::nextTick() const
{
    return m_hedgeAt ? std::min(*m_hedgeAt, m_deadline.at()) : m_deadline.at();
}

bool AttemptPlan::mayTryAgain(MonotonicTime now) const
{
    return m_ledger.attempts() < maxAttempts && m_ledger.allowsRetry() && !m_deadline.hasPassed(now);
}

} // namespace dandeliondock
