#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/http/message.h>
#include <dandeliondock/http/receive_account.h>
#include <dandeliondock/http/transfer_hooks.h>

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dandeliondock {

/// \brief Size limits and timeouts of a server's connections.
struct ConnectionLimits
{
    ByteCount maxHeaderBytes{16'384};
    ByteCount maxBodyBytes{8'388'608};
    /// Time after which a connection with a partly read request is closed, unless a request is being handled. It begins
    /// with the first byte of the head, and again with each byte of the body. The whole body may take this time and
    /// that of its bytes at slowRate.
    Milliseconds requestReadTimeout{3'000};
    /// Time since the last activity after which a connection is closed if no byte of its next request has arrived.
    Milliseconds idleTimeout{15'000};

    bool operator==(const ConnectionLimits &) const = default;
};

/// \brief One received request, with the methods to respond to it or to abort its connection.
///
/// \remark Must be used on the loop's thread only. Shares ownership of its connection until it responds, aborts or is
/// cancelled.
class HttpRequestContext
{
public:
    virtual ~HttpRequestContext() = default;

    [[nodiscard]] virtual const HttpRequest &request() const noexcept = 0;
    [[nodiscard]] virtual HttpRequest &request() noexcept = 0;

    /// \brief Time at which the request, read completely, was handed to the handler.
    [[nodiscard]] virtual MonotonicTime arrivedAt() const noexcept = 0;

    /// \brief Sends the response; later calls of respond() and abort() do nothing. A response whose status is not a
    /// final one is replaced by an empty one with the status 502.
    virtual void respond(HttpResponse response) = 0;

    /// \brief Closes the connection without a response.
    virtual void abort() = 0;

    /// \brief Sets the hook that is called once if the peer disconnects before the response.
    virtual void onCancelled(std::function<void()> hook) = 0;
};

using HttpRequestContextPtr = std::shared_ptr<HttpRequestContext>;

/// \brief Hook that handles each request of a server; called on the loop's thread.
using AsyncRequestHandler = std::function<void(const HttpRequestContextPtr &)>;

/// \brief Hook that tells whether a request may be processed concurrently with others of its connection; called on the
/// loop's thread, with the request as received, each time that it could be passed to the handler.
using ConcurrencyHook = std::function<bool(const HttpRequest &)>;

/// \brief What happened to concurrent requests of a connection.
enum class ConcurrencyEvent {
    RunsBesideOthers, ///< a request was passed to the handler while others of its connection were in progress
    ResponsesDropped  ///< ready responses exceeded their bound; the last requests were cancelled, the connection ends
};

/// \brief A request to which the server itself responded because it could not be read, or because of the account.
struct RequestRejection
{
    int status = 0;
    std::string error;                 ///< error of the parser; empty if the account refused the request
    std::uint64_t earlierRequests = 0; ///< requests of the same connection that were passed to the handler before
};

namespace impl {
class ServerState;
} // namespace impl

/// \brief An HTTP/1.1 server on one address of an event loop.
///
/// A request whose framing is ambiguous or malformed is rejected and never passed to the handler. Each connection
/// handles one request at a time, unless setConcurrency() permits more. Responses have the order of the requests. A
/// request that arrives behind the one whose response closes the connection is never passed to the handler.
///
/// \remark Every method must be called on the loop's thread, or before the loop runs.
class AsyncHttpServer
{
public:
    AsyncHttpServer(EventLoop &loop, AsyncRequestHandler handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer &) = delete;
    AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

    /// \brief Starts to accept connections.
    /// \return InvalidSettings when the address cannot be used.
    [[nodiscard]] absl::Status listen(const Address &address);

    /// \brief Sets the limits, also for open connections. The size limits apply to requests whose first byte arrives
    /// from now on, the timeouts at once.
    void setLimits(const ConnectionLimits &limits);

    /// \brief Sets the hook that tells whether the size limits are certainly the current ones; called on the loop's
    /// thread. While it returns false, a request above a limit gets status 503 instead of 413 or 431.
    /// \pre No request has been accepted.
    void setLimitsConfirmed(std::function<bool()> areConfirmed);

    /// \brief Sets the hooks that decide when long responses are written; without them they are written at once.
    /// \pre No request has been accepted.
    void setTransferHooks(TransferHooks hooks);

    /// \brief Permits concurrent requests of one connection (HTTP pipelining): a request runs beside earlier ones if
    /// the hook returns true for it and for each of these, within bounds on their number and on the bytes that are
    /// held. Without a hook, and for clients with HTTP/1.0, a connection has one request in progress.
    /// \pre No request has been accepted.
    void setConcurrency(ConcurrencyHook hook);

    /// \brief Sets the hook that is told of concurrent requests; called on the loop's thread.
    void onConcurrencyEvent(std::function<void(ConcurrencyEvent)> hook);

    /// \brief Sets the hook that is told of each request that the server rejects with a response of its own; called on
    /// the loop's thread, before the response is written.
    void onRejected(std::function<void(const RequestRejection &)> hook);

    /// \brief Sets the account of the memory and descriptors that connections use; without one they are not limited in
    /// common with others. A request that is refused because of the account gets status 503.
    /// \param refusalHeaders sent with this status besides Retry-After.
    /// \pre No request has been accepted.
    void setReceiveAccount(std::shared_ptr<ReceiveAccount> account, HttpHeaders refusalHeaders = {});

    /// \brief Closes each connection after the response to the last request that was passed on, which carries
    /// "Connection: close". No request is passed on beside others any more.
    void setDraining();

    /// \brief Stops accepting connections, and closes those on which no request is being read or handled and no
    /// response is being written. Connections that wait to be accepted are accepted first and served.
    void stopAccepting();

    /// \brief Number of requests that were passed to the handler and have no response yet.
    [[nodiscard]] std::size_t activeRequests() const noexcept;

    /// \brief Number of responses that are not completely handed to the operating system.
    [[nodiscard]] std::size_t unwrittenResponses() const noexcept;

    /// \brief Number of open connections.
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    std::shared_ptr<impl::ServerState> m_state;
};

} // namespace dandeliondock
