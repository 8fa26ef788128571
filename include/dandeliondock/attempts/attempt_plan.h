#pragma once

#include <dandeliondock/attempts/attempt_tracker.h>
#include <dandeliondock/attempts/deadline.h>
#include <dandeliondock/attempts/retry_budget.h>

#include <cstddef>
#include <optional>

namespace dandeliondock {

/// \brief Attempts at one request, hedges included.
inline constexpr std::size_t maxAttempts = 3;

/// \brief What to do next for a request.
enum class AttemptStep {
    Send,   ///< select a target and begin another attempt
    Wait,   ///< an attempt is in progress
    Answer, ///< pass on the answer of an attempt
    Refuse, ///< tell the caller the verdict
};

struct AttemptAction
{
    AttemptStep step = AttemptStep::Wait;
    std::size_t attempt = 0;                          ///< of Answer
    ExecutionState verdict = ExecutionState::NotSent; ///< of Refuse
};

/// \brief Decides the attempts at one request from their outcomes.
///
/// \remark Belongs to one thread; the budget is shared.
class AttemptPlan
{
public:
    AttemptPlan(bool idempotent, Deadline deadline, std::optional<Microseconds> hedgeDelay, RetryBudget &budget)
        : m_idempotent(idempotent), m_deadline(deadline), m_hedgeDelay(hedgeDelay), m_budget(budget),
          m_ledger(idempotent)
    {
    }

    /// \brief The first action; counts the request into the budget.
    [[nodiscard]] AttemptAction start(MonotonicTime now);

    /// \brief An attempt begins; its index.
    /// \pre The last action was Send.
    std::size_t startAttempt(MonotonicTime now);

    void markSent(std::size_t attempt) { m_ledger.markSent(attempt); }

    /// \brief No target could be had for the attempt that Send asked for.
    [[nodiscard]] AttemptAction noTarget();

    [[nodiscard]] AttemptAction conclude(std::size_t attempt, AttemptResult result, MonotonicTime now);

    /// \brief Time passed; asks for a hedge when one is due and allowed.
    [[nodiscard]] AttemptAction tick(MonotonicTime now);

    /// \brief When tick() should be called next.
    [[nodiscard]] MonotonicTime nextTick() const;

    /// \brief What the caller is told of the request as a whole.
    [[nodiscard]] ExecutionState verdict() const { return m_ledger.verdict(); }

private:
    [[nodiscard]] bool mayTryAgain(MonotonicTime now) const;
    [[nodiscard]] AttemptAction refuse() const { return {AttemptStep::Refuse, 0, m_ledger.verdict()}; }

    bool m_idempotent;
    Deadline m_deadline;
    std::optional<Microseconds> m_hedgeDelay;
    RetryBudget &m_budget;
    AttemptTracker m_ledger;
    std::optional<MonotonicTime> m_hedgeAt;
};

} // namespace dandeliondock
