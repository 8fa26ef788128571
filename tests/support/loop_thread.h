#pragma once

#include <dandeliondock/http/event_loop.h>

#include <functional>
#include <future>
#include <memory>
#include <thread>

namespace dandeliondock::testing {

/// \brief Event loop that runs on its own thread until stop() or destruction.
class LoopThread
{
public:
    LoopThread() : m_thread([this] { m_handlersRun = m_loop.run(); }) {}

    ~LoopThread() { static_cast<void>(stop()); }

    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

    [[nodiscard]] EventLoop &loop() noexcept { return m_loop; }

    /// \brief Stops the loop and joins its thread.
    ///
    /// \return Number of handlers that the loop ran.
    ///
    /// \remark Must not be called on the loop's thread.
    std::size_t stop()
    {
        m_loop.stop();
        if (m_thread.joinable())
            m_thread.join();
        return m_handlersRun;
    }

    /// \brief Runs \c work on the loop's thread and waits until it returns.
    ///
    /// \pre The loop runs, and the caller is not on its thread.
    void run(const std::function<void()> &work)
    {
        // Shared ownership: the loop may still be inside set_value() when this wait returns.
        const auto finished = std::make_shared<std::promise<void>>();
        m_loop.post([&work, finished] {
            work();
            finished->set_value();
        });
        finished->get_future().wait();
    }

private:
    EventLoop m_loop;
    std::size_t m_handlersRun = 0;
    std::thread m_thread;
};

} // namespace dandeliondock::testing
