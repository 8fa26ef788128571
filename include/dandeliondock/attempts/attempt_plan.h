#pragma once

#include <dandeliondock/attempts/attempt_tracker.h>
#include <dandeliondock/attempts/deadline.h>
#include <dandeliondock/attempts/retry_budget.h>

#include <cstddef>
#include <optional>

namespace dandeliondock {

/// \brief Most attempts at one request, including hedges.
inline constexpr std::size_t maxAttempts = 3;

/// \brief What the caller of AttemptPlan does next.
enum class AttemptStep {
    Send,    ///< select a target and start another attempt
    Wait,    ///< wait for the attempts in progress
    Respond, ///< end the request with the response of an attempt
    Refuse,  ///< end the request with an error that reports the verdict
};

/// \brief Next step for a request, with its data.
struct AttemptAction
{
    AttemptStep step = AttemptStep::Wait;
    std::size_t attempt = 0;                          ///< with Respond: the attempt whose response is used
    ExecutionState verdict = ExecutionState::NotSent; ///< with Refuse: what is known about the execution
};

/// \brief State machine that decides on attempts, retries and hedges of one request from the results of its attempts.
///
/// \remark Used by one thread; the budget is shared between threads.
class AttemptPlan
{
public:
    AttemptPlan(bool idempotent, Deadline deadline, std::optional<Microseconds> hedgeDelay, RetryBudget &budget)
        : m_idempotent(idempotent), m_deadline(deadline), m_hedgeDelay(hedgeDelay), m_budget(budget),
          m_tracker(idempotent)
    {
    }

    /// \brief Returns the first action and counts the request in the budget.
    [[nodiscard]] AttemptAction start(MonotonicTime now);

    /// \brief Registers a started attempt and returns its index.
    /// \pre The last action was Send.
    std::size_t startAttempt(MonotonicTime now);

    /// \brief Records that the attempt may have been sent.
    /// \pre \c attempt came from startAttempt().
    void markSent(std::size_t attempt) { m_tracker.markSent(attempt); }

    /// \brief Records that no target was available for the attempt requested by Send, and returns the next action.
    [[nodiscard]] AttemptAction recordNoTarget();

    /// \brief Records the result of an attempt and returns the next action.
    /// \pre \c attempt came from startAttempt().
    [[nodiscard]] AttemptAction conclude(std::size_t attempt, AttemptResult result, MonotonicTime now);

    /// \brief Returns the action that is due at \c now: Refuse after the deadline, Send when a hedge is due and
    /// allowed, otherwise Wait.
    [[nodiscard]] AttemptAction tick(MonotonicTime now);

    /// \brief Returns the time at which tick() should be called next.
    [[nodiscard]] MonotonicTime nextTick() const;

    /// \brief Returns the execution state of the request as a whole, as reported to the caller.
    [[nodiscard]] ExecutionState verdict() const { return m_tracker.verdict(); }

private:
    [[nodiscard]] bool allowsAnotherAttempt(MonotonicTime now) const;
    [[nodiscard]] AttemptAction refuse() const { return {AttemptStep::Refuse, 0, m_tracker.verdict()}; }

    bool m_idempotent;
    Deadline m_deadline;
    std::optional<Microseconds> m_hedgeDelay;
    RetryBudget &m_budget;
    AttemptTracker m_tracker;
    std::optional<MonotonicTime> m_hedgeAt;
};

} // namespace dandeliondock
