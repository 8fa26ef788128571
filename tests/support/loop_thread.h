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
    LoopThread() : m_thread([this] { m_loop.run(); }) {}

    ~LoopThread()
    {
        m_loop.stop();
        m_thread.join();
    }

    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

    [[nodiscard]] EventLoop &loop() noexcept { return m_loop; }

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
    std::thread m_thread;
};

} // namespace dandeliondock::testing
