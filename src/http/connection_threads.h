#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <list>
#include <mutex>
#include <pthread.h>

namespace dandeliondock::impl {

/// \brief A thread for each connection of a server, with a small stack. Every method is thread-safe.
class ConnectionThreads
{
public:
    ConnectionThreads() = default;
    ~ConnectionThreads() { joinAll(); }
    ConnectionThreads(const ConnectionThreads &) = delete;
    ConnectionThreads &operator=(const ConnectionThreads &) = delete;

    /// \brief Runs \c work on a thread of its own, and joins threads that have ended.
    /// \return False if the system has no further thread.
    [[nodiscard]] bool start(std::function<void()> work);

    /// \brief Blocks until fewer than \c limit threads run or isStopped() is true.
    void waitBelow(std::size_t limit);

    void stop();
    [[nodiscard]] bool isStopped() const;

    /// \brief Waits until all threads have ended.
    void joinAll();

private:
    struct Worker
    {
        ConnectionThreads *owner;
        std::function<void()> work;
        pthread_t thread{};
        bool hasEnded = false;
    };

    static void *run(void *worker);
    void joinEnded();

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::list<Worker> m_workers;
    std::size_t m_running = 0;
    bool m_isStopped = false;
};

} // namespace dandeliondock::impl
