#pragma once

#include <dandeliondock/core/units.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dandeliondock {

namespace impl {
struct EventLoopState;
struct TimerState;
} // namespace impl

/// \brief Handle of one timer of an EventLoop; destroying it cancels the timer.
///
/// \remark Must be used on the loop's thread only.
class LoopTimer
{
public:
    LoopTimer() = default;
    explicit LoopTimer(std::shared_ptr<impl::TimerState> state) : m_state(std::move(state)) {}
    ~LoopTimer() { cancel(); }
    LoopTimer(LoopTimer &&other) noexcept = default;
    LoopTimer &operator=(LoopTimer &&other) noexcept;
    LoopTimer(const LoopTimer &) = delete;
    LoopTimer &operator=(const LoopTimer &) = delete;

    /// \brief Cancels the timer if it has not fired.
    /// \pre Called on the loop's thread.
    void cancel() noexcept;

private:
    std::shared_ptr<impl::TimerState> m_state;
};

/// \brief The event loop of one duty: runs the handlers of its sockets and timers and the work posted by other threads.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// \brief Sets the hook that is called with the text of each exception that leaves a handler.
    /// \pre Called before run().
    void onError(std::function<void(const std::string &)> hook) { m_onError = std::move(hook); }

    /// \brief Runs handlers until stop() is called; blocks while there is nothing to do. An exception ends the handler
    /// that threw it, and the loop goes on.
    /// \return Number of handlers that ran, a measure of how often the loop woke up.
    /// \pre Called by one thread only, which becomes the loop's thread.
    std::size_t run();

    /// \brief Makes run() return after the handler in progress. Thread-safe.
    void stop();

    /// \brief Runs \c work on the loop's thread. Thread-safe.
    void post(std::function<void()> work);

    /// \brief Runs \c work once after \c delay, unless the returned timer is cancelled or destroyed.
    /// \pre Called on the loop's thread, or before run().
    [[nodiscard]] LoopTimer after(Microseconds delay, std::function<void()> work);

    /// \brief Calls \c handler on the loop's thread for each received signal of \c signals while the loop runs.
    /// \pre Called once, before any other thread is started.
    void onSignals(const std::vector<int> &signals, std::function<void(int)> handler);

    /// \brief Current time of the monotonic clock. Thread-safe.
    [[nodiscard]] static MonotonicTime now() noexcept;

    /// \brief Internal state, used by AsyncHttpServer and AsyncHttpClient.
    [[nodiscard]] impl::EventLoopState &state() noexcept { return *m_state; }

private:
    std::unique_ptr<impl::EventLoopState> m_state;
    std::function<void(const std::string &)> m_onError;
};

} // namespace dandeliondock
