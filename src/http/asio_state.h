#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/http/event_loop.h>

#include <absl/status/statusor.h>

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>

#include <boost/asio.hpp>

#include <functional>
#include <map>
#include <memory>

namespace dandeliondock::impl {

// Sockets name the loop's executor: the default one is erased, and copied with every handler.
using StreamSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;
using StreamAcceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

struct TimerState
{
    EventLoopState *owner = nullptr;
    std::multimap<MonotonicTime, std::shared_ptr<TimerState>>::iterator position;
    std::function<void()> work; ///< null once it ran or was cancelled
};

/// Most timers are cancelled long before they are due, so that one timer of the operating system serves all of them: it
/// is set again only for an earlier time, and a time that passed without work costs one wake-up.
struct EventLoopState
{
    boost::asio::io_context context{1};
    boost::asio::steady_timer timer{context};
    boost::asio::signal_set signals{context};
    std::function<void(int)> onSignal;
    std::multimap<MonotonicTime, std::shared_ptr<TimerState>> pending;
    MonotonicTime armedFor = MonotonicTime::max();

    void awaitSignal();
    void arm(MonotonicTime time);
    void runDue();
};

/// \brief The endpoint of an address; InvalidSettings when it is no IP number with a port.
[[nodiscard]] absl::StatusOr<boost::asio::ip::tcp::endpoint> endpointOf(const Address &address);

/// \brief Sets the options of every stream: no delay, and an end when the peer's host is silent.
void setStreamOptions(StreamSocket &socket, Milliseconds tcpUserTimeout);

} // namespace dandeliondock::impl
