#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/http/call.h>
#include <dandeliondock/http/message.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dandeliondock {

/// \brief Hook that answers a request; called on the thread of the caller's connection, by many threads at once.
using HttpHandler = std::function<HttpResponse(HttpRequest)>;

/// \brief Hook that gives the next part of a body: the number of bytes, 0 at the end, or an error.
///
/// \remark Called on the thread of the caller's connection. An error closes the connection, so that the caller sees a
/// body that ends before its declared length or without its last chunk.
using BodySource = std::function<absl::StatusOr<std::size_t>(char *buffer, std::size_t size)>;

/// \brief A response whose body is whole, or streamed when \c source is set.
struct StreamableResponse
{
    HttpResponse response;
    BodySource source{};
    std::optional<ByteCount> length{}; ///< of a streamed body; chunked when empty
};

/// \brief Hook that answers a request and may stream the body or watch the caller's connection.
using StreamingHttpHandler = std::function<StreamableResponse(HttpRequest, const CallerConnection &)>;

/// \brief A listener with a thread for each connection.
///
/// \remark Every method is thread-safe.
class HttpServer
{
public:
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// \brief The port that it listens on.
    [[nodiscard]] std::uint16_t port() const noexcept;

    /// \brief Stops accepting connections; exchanges in progress go on and close their connections at their end.
    void startDraining();

    /// \brief Waits until no exchange is in progress; an exchange ends when its response was sent.
    /// \return False when \c limit ran out first.
    [[nodiscard]] bool waitForRequests(Milliseconds limit);

    /// \brief Waits until no connection is open, or no exchange was in progress for \c quiet since startDraining().
    ///
    /// \remark Callers that still use an open connection get their answer and are told to close it.
    /// \return False when \c limit ran out with an exchange in progress.
    /// \pre startDraining() was called.
    [[nodiscard]] bool waitDrained(Milliseconds quiet, Milliseconds limit);

    /// \brief Number of exchanges in progress.
    [[nodiscard]] std::size_t activeRequests() const;

    /// \brief Closes every connection. Exchanges in progress are cut; call startDraining() and waitForRequests()
    /// before.
    void stop();

private:
    friend class HttpServerBuilder;
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

/// \brief Builder of a listener. One thread at a time.
class HttpServerBuilder
{
public:
    /// \brief IP number and port; port 0 takes a free one.
    HttpServerBuilder &listen(std::string address, std::uint16_t port);

    HttpServerBuilder &handler(HttpHandler handler);

    /// \brief Takes the place of handler().
    HttpServerBuilder &streamingHandler(StreamingHttpHandler handler);

    /// \brief Longest body of a request; longer ones are answered 413 without a call of the handler.
    HttpServerBuilder &maxBody(ByteCount limit);

    HttpServerBuilder &maxConnections(ConnectionCount limit);

    /// \pre listen() and handler() or streamingHandler() were called.
    [[nodiscard]] absl::StatusOr<std::unique_ptr<HttpServer>> start();

private:
    std::string m_address;
    std::uint16_t m_port = 0;
    StreamingHttpHandler m_handler;
    ByteCount m_maxBody{1U << 20U};
    ConnectionCount m_maxConnections{1'024};
};

} // namespace dandeliondock
