#pragma once

#include <csignal>

namespace dandeliondock {

/// \brief Blocks SIGTERM and SIGINT, so that one thread of a program can wait for them.
///
/// \pre Constructed by the main thread before any other thread is started, as threads inherit the blocked signals.
/// \remark The constructor also ignores SIGPIPE, so that a write to a connection closed by its peer does not end the
/// program.
class StopSignals
{
public:
    StopSignals();

    /// \brief Blocks until one of the signals arrives.
    void wait() const;

private:
    sigset_t m_signals{};
};

} // namespace dandeliondock
