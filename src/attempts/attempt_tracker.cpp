#include <dandeliondock/attempts/attempt_tracker.h>

#include <algorithm>

namespace dandeliondock {

namespace {

RunState stateAfter(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Answered:
        return RunState::Answered;
    case AttemptResult::Shed:
        return RunState::NotRun;
    case AttemptResult::NotSent:
        return RunState::NotSent;
    case AttemptResult::MayHaveRun:
    case AttemptResult::TimedOut:
    case AttemptResult::Cancelled:
        break;
    }
    return RunState::MayHaveRun;
}

} // namespace

std::size_t AttemptLedger::begin()
{
    m_states.emplace_back();
    ++m_open;
    return m_states.size() - 1;
}

void AttemptLedger::markSent(std::size_t attempt)
{
    Entry &entry = m_states[attempt];
    if (!entry.concluded)
        entry.state = RunState::MayHaveRun;
}

void AttemptLedger::conclude(std::size_t attempt, AttemptResult result)
{
    Entry &entry = m_states[attempt];
    if (entry.concluded)
        return;
    entry = {stateAfter(result), true};
    --m_open;
}

bool AttemptLedger::permitsAnother() const
{
    if (m_idempotent)
        return true;
    return std::all_of(m_states.begin(), m_states.end(), [](const Entry &entry) {
        return entry.concluded && (entry.state == RunState::NotSent || entry.state == RunState::NotRun);
    });
}

RunState AttemptLedger::verdict() const
{
    const auto has = [this](RunState state) {
        return std::any_of(m_states.begin(), m_states.end(),
                           [state](const Entry &entry) { return entry.state == state; });
    };
    for (const RunState state : {RunState::Answered, RunState::MayHaveRun, RunState::NotRun}) {
        if (has(state))
            return state;
    }
    return RunState::NotSent;
}

} // namespace dandeliondock
