#include <dandeliondock/proxy/forward_plan.h>

namespace dandeliondock {

ForwardPlan::ForwardPlan(const ForwardTerms &terms, RetryBudget &budget)
    : m_terms(terms), m_budget(budget), m_ledger(terms.isIdempotent)
{
}

void ForwardPlan::begin()
{
    m_current = m_ledger.begin();
    m_ledger.markSent(m_current);
}

ForwardStep ForwardPlan::conclude(DoorOutcome outcome, MonotonicTime now)
{
    switch (outcome) {
    // Another run makes the same calls, which were tried at several targets already.
    case DoorOutcome::CallFailed:
    case DoorOutcome::Answered:
        m_ledger.conclude(m_current, AttemptResult::Answered);
        return ForwardStep::Answer;
    case DoorOutcome::Failed:
        m_ledger.conclude(m_current, AttemptResult::Answered);
        ++m_reached;
        return m_terms.isIdempotent && mayReachAnotherTarget(now) ? ForwardStep::Send : ForwardStep::Answer;
    case DoorOutcome::NotSent:
    case DoorOutcome::Refused:
        m_ledger.conclude(m_current, outcome == DoorOutcome::NotSent ? AttemptResult::NotSent : AttemptResult::Shed);
        ++m_offers;
        if (m_offers < maxOffers && now < m_terms.deadline && m_ledger.permitsAnother())
            return ForwardStep::Send;
        return giveUp();
    case DoorOutcome::NotRun:
        m_ledger.conclude(m_current, AttemptResult::Shed);
        ++m_reached;
        return mayReachAnotherTarget(now) ? ForwardStep::Send : giveUp();
    case DoorOutcome::MayHaveRun:
        m_ledger.conclude(m_current, AttemptResult::MayHaveRun);
        ++m_reached;
        return mayReachAnotherTarget(now) ? ForwardStep::Send : giveUp();
    case DoorOutcome::TimedOut:
        m_ledger.conclude(m_current, AttemptResult::TimedOut);
        return giveUp();
    }
    return giveUp();
}

bool ForwardPlan::mayReachAnotherTarget(MonotonicTime now)
{
    if (m_reached >= m_terms.attempts || now >= m_terms.deadline || !m_ledger.permitsAnother())
        return false;
    m_isBudgetSpent = !m_budget.tryTake(now);
    return !m_isBudgetSpent;
}

ForwardStep ForwardPlan::giveUp() const
{
    return hasNotRun() ? ForwardStep::Refuse : ForwardStep::Fail;
}

bool ForwardPlan::hasNotRun() const
{
    const RunState state = m_ledger.verdict();
    return state == RunState::NotSent || state == RunState::NotRun;
}

} // namespace dandeliondock
