#pragma once

#include <dandeliondock/core/units.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace dandeliondock {

namespace impl {
struct EventLoopState;
struct TimerState;
} // namespace impl

/// \brief One pending call of an EventLoop; destroying or cancelling it drops the call.
///
/// \remark Belongs to the loop's thread.
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

    /// \brief Drops the call if it has not been made.
    /// \pre Called on the loop's thread.
    void cancel() noexcept;

private:
    std::shared_ptr<impl::TimerState> m_state;
};

/// \brief The event loop of one duty: its sockets, its timers and the work handed to it by other threads.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// \brief Runs handlers until stop() is called; blocks while there is nothing to do.
    /// \return Number of handlers that ran, which shows how often the loop woke up for its work.
    /// \pre Called by one thread, which is the loop's thread from then on.
    std::size_t run();

    /// \brief Ends run() after the handler in progress. Thread-safe.
    void stop();

    /// \brief Runs \c work on the loop's thread. Thread-safe.
    void post(std::function<void()> work);

    /// \brief Runs \c work once after a time.
    /// \pre Called on the loop's thread, or before run().
    [[nodiscard]] LoopTimer after(Microseconds delay, std::function<void()> work);

    /// \brief Calls \c handler on the loop's thread for each of the signals, as long as the loop runs.
    /// \pre Called once, before any other thread is started.
    void onSignals(const std::vector<int> &signals, std::function<void(int)> handler);

    /// \brief Present time on the monotonic clock. Thread-safe.
    [[nodiscard]] static MonotonicTime now() noexcept;

    /// \brief State shared with the server and the client of this module.
    [[nodiscard]] impl::EventLoopState &state() noexcept { return *m_state; }

private:
    std::unique_ptr<impl::EventLoopState> m_state;
};

} // namespace dandeliondock
