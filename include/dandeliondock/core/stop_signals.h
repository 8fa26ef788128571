#pragma once

#include <csignal>

namespace dandeliondock {

/// \brief Lets one thread of a program take SIGTERM and SIGINT.
///
/// \pre Made by the main thread before any other thread is started: threads inherit the blocked signals.
/// \remark SIGPIPE is ignored, so that a peer which closes its connection does not end the program.
class StopSignals
{
public:
    StopSignals();

    /// \brief Waits for one of the signals.
    void wait() const;

private:
    sigset_t m_signals{};
};

} // namespace dandeliondock
