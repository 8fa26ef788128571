#include <dandeliondock/core/stop_signals.h>

namespace dandeliondock {

StopSignals::StopSignals()
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void StopSignals::wait() const
{
    int signal = 0;
    sigwait(&m_signals, &signal);
}

} // namespace dandeliondock
