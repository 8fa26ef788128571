#pragma once

#include <dandeliondock/attempts/attempt_tracker.h>
#include <dandeliondock/attempts/retry_budget.h>
#include <dandeliondock/core/units.h>

#include <cstddef>
#include <cstdint>

namespace dandeliondock {

/// \brief How often a request is offered to doors that refuse it before it reaches a target. Refusals cost no target
/// anything, but each takes a way there and back.
inline constexpr std::size_t maxRefusedAttempts = 4;

/// \brief How an attempt through a door ended.
enum class ForwardOutcome {
    Answered,   ///< the target answered
    Failed,     ///< the target answered with a failure of its own
    CallFailed, ///< it answered with a failure because a call that it made had failed
    Refused,    ///< the door did not pass the request on
    NotSent,    ///< the door was not reached
    NotRun,     ///< the target said that it did not run the request
    MayHaveRun, ///< passed on, and no whole answer came
    TimedOut,   ///< the deadline passed
};

/// \brief What happens next to a request.
enum class ForwardStep { Send, Respond, Refuse, Fail };

/// \brief Terms on which a request may be sent again.
struct ForwardPolicy
{
    bool isIdempotent = false;
    std::size_t attemptLimit = 3; ///< most targets that the request is sent to
    MonotonicTime deadline;
};

/// \brief Decides whether a request is sent again. A refusal that the request has not run is true: the ledger permits
/// it only while no attempt may have run.
///
/// \remark Belongs to one thread; the budget is shared.
class ForwardPlan
{
public:
    ForwardPlan(const ForwardPolicy &terms, RetryBudget &budget);

    /// \brief An attempt begins.
    void begin();

    /// \brief The attempt in progress ended.
    [[nodiscard]] ForwardStep conclude(ForwardOutcome outcome, MonotonicTime now);

    /// \brief No target can be had for another attempt: how the request ends.
    [[nodiscard]] ForwardStep giveUp() const;

    /// \brief Whether an attempt has reached a target.
    [[nodiscard]] bool hasReachedTarget() const noexcept { return m_reached > 0; }

    /// \brief Whether the budget refused another attempt.
    [[nodiscard]] bool isBudgetSpent() const noexcept { return m_isBudgetSpent; }

    /// \brief Whether no attempt can have run the request.
    [[nodiscard]] bool hasNotRun() const;

private:
    [[nodiscard]] bool mayReachAnotherTarget(MonotonicTime now);

    ForwardPolicy m_terms;
    RetryBudget &m_budget;
    AttemptTracker m_ledger;
    std::size_t m_current = 0;
    std::size_t m_offers = 0;  ///< attempts that ended at a door
    std::size_t m_reached = 0; ///< attempts that reached a target
    bool m_isBudgetSpent = false;
};

} // namespace dandeliondock
