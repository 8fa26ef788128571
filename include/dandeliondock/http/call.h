#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/http/message.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace dandeliondock {

namespace impl {
struct CallState;
}

/// \brief The socket of a caller's connection, polled for a disconnect while its request is in progress.
struct CallerConnection
{
    int socket = -1; ///< -1 when there is no connection to poll

    /// \brief Whether the peer has closed its side of the connection. Thread-safe.
    [[nodiscard]] bool isClosedByPeer() const;

    /// \brief Whether unread bytes, such as a pipelined request, are available. Thread-safe.
    [[nodiscard]] bool hasInput() const;
};

/// \brief Why HttpCall::wait() returned.
enum class CallWaitResult {
    Progress,           ///< a socket of a call or of the caller became ready
    TimedOut,           ///< the time limit or a libcurl timer expired, or a call was cancelled
    CallerDisconnected, ///< the caller closed its connection
};

/// \brief One request, which has a connection of its own while it runs.
///
/// \remark A call must be used by one thread at a time. Its connection returns to the client's pool only after the
/// complete response was received; a call that is destroyed earlier closes it, so that a late response cannot reach
/// another request.
class HttpCall : public std::enable_shared_from_this<HttpCall>
{
public:
    explicit HttpCall(std::unique_ptr<impl::CallState> state);
    ~HttpCall();

    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /// \brief Whether sending has begun; false means that no byte of the request was sent.
    [[nodiscard]] bool isSendStarted() const noexcept;

    /// \brief Whether the call has finished, successfully or not.
    [[nodiscard]] bool isFinished() const noexcept;

    /// \brief Whether the call has finished, or its response is to be streamed.
    ///
    /// \remark A response is streamed when its Content-Length exceeds the buffer limit or the buffer is full.
    [[nodiscard]] bool isResponseReady() const noexcept;

    /// \brief Whether the status line and the headers were received.
    [[nodiscard]] bool hasResponseHeaders() const noexcept;

    /// \brief OK while the call runs and after success; ConnectionLimit, NotSent, MayHaveRun or Truncated after a
    /// failure.
    [[nodiscard]] absl::Status status() const;

    /// \brief Status and headers, with the part of the body that was received and not read() yet.
    /// \pre hasResponseHeaders().
    [[nodiscard]] HttpResponse &response() noexcept;

    /// \brief Content-Length of the response; empty when the response has none.
    [[nodiscard]] std::optional<ByteCount> contentLength() const noexcept;

    /// \brief Moves the next part of the body into \c buffer; blocks for at most \c stallLimit.
    /// \return Number of bytes, 0 at the end of the body; an error when the transfer failed or stalled.
    /// \pre hasResponseHeaders().
    [[nodiscard]] absl::StatusOr<std::size_t> read(char *buffer, std::size_t size, Milliseconds stallLimit);

    /// \brief Blocks until a call can make progress, the caller disconnects or \c limit expires, then advances every
    /// call.
    /// \pre \c calls is not empty and holds unfinished calls.
    [[nodiscard]] static CallWaitResult wait(const std::vector<HttpCall *> &calls, const CallerConnection &caller,
                                             Microseconds limit);

private:
    friend class HttpClient;
    friend class CancellationScope;
    void advance();

    std::unique_ptr<impl::CallState> m_state;
};

} // namespace dandeliondock
