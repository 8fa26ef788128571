#include <dandeliondock/http/client.h>

#include <dandeliondock/core/error.h>

#include "call_state.h"

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

SendResult resultOf(HttpCall &call)
{
    const absl::Status status = call.status();
    if (!status.ok())
        return {call.isSendStarted(), status};
    return {true, std::move(call.response())};
}

SendResult timeoutResult(const HttpCall &call, const Address &address)
{
    const ErrorKind kind = call.isSendStarted() ? ErrorKind::DeadlineExceeded : ErrorKind::NotSent;
    return {call.isSendStarted(), makeError(kind, address.value() + ": no whole answer in time")};
}

SendResult tooLongResult(const Address &address)
{
    return {true, makeError(ErrorKind::Truncated, address.value() + ": the response is longer than the limit")};
}

} // namespace

/// \brief Registers a call with its cancellation token while the scope lives, so that cancel() wakes the thread that
/// waits for the call.
class CancellationScope
{
public:
    CancellationScope(CancellationToken *token, const HttpCall &call) : m_token(token)
    {
        setHandle(call.m_state->connection.multi.get());
    }

    ~CancellationScope() { setHandle(nullptr); }

    CancellationScope(const CancellationScope &) = delete;
    CancellationScope &operator=(const CancellationScope &) = delete;

private:
    void setHandle(void *multi)
    {
        if (m_token == nullptr)
            return;
        const std::scoped_lock lock(m_token->m_mutex);
        m_token->m_multi = multi;
    }

    CancellationToken *m_token;
};

HttpClient::HttpClient(PoolLimits limits, TimeSource time)
    : m_pool(std::make_shared<impl::ConnectionPool>(limits, std::move(time)))
{
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall> HttpClient::start(const Address &address, HttpRequest request, const SendOptions &options,
                                            ByteCount bufferLimit)
{
    auto state = std::make_unique<impl::CallState>(m_pool, address, std::move(request), options, bufferLimit);
    auto call = std::make_shared<HttpCall>(std::move(state));
    call->advance();
    return call;
}

SendResult HttpClient::send(const Address &address, const HttpRequest &request, const SendOptions &options)
{
    const std::shared_ptr<HttpCall> call = start(address, request, options, options.responseLimit);
    const CancellationScope scope(options.cancellation, *call);
    const auto end = std::chrono::steady_clock::now() + options.timeout;
    while (!call->isFinished()) {
        if (options.cancellation != nullptr && options.cancellation->isCancelled())
            return {call->isSendStarted(), makeError(ErrorKind::Interrupted, address.value())};
        if (call->isResponseReady()) // not finished, so the buffer is full or the announced length exceeds it
            return tooLongResult(address);
        const auto remaining = std::chrono::duration_cast<Microseconds>(end - std::chrono::steady_clock::now());
        if (remaining.count() <= 0)
            return timeoutResult(*call, address);
        static_cast<void>(HttpCall::wait({call.get()}, {}, remaining));
    }
    // The last part of a response is added to the buffer as a whole.
    if (call->response().body.size() > options.responseLimit.value())
        return tooLongResult(address);
    return resultOf(*call);
}

std::size_t HttpClient::idleConnections(const Address &address) const
{
    return m_pool->idle(address);
}

std::size_t HttpClient::connections(const Address &address) const
{
    return m_pool->connections(address);
}

} // namespace dandeliondock
