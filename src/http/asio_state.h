#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/http/event_loop.h>

#include <absl/status/statusor.h>

// Asio of Boost 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>

#include <functional>
#include <map>
#include <memory>

namespace dandeliondock::impl {

// Sockets use the executor type of the io_context: the default one is type-erased and copied with every handler.
using StreamSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;
using StreamAcceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

struct TimerState
{
    EventLoopState *owner = nullptr;
    std::multimap<MonotonicTime, std::shared_ptr<TimerState>>::iterator position;
    std::function<void()> work; ///< null after it ran or was cancelled
};

/// \brief State of an event loop.
///
/// Most timers are cancelled long before they are due. One Asio timer therefore serves all of them: it is set again
/// only for an earlier time, so that a cancelled timer costs at most one wake-up without work.
struct EventLoopState
{
    boost::asio::io_context context{1};
    boost::asio::steady_timer timer{context};
    boost::asio::signal_set signals{context};
    std::function<void(int)> onSignal;
    std::multimap<MonotonicTime, std::shared_ptr<TimerState>> pending;
    MonotonicTime timerExpiry = MonotonicTime::max();

    void awaitSignal();
    void armTimer(MonotonicTime time);

    /// \brief Sets the timer for the first pending one.
    void armPending();
    void runDueTimers();
};

/// \brief Parses an IPv4 address with a port; InvalidSettings when the text is anything else.
[[nodiscard]] absl::StatusOr<boost::asio::ip::tcp::endpoint> endpointOf(const Address &address);

/// \brief Sets the options of every connection: TCP_NODELAY, TCP_USER_TIMEOUT and keep-alive probes, which end the
/// connection when the peer's host stops responding.
void setStreamOptions(StreamSocket &socket, Milliseconds tcpUserTimeout);

} // namespace dandeliondock::impl
