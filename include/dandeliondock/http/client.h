#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/time_source.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/http/call.h>
#include <dandeliondock/http/cancellation_token.h>
#include <dandeliondock/http/message.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>
#include <optional>

namespace dandeliondock {

namespace impl {
class ConnectionPool;
}

/// \brief Options for sending a request.
struct SendOptions
{
    Milliseconds timeout{1'000};
    Milliseconds connectTimeout{250};
    bool forceNewConnection = false; ///< never reuse a pooled connection
    /// Reuse only a connection that received a response within this time; empty leaves only PoolLimits::maxIdle.
    std::optional<Milliseconds> maxConnectionIdle{};
    /// Limit on the connections to the address, in use and idle; empty keeps the present limit. When all of them are in
    /// use, the request fails with ConnectionLimit before anything is sent.
    std::optional<ConnectionCount> connectionLimit{};
    /// Longest body that send() accepts; a longer one fails with Truncated. An object of the platform has at most 8
    /// MiB.
    ByteCount responseLimit{32U << 20U};
    CancellationToken *cancellation = nullptr; ///< makes send() return Interrupted when cancelled; may be null
};

/// \brief Limits of the client's connection pool.
struct PoolLimits
{
    ConnectionCount perAddress{130}; ///< in use and idle; applies until SendOptions::connectionLimit sets another one
    ConnectionCount maxIdlePerAddress{16};
    Milliseconds maxIdle{30'000}; ///< below the idle timeout of common servers, so that the client closes first
    Milliseconds maxAge{300'000}; ///< maximum time since the connection was opened
};

/// \brief Result of sending a request.
struct SendResult
{
    bool maybeSent = false; ///< some bytes of the request may have been sent
    /// The response, or ConnectionLimit, NotSent, MayHaveRun, DeadlineExceeded, Truncated or Interrupted.
    absl::StatusOr<HttpResponse> response;
};

/// \brief A blocking HTTP/1.1 client with a connection pool that sends each request at most once.
///
/// \remark Every method is thread-safe and does its work on the calling thread.
class HttpClient
{
public:
    explicit HttpClient(PoolLimits limits = {}, TimeSource time = systemTime());
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// \brief Sends a request and blocks until the complete response was received.
    [[nodiscard]] SendResult send(const Address &address, const HttpRequest &request, const SendOptions &options);

    /// \brief Starts a request that the calling thread advances with HttpCall::wait().
    ///
    /// \remark \c bufferLimit limits the part of the response that is buffered in memory. \c options.timeout and
    /// \c options.responseLimit are not applied; the caller of wait() enforces it. The call may outlive the client.
    [[nodiscard]] std::shared_ptr<HttpCall> start(const Address &address, HttpRequest request,
                                                  const SendOptions &options, ByteCount bufferLimit);

    /// \brief Number of idle connections to \c address.
    [[nodiscard]] std::size_t idleConnections(const Address &address) const;

    /// \brief Number of connections to \c address, in use and idle.
    [[nodiscard]] std::size_t connections(const Address &address) const;

private:
    std::shared_ptr<impl::ConnectionPool> m_pool;
};

} // namespace dandeliondock
