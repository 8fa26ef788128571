#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/http/message.h>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dandeliondock {

/// \brief A reused connection must have been used this recently: peers close idle ones after a few seconds.
inline constexpr Milliseconds reuseIdleLimit{4'000};
/// \brief A reused connection must have proved itself this recently to carry a request that must not run twice.
inline constexpr Milliseconds nonIdempotentReuseIdleLimit{1'000};

/// \brief How a call uses connections and how long it may take.
struct AsyncCallOptions
{
    MonotonicTime deadline;
    /// Longest time that a reused connection may have been idle; 0 opens a new one.
    Microseconds maxConnectionIdle = reuseIdleLimit;
    /// Added to the deadline once, when the response has begun to arrive by then.
    Milliseconds transferExtension{0};
    /// Header that a response must repeat from the request; a response with another value belongs to another request
    /// and is skipped. Empty when responses carry none.
    std::string correlationHeader{};
};

/// \brief How a call ended.
struct AsyncCallResult
{
    /// NotSent, MayHaveRun, Truncated or DeadlineExceeded unless OK. Without a connection in time it is
    /// DeadlineExceeded, and maybeSent is false.
    absl::Status status;
    bool maybeSent = false; ///< false: nothing of the request left this process
    HttpResponse response;  ///< whole, when the status is OK
};

using AsyncCallHandler = std::function<void(AsyncCallResult)>;

namespace impl {
class ClientState;
class ClientCall;
} // namespace impl

/// \brief A running call; destroying the handle does not end the call.
class AsyncHttpCall
{
public:
    AsyncHttpCall() = default;
    explicit AsyncHttpCall(std::weak_ptr<impl::ClientCall> call) : m_call(std::move(call)) {}

    /// \brief Closes the call's connection; the handler is not called any more.
    /// \pre Called on the loop's thread.
    void cancel();

    /// \brief Whether the first bytes of the response have arrived and the call has not ended.
    /// \pre Called on the loop's thread.
    [[nodiscard]] bool hasResponseBegun() const;

private:
    std::weak_ptr<impl::ClientCall> m_call;
};

/// \brief Bounds of a client's connections.
struct AsyncClientLimits
{
    Milliseconds connectTimeout{1'000};
    /// Time without an acknowledgement from the peer's host after which a connection counts as dead.
    Milliseconds tcpUserTimeout{3'000};
    std::size_t maxIdlePerAddress = 64;
    ByteCount maxResponseBytes{33'554'432};
    /// Bytes of the bodies that are being received on all connections; beyond them the longest response fails, so that
    /// peers that send without an end cannot use up an instance's memory of 160 MB.
    ByteCount maxBufferedBytes{33'554'432};
};

/// \brief An HTTP/1.1 client on an event loop. It sends each request once and never repeats it by itself.
///
/// A response is passed on only when it is whole, answers the request by its echo header and is followed by nothing.
/// A connection carries one request at a time; bytes that arrive on an idle connection close it.
///
/// \remark Every method is to be called on the loop's thread.
class AsyncHttpClient
{
public:
    AsyncHttpClient(EventLoop &loop, AsyncClientLimits limits = {});
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient &) = delete;
    AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

    /// \brief Sends a request; \c handler is called once, never from within send().
    AsyncHttpCall send(const Address &address, const HttpRequest &request, const AsyncCallOptions &options,
                       AsyncCallHandler handler);

    /// \brief Connections opened so far.
    [[nodiscard]] std::uint64_t connectionsOpened() const noexcept;

private:
    std::shared_ptr<impl::ClientState> m_state;
};

} // namespace dandeliondock
