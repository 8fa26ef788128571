#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/http/event_loop.h>

#include <absl/status/statusor.h>

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>

#include <boost/asio.hpp>

namespace dandeliondock::impl {

struct EventLoopState
{
    boost::asio::io_context context{1};
};

struct TimerState
{
    explicit TimerState(boost::asio::io_context &context) : timer(context) {}

    boost::asio::steady_timer timer;
    bool isCancelled = false;
};

/// \brief The endpoint of an address; InvalidSettings when it is no IP number with a port.
[[nodiscard]] absl::StatusOr<boost::asio::ip::tcp::endpoint> endpointOf(const Address &address);

/// \brief Sets the options of every stream: no delay, and an end when the peer's host is silent.
void setStreamOptions(boost::asio::ip::tcp::socket &socket, Milliseconds silence);

} // namespace dandeliondock::impl
