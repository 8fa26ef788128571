#include "server_session.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace dandeliondock::impl {

namespace {

constexpr Milliseconds lingerTimeout{2'000}; // time for the peer to close its side after the last response
constexpr Milliseconds connectionTcpUserTimeout{10'000};
// Time without progress after which a response is abandoned because its peer does not read.
constexpr Milliseconds writeStallTimeout{10'000};
// Long responses are written in pieces, so that their progress is known.
constexpr std::size_t writePieceSize = 65'536;
// Bytes of the head of a response, for the account of what is written.
constexpr std::uint64_t assumedHeadSize = 300;

http::status statusForError(const error_code &error)
{
    if (error == http::error::header_limit)
        return http::status::request_header_fields_too_large;
    if (error == http::error::body_limit || error == http::error::buffer_overflow)
        return http::status::payload_too_large;
    return http::status::bad_request;
}

// Written instead of a response whose status is invalid. The status 502 promises nothing about the request.
HttpResponse invalidStatusReplacement()
{
    HttpResponse response;
    response.status = static_cast<int>(http::status::bad_gateway);
    return response;
}

bool isDisconnect(const error_code &error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message
           || error.category() != make_error_code(http::error::bad_value).category();
}

} // namespace

/// \brief The request that a session handles, until it is responded to, aborted or cancelled.
class SessionRequest : public HttpRequestContext
{
public:
    SessionRequest(std::shared_ptr<ServerSession> session, HttpRequest request, bool keepAlive, unsigned version)
        : m_session(std::move(session)), m_request(std::move(request)), m_arrivedAt(EventLoop::now()),
          m_keepAlive(keepAlive), m_version(version)
    {
    }

    const HttpRequest &request() const noexcept override { return m_request; }
    HttpRequest &request() noexcept override { return m_request; }
    MonotonicTime arrivedAt() const noexcept override { return m_arrivedAt; }

    void respond(HttpResponse response) override
    {
        m_onCancelled = nullptr;
        if (const auto session = std::exchange(m_session, nullptr))
            session->respond(this, std::move(response));
    }

    void abort() override
    {
        m_onCancelled = nullptr;
        if (const auto session = std::exchange(m_session, nullptr))
            session->abort(this);
    }

    void onCancelled(std::function<void()> hook) override { m_onCancelled = std::move(hook); }

    void notifyCancelled()
    {
        m_session.reset();
        if (const auto hook = std::exchange(m_onCancelled, nullptr))
            hook();
    }

    [[nodiscard]] bool keepAlive() const noexcept { return m_keepAlive; }
    [[nodiscard]] unsigned version() const noexcept { return m_version; }

private:
    std::shared_ptr<ServerSession> m_session;
    HttpRequest m_request;
    MonotonicTime m_arrivedAt;
    bool m_keepAlive;
    unsigned m_version;
    std::function<void()> m_onCancelled;
};

ServerSession::ServerSession(StreamSocket socket, std::shared_ptr<ServerState> server)
    : m_socket(std::move(socket)), m_server(std::move(server)), m_lastActivity(EventLoop::now())
{
    setStreamOptions(m_socket, connectionTcpUserTimeout);
    m_buffer.reserve(headReadSize);
}

void ServerSession::readHead()
{
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(static_cast<std::uint32_t>(m_server->limits.maxHeaderBytes.value()));
    m_parser->body_limit(m_server->limits.maxBodyBytes.value());
    m_buffer.max_size(std::max<std::size_t>(minUnparsedLimit, 2 * m_server->limits.maxHeaderBytes.value()));
    m_readState = ReadState::Head;
    m_partialHeadSince.reset();
    http::async_read_header(
            m_socket, m_buffer, *m_parser,
            [self = shared_from_this()](const error_code &error, std::size_t) { self->onHeadRead(error); });
}

void ServerSession::onHeadRead(const error_code &error)
{
    if (m_isClosed)
        return;
    if (error) {
        onReadFailed(error);
        return;
    }
    m_lastActivity = EventLoop::now();
    if (m_parser->is_done()) {
        onRequestRead();
        return;
    }
    m_readState = ReadState::Body;
    reserveForBody(*m_parser, m_buffer);
    if (!m_activeRequest && !m_isWriting
        && boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        sendContinue();
        return;
    }
    http::async_read(m_socket, m_buffer, *m_parser,
                     [self = shared_from_this()](const error_code &e, std::size_t) { self->onBodyRead(e); });
}

void ServerSession::sendContinue()
{
    static constexpr absl::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(m_socket, asio::buffer(interim.data(), interim.size()),
                      [self = shared_from_this()](const error_code &error, std::size_t) {
                          if (error) {
                              self->onBodyRead(error);
                              return;
                          }
                          http::async_read(self->m_socket, self->m_buffer, *self->m_parser,
                                           [self](const error_code &e, std::size_t) { self->onBodyRead(e); });
                      });
}

void ServerSession::onBodyRead(const error_code &error)
{
    if (m_isClosed)
        return;
    if (error) {
        onReadFailed(error);
        return;
    }
    onRequestRead();
}

void ServerSession::onReadFailed(const error_code &error)
{
    m_readState = ReadState::Done;
    if (isDisconnect(error)) {
        onPeerDisconnected();
        return;
    }
    if (m_activeRequest || m_isWriting) {
        m_closesAfterResponse = true;
        return;
    }
    reject(statusForError(error));
}

void ServerSession::onRequestRead()
{
    m_readState = ReadState::Done;
    if (!m_activeRequest && !m_isWriting)
        handleRequest();
}

void ServerSession::handleRequest()
{
    auto message = m_parser->release();
    HttpRequest request;
    request.method.assign(message.method_string().data(), message.method_string().size());
    request.target.assign(message.target().data(), message.target().size());
    copyHeaders(message, request.headers);
    request.body = std::move(message.body());
    m_lastActivity = EventLoop::now();
    m_activeRequest = std::make_shared<SessionRequest>(shared_from_this(), std::move(request), message.keep_alive(),
                                                       message.version());
    ++m_server->activeRequests;
    shrinkBuffer(m_buffer);
    readHead();
    const auto active = m_activeRequest;
    try {
        m_server->handle(active);
    } catch (...) {
        active->abort(); // the request may have been passed on, so that no status can be promised
        throw;
    }
}

void ServerSession::respond(const SessionRequest *request, HttpResponse response)
{
    if (m_activeRequest.get() != request || m_isClosed)
        return;
    if (!isFinalStatus(response.status))
        response = invalidStatusReplacement();
    const bool keepAlive = m_activeRequest->keepAlive() && !m_server->isDraining && !m_closesAfterResponse;
    http::response<http::string_body> message(static_cast<http::status>(response.status), m_activeRequest->version());
    copyHeaders(response.headers, message);
    const bool isHead = m_activeRequest->request().method == "HEAD";
    m_activeRequest.reset();
    --m_server->activeRequests;
    message.keep_alive(keepAlive);
    m_closesAfterResponse = !keepAlive;
    message.body() = std::move(response.body);
    if (!isHead)
        message.prepare_payload();
    write(std::move(message), response.isUrgent);
}

void ServerSession::abort(const SessionRequest *request)
{
    if (m_activeRequest.get() != request)
        return;
    m_activeRequest.reset();
    --m_server->activeRequests;
    close();
}

void ServerSession::reject(http::status status)
{
    http::response<http::string_body> message(status, 11);
    message.keep_alive(false);
    message.prepare_payload();
    m_closesAfterResponse = true;
    write(std::move(message), true);
}

void ServerSession::write(http::response<http::string_body> message, bool isUrgent)
{
    const ByteCount size(message.body().size());
    m_message = std::make_unique<http::response<http::string_body>>(std::move(message));
    m_serializer = std::make_unique<Serializer>(*m_message);
    m_isWriting = true;
    ++m_server->unwrittenResponses;
    m_lastActivity = EventLoop::now();
    const TransferHooks &hooks = m_server->transferHooks;
    if (hooks.begin && !isUrgent && size > maxShortResponse) {
        m_transfer = hooks.begin(size);
        awaitGrant();
        return;
    }
    if (hooks.onWritten)
        hooks.onWritten(ByteCount(size.value() + assumedHeadSize));
    writePiece();
}

void ServerSession::awaitGrant()
{
    m_isAwaitingGrant = true;
    m_server->transferHooks.awaitGrant(*m_transfer, [weak = weak_from_this()](ByteCount bytes) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_isAwaitingGrant = false;
        self->m_grantedBytes = bytes.value();
        self->m_lastActivity = EventLoop::now();
        self->writePiece();
    });
}

void ServerSession::writePiece()
{
    m_serializer->limit(m_transfer ? std::min(m_grantedBytes, writePieceSize) : writePieceSize);
    http::async_write_some(m_socket, *m_serializer,
                           [self = shared_from_this()](const error_code &error, std::size_t bytes) {
                               if (error || self->m_isClosed || self->m_serializer->is_done()) {
                                   self->onWritten(error);
                                   return;
                               }
                               self->m_lastActivity = EventLoop::now();
                               self->m_grantedBytes -= std::min(bytes, self->m_grantedBytes);
                               if (self->m_transfer && self->m_grantedBytes == 0)
                                   self->awaitGrant();
                               else
                                   self->writePiece();
                           });
}

void ServerSession::endWriting()
{
    m_isWriting = false;
    m_isAwaitingGrant = false;
    --m_server->unwrittenResponses;
    if (m_transfer)
        m_server->transferHooks.end(*m_transfer);
    m_transfer.reset();
    m_serializer.reset();
    m_message.reset();
}

void ServerSession::onWritten(const error_code &error)
{
    endWriting();
    if (m_isClosed)
        return;
    m_lastActivity = EventLoop::now();
    if (error) {
        close();
        return;
    }
    if (m_closesAfterResponse) {
        // Only the sending side is shut down, so that the peer closes first: a close on this side could reset the
        // connection, and the peer would lose the end of the response.
        error_code ignored;
        m_socket.shutdown(StreamSocket::shutdown_send, ignored);
        if (m_readState == ReadState::Done)
            close();
        return;
    }
    if (m_readState == ReadState::Done)
        handleRequest();
}

void ServerSession::onPeerDisconnected()
{
    const auto activeRequest = std::exchange(m_activeRequest, nullptr);
    if (activeRequest)
        --m_server->activeRequests;
    close();
    if (activeRequest)
        activeRequest->notifyCancelled();
}

void ServerSession::closeIfTimedOut(MonotonicTime now)
{
    if (m_activeRequest)
        return;
    const MonotonicTime::duration inactiveTime = now - m_lastActivity;
    if (m_isWriting) {
        if (!m_isAwaitingGrant && inactiveTime > writeStallTimeout)
            close();
        return;
    }
    if (m_closesAfterResponse) {
        if (inactiveTime > lingerTimeout)
            close();
        return;
    }
    if (isReadTimedOut(now))
        close();
}

bool ServerSession::isReadTimedOut(MonotonicTime now)
{
    if (m_readState == ReadState::Body)
        return now - m_lastActivity > m_server->limits.requestReadTimeout;
    if (m_buffer.size() == 0)
        return now - m_lastActivity > m_server->limits.idleTimeout;
    if (!m_partialHeadSince)
        m_partialHeadSince = now;
    return now - *m_partialHeadSince > m_server->limits.requestReadTimeout;
}

void ServerSession::closeIfIdle()
{
    if (!m_activeRequest && !m_isWriting && m_readState == ReadState::Head && m_buffer.size() == 0)
        close();
}

void ServerSession::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    error_code ignored;
    m_socket.close(ignored);
    if (m_isWriting && m_isAwaitingGrant)
        endWriting(); // otherwise a write in progress still refers to the message
    m_server->sessions.erase(shared_from_this());
}

} // namespace dandeliondock::impl
