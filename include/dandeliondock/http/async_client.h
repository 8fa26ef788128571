#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/http/message.h>
#include <dandeliondock/http/receive_account.h>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dandeliondock {

/// \brief Longest idle time of a connection that is reused: peers close idle connections after a few seconds.
inline constexpr Milliseconds reuseIdleLimit{4'000};
/// \brief Longest idle time of a connection that is reused for a non-idempotent request.
inline constexpr Milliseconds nonIdempotentReuseIdleLimit{1'000};

/// \brief Deadline and connection options of one call.
struct AsyncCallOptions
{
    MonotonicTime deadline;
    /// Longest idle time of a connection that may be reused; 0 opens a new one.
    Microseconds maxConnectionIdle = reuseIdleLimit;
    /// Added to the deadline once, if the response has begun to arrive when the deadline is reached.
    Milliseconds transferExtension{0};
    /// Header that matches responses to requests: a response in which it has another value than in the request belongs
    /// to another request and is skipped, as is one without it on a connection that carried earlier requests. A value
    /// is never sent twice on one connection. Empty disables these checks.
    std::string correlationHeader{};
};

/// \brief Result of a call.
struct AsyncCallResult
{
    /// OK, NotSent, MayHaveRun, Truncated or DeadlineExceeded. If no connection is established in time, it is
    /// DeadlineExceeded and maybeSent is false.
    absl::Status status;
    bool maybeSent = false; ///< false: no byte of the request was sent
    HttpResponse response;  ///< complete if the status is OK
};

using AsyncCallHandler = std::function<void(AsyncCallResult)>;

namespace impl {
class ClientState;
class ClientCall;
} // namespace impl

/// \brief Handle of a running call; destroying the handle does not cancel the call.
class AsyncHttpCall
{
public:
    AsyncHttpCall() = default;
    explicit AsyncHttpCall(std::weak_ptr<impl::ClientCall> call) : m_call(std::move(call)) {}

    /// \brief Cancels the call and closes its connection; the handler is not called afterwards.
    /// \pre Called on the loop's thread.
    void cancel();

    /// \brief Whether the first bytes of the response have arrived and the call has not finished.
    /// \pre Called on the loop's thread.
    [[nodiscard]] bool hasResponseBegun() const;

private:
    std::weak_ptr<impl::ClientCall> m_call;
};

/// \brief Timeouts, pool size and memory limits of a client.
struct AsyncClientLimits
{
    Milliseconds connectTimeout{1'000};
    /// TCP_USER_TIMEOUT: time without an acknowledgement from the peer's host until the connection is dropped.
    Milliseconds tcpUserTimeout{3'000};
    std::size_t maxIdlePerAddress = 64;
    ByteCount maxResponseBytes{33'554'432};
    /// Limit on the body bytes buffered over all connections. Above it, the call with the largest buffered response
    /// fails, so that peers that send endless responses cannot use up an instance's memory of 160 MB.
    ByteCount maxBufferedBytes{33'554'432};
};

/// \brief An HTTP/1.1 client on an event loop. It sends each request once and never retries it.
///
/// A response is passed to the handler only when it is complete and its correlation header, if it has one, matches the
/// request. A connection carries one request at a time. It is not reused if bytes follow the response, and bytes that
/// arrive while it is idle close it.
///
/// \remark Every method must be called on the loop's thread.
class AsyncHttpClient
{
public:
    AsyncHttpClient(EventLoop &loop, AsyncClientLimits limits = {});
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient &) = delete;
    AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

    /// \brief Sends a request; \c handler is called once unless the call is cancelled, and never from within send().
    AsyncHttpCall send(const Address &address, const HttpRequest &request, const AsyncCallOptions &options,
                       AsyncCallHandler handler);

    /// \brief Sets the account of the memory and descriptors that connections use; without one they are not limited in
    /// common with others.
    /// \pre No request has been sent.
    void setReceiveAccount(std::shared_ptr<ReceiveAccount> account);

    /// \brief Number of connections opened since the client was created.
    [[nodiscard]] std::uint64_t connectionsOpened() const noexcept;

private:
    std::shared_ptr<impl::ClientState> m_state;
};

} // namespace dandeliondock
