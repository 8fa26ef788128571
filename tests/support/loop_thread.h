#pragma once

#include <dandeliondock/http/event_loop.h>

#include <functional>
#include <future>
#include <memory>
#include <thread>

namespace dandeliondock::testing {

/// \brief An event loop on a thread of its own, for the length of a test.
class LoopThread
{
public:
    LoopThread() : m_thread([this] { m_handled = m_loop.run(); }) {}

    ~LoopThread() { static_cast<void>(stop()); }

    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

    [[nodiscard]] EventLoop &loop() noexcept { return m_loop; }

    /// \brief Ends the loop.
    ///
    /// \return Number of handlers that ran.
    std::size_t stop()
    {
        m_loop.stop();
        if (m_thread.joinable())
            m_thread.join();
        return m_handled;
    }

    /// \brief Runs \c work on the loop and waits for its end.
    void run(const std::function<void()> &work)
    {
        // Shared, as the loop may still be within set_value() when the wait is over.
        const auto done = std::make_shared<std::promise<void>>();
        m_loop.post([&work, done] {
            work();
            done->set_value();
        });
        done->get_future().wait();
    }

private:
    EventLoop m_loop;
    std::size_t m_handled = 0;
    std::thread m_thread;
};

} // namespace dandeliondock::testing
