#include <dandeliondock/proxy/forward_plan.h>

namespace dandeliondock {

ForwardPlan::ForwardPlan(const ForwardPolicy &terms, RetryBudget &budget)
    : m_terms(terms), m_budget(budget), m_ledger(terms.isIdempotent)
{
}

void ForwardPlan::begin()
{
    m_current = m_ledger.startAttempt();
    m_ledger.markSent(m_current);
}

ForwardStep ForwardPlan::conclude(ForwardOutcome outcome, MonotonicTime now)
{
    switch (outcome) {
    // Another run makes the same calls, which were tried at several targets already.
    case ForwardOutcome::CallFailed:
    case ForwardOutcome::Answered:
        m_ledger.conclude(m_current, AttemptResult::Responded);
        return ForwardStep::Respond;
    case ForwardOutcome::Failed:
        m_ledger.conclude(m_current, AttemptResult::Responded);
        ++m_reached;
        return m_terms.isIdempotent && mayReachAnotherTarget(now) ? ForwardStep::Send : ForwardStep::Respond;
    case ForwardOutcome::NotSent:
    case ForwardOutcome::Refused:
        m_ledger.conclude(m_current, outcome == ForwardOutcome::NotSent ? AttemptResult::NotSent : AttemptResult::Shed);
        ++m_offers;
        if (m_offers < maxRefusedAttempts && now < m_terms.deadline && m_ledger.allowsRetry())
            return ForwardStep::Send;
        return giveUp();
    case ForwardOutcome::NotRun:
        m_ledger.conclude(m_current, AttemptResult::Shed);
        ++m_reached;
        return mayReachAnotherTarget(now) ? ForwardStep::Send : giveUp();
    case ForwardOutcome::MayHaveRun:
        m_ledger.conclude(m_current, AttemptResult::MayHaveRun);
        ++m_reached;
        return mayReachAnotherTarget(now) ? ForwardStep::Send : giveUp();
    case ForwardOutcome::TimedOut:
        m_ledger.conclude(m_current, AttemptResult::TimedOut);
        return giveUp();
    }
    return giveUp();
}

bool ForwardPlan::mayReachAnotherTarget(MonotonicTime now)
{
    if (m_reached >= m_terms.attemptLimit || now >= m_terms.deadline || !m_ledger.allowsRetry())
        return false;
    m_isBudgetSpent = !m_budget.tryAcquire(now);
    return !m_isBudgetSpent;
}

ForwardStep ForwardPlan::giveUp() const
{
    return hasNotRun() ? ForwardStep::Refuse : ForwardStep::Fail;
}

bool ForwardPlan::hasNotRun() const
{
    const ExecutionState state = m_ledger.verdict();
    return state == ExecutionState::NotSent || state == ExecutionState::NotRun;
}

} // namespace dandeliondock
