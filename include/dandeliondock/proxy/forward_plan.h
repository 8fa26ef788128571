#pragma once

#include <dandeliondock/attempts/attempt_tracker.h>
#include <dandeliondock/attempts/retry_budget.h>
#include <dandeliondock/core/units.h>

#include <cstddef>
#include <cstdint>

namespace dandeliondock {

/// \brief Largest number of attempts of one request that may be refused, or not sent, before they reach a target. A
/// refused attempt uses no capacity of a target, but it costs a network round trip.
inline constexpr std::size_t maxRefusedAttempts = 4;

/// \brief How one attempt to forward a request through the inbound handler of a target's proxy ended.
enum class ForwardOutcome {
    Responded,  ///< the target sent a response that is not a failure (status below 500)
    Failed,     ///< the target responded with a failure of its own
    CallFailed, ///< the target responded with a failure because a call that it made had failed
    Refused,    ///< the inbound handler did not send the request to the target
    NotSent,    ///< no connection to the target's proxy, or from that proxy to the target
    NotRun,     ///< the target reported that it did not run the request
    MayHaveRun, ///< sent to the target, but no complete response arrived
    TimedOut,   ///< the deadline passed
};

/// \brief Next step for a request after an attempt.
enum class ForwardStep {
    Send,    ///< start another attempt
    Respond, ///< return the target's response to the caller
    Refuse,  ///< no attempt has run the request; the caller may retry it
    Fail     ///< an attempt may have run the request; the caller gets an error
};

/// \brief Limits on further attempts of one request.
struct ForwardPolicy
{
    bool isIdempotent = false;
    std::size_t attemptLimit = 3; ///< largest number of attempts that reach a target
    MonotonicTime deadline;
};

/// \brief Decides after each attempt whether a request is sent again. Refuse is returned only while no attempt may have
/// run the request.
///
/// \remark Not thread-safe; the retry budget may be shared.
class ForwardPlan
{
public:
    ForwardPlan(const ForwardPolicy &policy, RetryBudget &budget);

    /// \brief Records that an attempt is sent.
    void startAttempt();

    /// \brief Records the outcome of the current attempt and returns the next step. Send may take a retry from the
    /// budget.
    [[nodiscard]] ForwardStep conclude(ForwardOutcome outcome, MonotonicTime now);

    /// \brief Returns how the request ends without another attempt: Refuse or Fail.
    [[nodiscard]] ForwardStep giveUp() const;

    /// \brief Whether an earlier attempt reached a target.
    [[nodiscard]] bool hasReachedTarget() const noexcept { return m_targetAttempts > 0; }

    /// \brief Whether the retry budget refused another attempt.
    [[nodiscard]] bool isBudgetSpent() const noexcept { return m_isBudgetSpent; }

    /// \brief Whether it is certain that no attempt has run the request.
    [[nodiscard]] bool hasNotRun() const;

private:
    [[nodiscard]] bool tryAcquireRetry(MonotonicTime now);

    ForwardPolicy m_policy;
    RetryBudget &m_budget;
    AttemptTracker m_tracker;
    std::size_t m_currentAttempt = 0;
    std::size_t m_refusedAttempts = 0; ///< attempts that were refused or not sent
    std::size_t m_targetAttempts = 0;  ///< attempts that reached a target without ending the request
    bool m_isBudgetSpent = false;
};

} // namespace dandeliondock
