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

/// \brief How a request is sent.
struct SendOptions
{
    Milliseconds timeout{1'000};
    Milliseconds connectTimeout{250};
    bool forceNewConnection = false;                 ///< never reuse a connection
    std::optional<Milliseconds> maxConnectionIdle{}; ///< reuse only a connection that carried an answer this recently
    /// Connections to the address, in use and idle; empty keeps the limit that holds. A request that finds no room is
    /// refused with ConnectionLimit before anything is sent.
    std::optional<ConnectionCount> connectionLimit{};
    CancellationToken *cancellation = nullptr; ///< ends send() with Interrupted; may be null
};

/// \brief Bounds of the client's connection pool.
struct PoolLimits
{
    ConnectionCount perAddress{130}; ///< in use and idle, until a request tells another limit
    ConnectionCount maxIdlePerAddress{16};
    Milliseconds maxIdle{30'000}; ///< below the idle limit of usual servers, so that the client closes first
    Milliseconds maxAge{300'000}; ///< of a connection since it was opened
};

/// \brief What became of a sending.
struct SendResult
{
    bool maybeSent = false; ///< some bytes of the request may have left
    absl::StatusOr<HttpResponse>
            response; ///< ConnectionLimit, NotSent, MayHaveRun, DeadlineExceeded or Truncated on failure
};

/// \brief A client that keeps connections and sends each request at most once.
///
/// \remark Every method is thread-safe; the calling thread does the work.
class HttpClient
{
public:
    explicit HttpClient(PoolLimits limits = {}, TimeSource time = systemTime());
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// \brief Sends a request and waits for the whole answer.
    [[nodiscard]] SendResult send(const Address &address, const HttpRequest &request, const SendOptions &options);

    /// \brief Begins a request that the calling thread drives with HttpCall::wait().
    ///
    /// \remark \c bufferLimit bounds the part of the answer that is held in memory. \c options.timeout is left to the
    /// caller of wait(). The call may outlive the client.
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
