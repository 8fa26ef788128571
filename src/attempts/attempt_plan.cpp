#include <dandeliondock/attempts/attempt_plan.h>

#include <algorithm>

namespace dandeliondock {

PlanAction RequestPlan::start(MonotonicTime now)
{
    m_budget.recordRequest(now);
    if (m_deadline.hasPassed(now))
        return refuse();
    return {PlanStep::Send, 0, RunState::NotSent};
}

std::size_t RequestPlan::begin(MonotonicTime now)
{
    // A hedge runs beside the first attempt only; later ones are retries.
    if (m_ledger.attempts() == 0 && m_idempotent && m_hedgeDelay)
        m_hedgeAt = now + *m_hedgeDelay;
    else
        m_hedgeAt.reset();
    return m_ledger.begin();
}

PlanAction RequestPlan::noTarget()
{
    m_hedgeAt.reset();
    return m_ledger.open() > 0 ? PlanAction{} : refuse();
}

PlanAction RequestPlan::conclude(std::size_t attempt, AttemptResult result, MonotonicTime now)
{
    m_ledger.conclude(attempt, result);
    if (result == AttemptResult::Answered)
        return {PlanStep::Answer, attempt, RunState::Answered};
    if (m_ledger.open() > 0)
        return {};
    if (result == AttemptResult::Cancelled || !mayTryAgain(now) || !m_budget.tryTake(now))
        return refuse();
    return {PlanStep::Send, 0, RunState::NotSent};
}

PlanAction RequestPlan::tick(MonotonicTime now)
{
    if (m_deadline.hasPassed(now))
        return refuse();
    if (!m_hedgeAt || now < *m_hedgeAt)
        return {};
    m_hedgeAt.reset();
    if (!mayTryAgain(now) || !m_budget.tryTake(now))
        return {};
    return {PlanStep::Send, 0, RunState::NotSent};
}

MonotonicTime RequestPlan::nextTick() const
{
    return m_hedgeAt ? std::min(*m_hedgeAt, m_deadline.at()) : m_deadline.at();
}

bool RequestPlan::mayTryAgain(MonotonicTime now) const
{
    return m_ledger.attempts() < maxAttempts && m_ledger.permitsAnother() && !m_deadline.hasPassed(now);
}

} // namespace dandeliondock
