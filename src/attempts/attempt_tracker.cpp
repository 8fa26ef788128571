#include <dandeliondock/attempts/attempt_tracker.h>

#include <algorithm>

namespace dandeliondock {

namespace {

ExecutionState stateAfter(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Responded:
        return ExecutionState::Responded;
    case AttemptResult::Shed:
        return ExecutionState::NotRun;
    case AttemptResult::NotSent:
        return ExecutionState::NotSent;
    case AttemptResult::MayHaveRun:
    case AttemptResult::TimedOut:
    case AttemptResult::Cancelled:
        break;
    }
    return ExecutionState::MayHaveRun;
}

} // namespace

std::size_t AttemptTracker::startAttempt()
{
    m_attempts.emplace_back();
    ++m_openAttempts;
    return m_attempts.size() - 1;
}

void AttemptTracker::markSent(std::size_t attempt)
{
    Entry &entry = m_attempts[attempt];
    if (!entry.concluded)
        entry.state = ExecutionState::MayHaveRun;
}

void AttemptTracker::conclude(std::size_t attempt, AttemptResult result)
{
    Entry &entry = m_attempts[attempt];
    if (entry.concluded)
        return;
    entry = {stateAfter(result), true};
    --m_openAttempts;
}

bool AttemptTracker::allowsRetry() const
{
    if (m_idempotent)
        return true;
    return std::all_of(m_attempts.begin(), m_attempts.end(), [](const Entry &entry) {
        return entry.concluded && (entry.state == ExecutionState::NotSent || entry.state == ExecutionState::NotRun);
    });
}

ExecutionState AttemptTracker::verdict() const
{
    const auto has = [this](ExecutionState state) {
        return std::any_of(m_attempts.begin(), m_attempts.end(),
                           [state](const Entry &entry) { return entry.state == state; });
    };
    for (const ExecutionState state : {ExecutionState::Responded, ExecutionState::MayHaveRun, ExecutionState::NotRun}) {
        if (has(state))
            return state;
    }
    return ExecutionState::NotSent;
}

} // namespace dandeliondock
