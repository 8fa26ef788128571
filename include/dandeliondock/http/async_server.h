#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/http/message.h>

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace dandeliondock {

/// \brief Bounds on what a peer may send and on how long it may take.
struct ConnectionLimits
{
    ByteCount maxHeaderBytes{16'384};
    ByteCount maxBodyBytes{8'388'608};
    Milliseconds requestReadTimeout{3'000}; ///< from the first byte of a request to its last
    Milliseconds idleTimeout{15'000};       ///< between two requests of a connection

    bool operator==(const ConnectionLimits &) const = default;
};

/// \brief One request on one connection and the way to answer it.
///
/// \remark Belongs to the loop's thread. Keeps its connection alive by shared ownership.
class HttpRequestContext
{
public:
    virtual ~HttpRequestContext() = default;

    [[nodiscard]] virtual const HttpRequest &request() const noexcept = 0;
    [[nodiscard]] virtual HttpRequest &request() noexcept = 0;

    /// \brief When the last byte of the request was read.
    [[nodiscard]] virtual MonotonicTime arrivedAt() const noexcept = 0;

    /// \brief Sends the response; later calls do nothing.
    virtual void respond(HttpResponse response) = 0;

    /// \brief Closes the connection without a response.
    virtual void abort() = 0;

    /// \brief Sets the hook that is called once when the peer goes away before the response.
    virtual void onCancelled(std::function<void()> hook) = 0;
};

using HttpRequestContextPtr = std::shared_ptr<HttpRequestContext>;

/// \brief Hook that takes each request of a server; called on the loop's thread.
using AsyncRequestHandler = std::function<void(const HttpRequestContextPtr &)>;

namespace impl {
class ServerState;
} // namespace impl

/// \brief An HTTP/1.1 server on one address of an event loop.
///
/// A request whose framing is ambiguous or malformed is refused before the handler sees it. One request at a time is
/// handled on a connection.
///
/// \remark Every method is to be called on the loop's thread, or before the loop runs.
class AsyncHttpServer
{
public:
    AsyncHttpServer(EventLoop &loop, AsyncRequestHandler handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer &) = delete;
    AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

    /// \brief Starts to accept connections; InvalidSettings when the address cannot be used.
    [[nodiscard]] absl::Status listen(const Address &address);

    /// \brief Sets the limits of requests that begin from now on.
    void setLimits(const ConnectionLimits &limits);

    /// \brief Ends each connection after its next response, and says so in the response.
    void setDraining();

    /// \brief Takes no further connection, and closes those on which no request is being read or answered.
    void stopAccepting();

    /// \brief Requests that were read and not answered.
    [[nodiscard]] std::size_t activeRequests() const noexcept;

    /// \brief Open connections.
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    std::shared_ptr<impl::ServerState> m_state;
};

} // namespace dandeliondock
