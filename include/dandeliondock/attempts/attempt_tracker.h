#pragma once

#include <dandeliondock/routing/routing_hooks.h>

#include <cstddef>
#include <vector>

namespace dandeliondock {

/// \brief What is known of a request or of one attempt at it.
enum class ExecutionState {
    NotSent,    ///< nothing left the node
    MayHaveRun, ///< sent, and no whole answer came
    NotRun,     ///< the target said that it did not run it
    Responded,  ///< a whole answer came
};

/// \brief What each attempt at one request may have caused.
///
/// \remark Belongs to one thread.
class AttemptTracker
{
public:
    explicit AttemptTracker(bool idempotent) : m_idempotent(idempotent) {}

    /// \brief Adds an attempt in the state NotSent; its index.
    std::size_t startAttempt();

    /// \brief The attempt may have left the node. A concluded attempt keeps its state.
    /// \pre \c attempt came from startAttempt().
    void markSent(std::size_t attempt);

    /// \brief The end of an attempt.
    /// \pre \c attempt came from startAttempt().
    void conclude(std::size_t attempt, AttemptResult result);

    /// \brief Whether a further attempt cannot run a non-idempotent request a second time.
    [[nodiscard]] bool allowsRetry() const;

    /// \brief What the caller is told of the request as a whole.
    [[nodiscard]] ExecutionState verdict() const;

    [[nodiscard]] std::size_t attempts() const noexcept { return m_states.size(); }

    /// \brief Number of attempts without an end.
    [[nodiscard]] std::size_t open() const noexcept { return m_open; }

private:
    struct Entry
    {
        ExecutionState state = ExecutionState::NotSent;
        bool concluded = false;
    };

    bool m_idempotent;
    std::size_t m_open = 0;
    std::vector<Entry> m_states;
};

} // namespace dandeliondock
