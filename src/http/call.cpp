#include <dandeliondock/http/call.h>

#include <dandeliondock/core/error.h>

#include "call_state.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <sys/socket.h>
#include <utility>

namespace dandeliondock {

namespace {

// Returns the poll entry of the socket that libcurl opened for a call. It is polled for writability until sending
// begins, that is while it connects, and for readability afterwards.
curl_waitfd pollEntryOf(const impl::CallState &state)
{
    const short events = state.sendAttempts == 0 ? CURL_WAIT_POLLOUT : CURL_WAIT_POLLIN;
    return {state.socket, events, 0};
}

int pollMilliseconds(Microseconds limit)
{
    const auto rounded = std::chrono::ceil<Milliseconds>(limit);
    return static_cast<int>(std::clamp<std::int64_t>(rounded.count(), 0, 60'000));
}

} // namespace

bool CallerConnection::isClosedByPeer() const
{
    char byte = 0;
    return socket >= 0 && recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool CallerConnection::hasInput() const
{
    char byte = 0;
    return socket >= 0 && recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

HttpCall::HttpCall(std::unique_ptr<impl::CallState> state) : m_state(std::move(state)) {}

HttpCall::~HttpCall() = default;

bool HttpCall::isSendStarted() const noexcept
{
    return m_state->sendAttempts > 0;
}

bool HttpCall::isFinished() const noexcept
{
    return m_state->finished;
}

bool HttpCall::isResponseReady() const noexcept
{
    if (m_state->finished || m_state->paused)
        return true;
    return m_state->headersComplete && m_state->contentLength && *m_state->contentLength > m_state->bufferLimit;
}

bool HttpCall::hasResponseHeaders() const noexcept
{
    return m_state->headersComplete;
}

absl::Status HttpCall::status() const
{
    if (m_state->code == CURLE_OK)
        return m_state->poolStatus;
    if (m_state->sendAttempts == 0)
        return makeError(ErrorKind::NotSent, m_state->errorText);
    return makeError(m_state->headersComplete ? ErrorKind::Truncated : ErrorKind::MayHaveRun, m_state->errorText);
}

HttpResponse &HttpCall::response() noexcept
{
    return m_state->response;
}

std::optional<ByteCount> HttpCall::contentLength() const noexcept
{
    return m_state->contentLength;
}

void HttpCall::advance()
{
    m_state->advance();
}

absl::StatusOr<std::size_t> HttpCall::read(char *buffer, std::size_t size, Milliseconds stallLimit)
{
    std::string &body = m_state->response.body;
    const auto end = std::chrono::steady_clock::now() + stallLimit;
    while (body.empty() && !m_state->finished) {
        if (m_state->paused)
            m_state->resume();
        advance();
        if (!body.empty() || m_state->finished)
            break;
        const auto remaining = std::chrono::duration_cast<Microseconds>(end - std::chrono::steady_clock::now());
        if (remaining.count() <= 0)
            return makeError(ErrorKind::Truncated, absl::StrCat(m_state->address.value(), ": the body stalled"));
        static_cast<void>(wait({this}, {}, remaining));
    }
    if (body.empty() && m_state->code != CURLE_OK)
        return status();
    const std::size_t count = std::min(size, body.size());
    std::copy_n(body.data(), count, buffer);
    body.erase(0, count);
    return count;
}

CallWaitResult HttpCall::wait(const std::vector<HttpCall *> &calls, const CallerConnection &caller, Microseconds limit)
{
    std::vector<curl_waitfd> polled;
    // Unread input such as a pipelined request keeps the socket readable, so polling it would return at once.
    if (caller.socket >= 0 && !caller.hasInput())
        polled.push_back({caller.socket, CURL_WAIT_POLLIN, 0});
    for (std::size_t i = 1; i < calls.size(); ++i)
        polled.push_back(pollEntryOf(*calls[i]->m_state));
    int ready = 0;
    curl_multi_poll(calls.front()->m_state->connection.multi.get(), polled.data(),
                    static_cast<unsigned int>(polled.size()), pollMilliseconds(limit), &ready);
    for (HttpCall *call : calls)
        call->advance();
    if (caller.isClosedByPeer())
        return CallWaitResult::CallerDisconnected;
    return ready == 0 ? CallWaitResult::TimedOut : CallWaitResult::Progress;
}

} // namespace dandeliondock
