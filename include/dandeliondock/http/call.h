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

/// \brief The socket of a caller's connection, watched while its request is in progress.
struct CallerConnection
{
    int socket = -1; ///< -1 when there is none to watch

    /// \brief Whether the peer has closed its side. Thread-safe.
    [[nodiscard]] bool isClosedByPeer() const;

    /// \brief Whether bytes of a next request wait to be read. Thread-safe.
    [[nodiscard]] bool hasInput() const;
};

/// \brief Why HttpCall::wait() returned.
enum class CallWaitResult {
    Progress,           ///< something was received or may be sent
    TimedOut,           ///< the limit or a timer of the library ran out
    CallerDisconnected, ///< the caller closed its connection
};

/// \brief One request on one connection of its own.
///
/// \remark A call belongs to one thread at a time. Its connection returns to the client's pool only after the whole
/// answer was received; a call that is let go earlier closes it, so that a late answer cannot reach another request.
class HttpCall : public std::enable_shared_from_this<HttpCall>
{
public:
    explicit HttpCall(std::unique_ptr<impl::CallState> state);
    ~HttpCall();

    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /// \brief Whether the sending was begun; false means that no byte of the request left.
    [[nodiscard]] bool isSendStarted() const noexcept;

    /// \brief Whether the transfer ended, in success or failure.
    [[nodiscard]] bool isFinished() const noexcept;

    /// \brief Whether the call ended, or its answer is one to be streamed.
    ///
    /// \remark An answer is streamed when its declared length exceeds the buffer or the buffer is full.
    [[nodiscard]] bool isResponseReady() const noexcept;

    /// \brief Whether the status line and the headers have arrived.
    [[nodiscard]] bool hasResponseHeaders() const noexcept;

    /// \brief OK while running and after success; ConnectionLimit, NotSent, MayHaveRun or Truncated after a failure.
    [[nodiscard]] absl::Status status() const;

    /// \brief Status and headers, with the body received so far.
    /// \pre hasResponseHeaders().
    [[nodiscard]] HttpResponse &response() noexcept;

    /// \brief The declared length of the answer's body.
    [[nodiscard]] std::optional<ByteCount> contentLength() const noexcept;

    /// \brief Takes the next part of the body; blocks at most \c stallLimit for it.
    /// \return 0 at the end; an error when the transfer broke or stalled.
    /// \pre hasResponseHeaders().
    [[nodiscard]] absl::StatusOr<std::size_t> read(char *buffer, std::size_t size, Milliseconds stallLimit);

    /// \brief Blocks until a call progressed, the caller went away or \c limit passed, and advances every call.
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
