#include <dandeliondock/core/error.h>
#include <dandeliondock/http/event_loop.h>

#include "asio_state.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <netinet/tcp.h>

#include <algorithm>
#include <exception>
#include <utility>

namespace dandeliondock {

namespace impl {

namespace {

// A connection whose peer does not respond ends after about three seconds.
constexpr int probeIntervalSeconds = 1;
constexpr int maxLostProbes = 2;

} // namespace

absl::StatusOr<boost::asio::ip::tcp::endpoint> endpointOf(const Address &address)
{
    const std::string &text = address.value();
    const std::size_t colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > 65'535)
        return makeError(ErrorKind::InvalidSettings, absl::StrCat("'", text, "' is not an IPv4 address with a port"));
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address_v4(text.substr(0, colon), error);
    if (error)
        return makeError(ErrorKind::InvalidSettings, absl::StrCat("'", text, "' is not an IPv4 address with a port"));
    return boost::asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(port));
}

void setStreamOptions(StreamSocket &socket, Milliseconds tcpUserTimeout)
{
    // Errors are ignored: they occur on a broken socket, whose next read or write fails.
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(UserTimeout(static_cast<int>(tcpUserTimeout.count())), ignored);
    // While only a response is awaited nothing is sent, so TCP_USER_TIMEOUT does not apply and keep-alive probes are
    // needed to detect an unresponsive peer.
    using ProbeIdle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using ProbeInterval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using ProbeCount = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(ProbeIdle(probeIntervalSeconds), ignored);
    socket.set_option(ProbeInterval(probeIntervalSeconds), ignored);
    socket.set_option(ProbeCount(maxLostProbes), ignored);
}

} // namespace impl

namespace impl {

void EventLoopState::awaitSignal()
{
    signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error)
            return;
        onSignal(signal);
        awaitSignal();
    });
}

void EventLoopState::armTimer(MonotonicTime time)
{
    if (time >= timerExpiry)
        return;
    timerExpiry = time;
    timer.expires_at(time);
    timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            runDueTimers();
    });
}

void EventLoopState::armPending()
{
    timerExpiry = MonotonicTime::max();
    if (!pending.empty())
        armTimer(pending.begin()->first);
}

void EventLoopState::runDueTimers()
{
    timerExpiry = MonotonicTime::max();
    const MonotonicTime now = EventLoop::now();
    while (!pending.empty() && pending.begin()->first <= now) {
        const std::shared_ptr<TimerState> due = pending.begin()->second;
        pending.erase(pending.begin());
        if (const auto work = std::exchange(due->work, nullptr))
            work();
    }
    armPending();
}

} // namespace impl

LoopTimer &LoopTimer::operator=(LoopTimer &&other) noexcept
{
    if (this != &other) {
        cancel();
        m_state = std::move(other.m_state);
    }
    return *this;
}

void LoopTimer::cancel() noexcept
{
    if (!m_state)
        return;
    if (std::exchange(m_state->work, nullptr))
        m_state->owner->pending.erase(m_state->position);
    m_state.reset();
}

EventLoop::EventLoop() : m_state(std::make_unique<impl::EventLoopState>()) {}

EventLoop::~EventLoop()
{
    // Callbacks may own timers of this loop; their destructors must find nothing to cancel.
    const auto dropped = std::exchange(m_state->pending, {});
    std::vector<std::function<void()>> callbacks;
    callbacks.reserve(dropped.size());
    for (const auto &[due, timer] : dropped)
        callbacks.push_back(std::exchange(timer->work, nullptr));
}

std::size_t EventLoop::run()
{
    const auto guard = boost::asio::make_work_guard(m_state->context);
    std::size_t handlersRun = 0;
    while (!m_state->context.stopped()) {
        try {
            handlersRun += m_state->context.run();
        } catch (const std::exception &error) {
            m_state->armPending();
            if (m_onError)
                m_onError(error.what());
        }
    }
    return handlersRun;
}

void EventLoop::stop()
{
    m_state->context.stop();
}

void EventLoop::post(std::function<void()> work)
{
    boost::asio::post(m_state->context, std::move(work));
}

LoopTimer EventLoop::after(Microseconds delay, std::function<void()> work)
{
    const MonotonicTime due = now() + std::max(delay, Microseconds{0});
    auto state = std::make_shared<impl::TimerState>();
    state->owner = m_state.get();
    state->work = std::move(work);
    state->position = m_state->pending.emplace(due, state);
    m_state->armTimer(due);
    return LoopTimer(state);
}

void EventLoop::onSignals(const std::vector<int> &signals, std::function<void(int)> handler)
{
    for (const int signal : signals)
        m_state->signals.add(signal);
    m_state->onSignal = std::move(handler);
    m_state->awaitSignal();
}

MonotonicTime EventLoop::now() noexcept
{
    return std::chrono::time_point_cast<Microseconds>(std::chrono::steady_clock::now());
}

} // namespace dandeliondock
