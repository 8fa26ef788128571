#include <dandeliondock/proxy/forward_plan.h>

namespace dandeliondock {

ForwardPlan::ForwardPlan(const ForwardPolicy &policy, RetryBudget &budget)
    : m_policy(policy), m_budget(budget), m_tracker(policy.isIdempotent)
{
}

void ForwardPlan::startAttempt()
{
    m_currentAttempt = m_tracker.startAttempt();
    m_tracker.markSent(m_currentAttempt);
}

ForwardStep ForwardPlan::conclude(ForwardOutcome outcome, MonotonicTime now)
{
    switch (outcome) {
    // CallFailed is not retried: another run would make the same call, which was already tried at several targets.
    case ForwardOutcome::CallFailed:
    case ForwardOutcome::Responded:
        m_tracker.conclude(m_currentAttempt, AttemptResult::Responded);
        return ForwardStep::Respond;
    case ForwardOutcome::Failed:
        m_tracker.conclude(m_currentAttempt, AttemptResult::Responded);
        ++m_targetAttempts;
        return m_policy.isIdempotent && tryAcquireRetry(now) ? ForwardStep::Send : ForwardStep::Respond;
    case ForwardOutcome::NotSent:
    case ForwardOutcome::Refused:
        m_tracker.conclude(m_currentAttempt,
                           outcome == ForwardOutcome::NotSent ? AttemptResult::NotSent : AttemptResult::Shed);
        ++m_refusedAttempts;
        if (m_refusedAttempts < maxRefusedAttempts && now < m_policy.deadline && m_tracker.allowsRetry())
            return ForwardStep::Send;
        return giveUp();
    case ForwardOutcome::NotRun:
        m_tracker.conclude(m_currentAttempt, AttemptResult::Shed);
        ++m_targetAttempts;
        return tryAcquireRetry(now) ? ForwardStep::Send : giveUp();
    case ForwardOutcome::MayHaveRun:
        m_tracker.conclude(m_currentAttempt, AttemptResult::MayHaveRun);
        ++m_targetAttempts;
        return tryAcquireRetry(now) ? ForwardStep::Send : giveUp();
    case ForwardOutcome::TimedOut:
        m_tracker.conclude(m_currentAttempt, AttemptResult::TimedOut);
        return giveUp();
    }
    return giveUp();
}

bool ForwardPlan::tryAcquireRetry(MonotonicTime now)
{
    if (m_targetAttempts >= m_policy.attemptLimit || now >= m_policy.deadline || !m_tracker.allowsRetry())
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
    const ExecutionState state = m_tracker.verdict();
    return state == ExecutionState::NotSent || state == ExecutionState::NotRun;
}

} // namespace dandeliondock
