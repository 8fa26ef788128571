#pragma once

#include <dandeliondock/routing/routing_hooks.h>

#include <cstddef>
#include <vector>

namespace dandeliondock {

/// \brief What is known about whether a target executed a request, or one attempt at it.
enum class ExecutionState {
    NotSent,    ///< nothing was sent by this node
    MayHaveRun, ///< sent, but no complete response was received
    NotRun,     ///< the target reported that it did not execute it
    Responded,  ///< a complete response was received
};

/// \brief Tracks the execution state of every attempt at one request.
///
/// \remark Used by one thread.
class AttemptTracker
{
public:
    explicit AttemptTracker(bool idempotent) : m_idempotent(idempotent) {}

    /// \brief Adds an attempt in the state NotSent and returns its index.
    std::size_t startAttempt();

    /// \brief Records that the attempt may have been sent. A concluded attempt keeps its state.
    /// \pre \c attempt came from startAttempt().
    void markSent(std::size_t attempt);

    /// \brief Records the result of an attempt. A concluded attempt keeps its first result.
    /// \pre \c attempt came from startAttempt().
    void conclude(std::size_t attempt, AttemptResult result);

    /// \brief Whether another attempt is safe: the request is idempotent, or no attempt may have been executed.
    [[nodiscard]] bool allowsRetry() const;

    /// \brief Returns the execution state of the request as a whole, as reported to the caller.
    [[nodiscard]] ExecutionState verdict() const;

    /// \brief Returns the number of attempts started so far.
    [[nodiscard]] std::size_t attempts() const noexcept { return m_attempts.size(); }

    /// \brief Returns the number of attempts that are not concluded.
    [[nodiscard]] std::size_t openAttempts() const noexcept { return m_openAttempts; }

private:
    struct Entry
    {
        ExecutionState state = ExecutionState::NotSent;
        bool concluded = false;
    };

    bool m_idempotent;
    std::size_t m_openAttempts = 0;
    std::vector<Entry> m_attempts;
};

} // namespace dandeliondock
