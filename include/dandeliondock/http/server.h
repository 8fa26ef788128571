#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/http/call.h>
#include <dandeliondock/http/message.h>
#include <dandeliondock/http/shared_receive_account.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dandeliondock {

/// \brief Hook that responds to a request; called on the thread of the caller's connection, by many threads at once.
using HttpHandler = std::function<HttpResponse(HttpRequest)>;

/// \brief Hook that writes the next part of a body to \c buffer.
/// \return Number of bytes, 0 at the end of the body, or an error.
///
/// \remark Called on the thread of the caller's connection. An error closes the connection, so that the caller
/// receives a body that is shorter than its Content-Length or lacks its last chunk.
using BodySource = std::function<absl::StatusOr<std::size_t>(char *buffer, std::size_t size)>;

/// \brief A complete response, or, when \c source is set, response headers whose body is streamed.
struct StreamableResponse
{
    HttpResponse response;
    BodySource source{};
    std::optional<ByteCount> length{}; ///< Content-Length of a streamed body; chunked encoding when empty
};

/// \brief Hook that responds to a request and may stream the body or poll the caller's connection. Called on
/// the thread of the caller's connection, by many threads at once.
using StreamingHttpHandler = std::function<StreamableResponse(HttpRequest, const CallerConnection &)>;

/// \brief An HTTP/1.1 server with a thread for each connection.
///
/// A request that is refused while it is received gets status 408, 413, 431, 400 or, if all connections of the account
/// hold too much, 503 with Retry-After. It is not passed to the handler, and the connection is closed.
///
/// \remark Every method is thread-safe.
class HttpServer
{
public:
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// \brief Returns the port that the server listens on.
    [[nodiscard]] std::uint16_t port() const noexcept;

    /// \brief Stops accepting connections; requests in progress continue, and responses that begin from now on close
    /// their connections.
    void startDraining();

    /// \brief Blocks until no request is in progress; a request ends when its response was sent.
    /// \return False when \c limit expired first.
    [[nodiscard]] bool waitForRequests(Milliseconds limit);

    /// \brief Blocks until no connection is open, or no request was in progress for a time of \c quiet since
    /// startDraining().
    ///
    /// \remark Callers that still send requests on an open connection receive responses with "Connection: close".
    /// \return False when \c limit expired with a request in progress.
    /// \pre startDraining() was called.
    [[nodiscard]] bool waitDrained(Milliseconds quiet, Milliseconds limit);

    /// \brief Number of requests in progress.
    [[nodiscard]] std::size_t activeRequests() const;

    /// \brief Closes every connection. Requests in progress are cut off; to avoid that, call startDraining() and
    /// waitForRequests() first.
    void stop();

private:
    friend class HttpServerBuilder;
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

/// \brief Builder of an HttpServer. Must be used by one thread at a time.
class HttpServerBuilder
{
public:
    /// \brief Sets the IPv4 address and the port to listen on; port 0 selects a free port.
    HttpServerBuilder &listen(std::string address, std::uint16_t port);

    HttpServerBuilder &handler(HttpHandler handler);

    /// \brief Sets a handler that can stream; replaces the one set with handler().
    HttpServerBuilder &streamingHandler(StreamingHttpHandler handler);

    /// \brief Sets the largest request body; a larger one gets status 413 and is not passed to the handler.
    HttpServerBuilder &maxBody(ByteCount limit);

    HttpServerBuilder &maxConnections(ConnectionCount limit);

    /// \brief Sets the account that bounds what connections hold; without one, nothing bounds them together.
    HttpServerBuilder &account(std::shared_ptr<SharedReceiveAccount> account);

    /// \brief Sets header lines of the responses to requests that are refused while they are received.
    HttpServerBuilder &refusalHeaders(HttpHeaders headers);

    /// \brief Starts the server.
    /// \return InvalidSettings when the address cannot be used.
    /// \pre listen() and handler() or streamingHandler() were called.
    [[nodiscard]] absl::StatusOr<std::unique_ptr<HttpServer>> start();

private:
    std::string m_address;
    std::uint16_t m_port = 0;
    StreamingHttpHandler m_handler;
    ByteCount m_maxBody{1U << 20U};
    ConnectionCount m_maxConnections{1'024};
    std::shared_ptr<SharedReceiveAccount> m_account;
    HttpHeaders m_refusalHeaders;
};

} // namespace dandeliondock
