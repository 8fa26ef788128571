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
constexpr std::size_t maxBodyReadSize = 65'536;
// Time after which a client may repeat a request that was refused because connections hold too much. Stalled ones are
// closed within this time.
constexpr absl::string_view refusalRetryAfter = "1";
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
        m_request.body = {}; // not needed while the response is written
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

void ServerSession::start()
{
    openEntry();
    readHead();
}

void ServerSession::openEntry()
{
    if (!m_server->account)
        return;
    m_entry = m_server->account->open([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->shed();
    });
}

void ServerSession::readHead()
{
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(static_cast<std::uint32_t>(m_server->limits.maxHeaderBytes.value()));
    m_parser->body_limit(m_server->limits.maxBodyBytes.value());
    m_buffer.max_size(std::max<std::size_t>(minUnparsedLimit, 2 * m_server->limits.maxHeaderBytes.value()));
    m_readState = ReadState::Head;
    m_partialHeadSince.reset();
    m_isReading = true;
    http::async_read_header(
            m_socket, m_buffer, *m_parser,
            [self = shared_from_this()](const error_code &error, std::size_t) { self->onHeadRead(error); });
}

void ServerSession::onHeadRead(const error_code &error)
{
    m_isReading = false;
    if (m_isClosed)
        return;
    if (isShed()) {
        refuse();
        return;
    }
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
    m_bodySince = m_lastActivity;
    m_bodyBytesRead = 0;
    m_parser->eager(true);
    reserveForBody(*m_parser, m_buffer);
    updateAccount();
    if (!m_activeRequest && !m_isWriting
        && boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        sendContinue();
        return;
    }
    if (m_buffer.size() > 0)
        parseBody();
    else
        readBody();
}

// Beast's own operations read on until a chunk ends with the bytes of a read, so that they return late or never while
// many small chunks arrive.
void ServerSession::readBody()
{
    const std::size_t size = boost::beast::read_size(m_buffer, maxBodyReadSize);
    if (size == 0) {
        onReadFailed(http::error::buffer_overflow);
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(m_buffer.prepare(size),
                             [self = shared_from_this()](const error_code &error, std::size_t bytes) {
                                 self->onBodyBytesRead(error, bytes);
                             });
}

void ServerSession::sendContinue()
{
    m_isReading = true;
    static constexpr absl::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(
            m_socket, asio::buffer(interim.data(), interim.size()),
            [self = shared_from_this()](const error_code &error, std::size_t) { self->onBodyBytesRead(error, 0); });
}

void ServerSession::onBodyBytesRead(const error_code &error, std::size_t bytes)
{
    m_isReading = false;
    if (m_isClosed)
        return;
    if (isShed()) {
        refuse();
        return;
    }
    if (error) {
        onReadFailed(error);
        return;
    }
    m_buffer.commit(bytes);
    if (m_buffer.size() > 0)
        parseBody();
    else
        readBody();
}

void ServerSession::parseBody()
{
    error_code error;
    const std::size_t parsed = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(parsed);
    m_bodyBytesRead += parsed;
    if (error == http::error::need_more)
        error = {};
    if (!error && isFramingExcessive(ByteCount(m_bodyBytesRead), ByteCount(m_parser->get().body().size())))
        error = http::error::body_limit;
    if (error) {
        onReadFailed(error);
        return;
    }
    m_lastActivity = EventLoop::now();
    if (m_parser->is_done()) {
        onRequestRead();
        return;
    }
    updateAccount();
    readBody();
}

void ServerSession::onReadFailed(const error_code &error)
{
    m_readState = ReadState::Done;
    if (isDisconnect(error)) {
        onPeerDisconnected();
        return;
    }
    m_parser.reset();
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
    const ByteCount bodySize(message.body().size());
    request.body =
            HttpBody(std::move(message.body()), m_server->account ? m_server->account->charge(bodySize) : nullptr);
    m_lastActivity = EventLoop::now();
    m_activeRequest = std::make_shared<SessionRequest>(shared_from_this(), std::move(request), message.keep_alive(),
                                                       message.version());
    ++m_server->activeRequests;
    shrinkBuffer(m_buffer);
    readHead();
    updateAccount();
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

void ServerSession::reject(http::status status, absl::string_view retryAfter)
{
    m_parser.reset();
    m_isRejected = true;
    http::response<http::string_body> message(status, 11);
    if (!retryAfter.empty()) {
        copyHeaders(m_server->refusalHeaders, message);
        message.set(http::field::retry_after, boost::beast::string_view(retryAfter.data(), retryAfter.size()));
    }
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
    updateAccount();
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
    updateAccount();
    m_server->transferHooks.awaitGrant(*m_transfer, [weak = weak_from_this()](ByteCount bytes) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_isAwaitingGrant = false;
        self->m_grantedBytes = bytes.value();
        self->m_lastActivity = EventLoop::now();
        self->updateAccount();
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
                               self->updateAccount();
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
        if (m_readState == ReadState::Done && !m_isRejected)
            close();
        else
            updateAccount();
        return;
    }
    updateAccount();
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
    updateAccount();
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
        return isBodyTimedOut(now);
    if (m_buffer.size() == 0)
        return now - m_lastActivity > m_server->limits.idleTimeout;
    if (!m_partialHeadSince)
        m_partialHeadSince = now;
    return now - *m_partialHeadSince > m_server->limits.requestReadTimeout;
}

bool ServerSession::isBodyTimedOut(MonotonicTime now) const
{
    const Milliseconds timeout = m_server->limits.requestReadTimeout;
    const Microseconds transferTime(static_cast<std::int64_t>(m_bodyBytesRead * std::micro::den / slowRate.value()));
    return now - m_lastActivity > timeout || now - m_bodySince > timeout + transferTime;
}

HolderActivity ServerSession::activity() const
{
    if (m_isWriting)
        return m_isAwaitingGrant ? HolderActivity::Delayed : HolderActivity::Writing;
    if (m_closesAfterResponse && !m_activeRequest)
        return HolderActivity::Closing;
    if (m_readState == ReadState::Body || m_readState == ReadState::Done)
        return HolderActivity::Receiving;
    if (m_activeRequest)
        return HolderActivity::Handling;
    return m_buffer.size() > 0 ? HolderActivity::Receiving : HolderActivity::Idle;
}

void ServerSession::updateAccount()
{
    if (!m_entry || m_isClosed)
        return;
    std::size_t bytes = connectionOverhead.value() + m_buffer.capacity();
    if (m_isWriting)
        bytes += m_message->body().size();
    if (m_parser && m_parser->is_header_done()) {
        const std::uint64_t bound = m_parser->content_length().value_or(m_server->limits.maxBodyBytes.value());
        bytes += memoryOfBody(m_parser->get().body(), bound);
    }
    const bool isInHead = m_readState == ReadState::Head && !m_isWriting;
    m_entry->record(
            {activity(), ByteCount(bytes), isInHead ? m_partialHeadSince.value_or(m_lastActivity) : m_lastActivity});
}

void ServerSession::shed()
{
    if (m_isClosed)
        return;
    const bool isIdle = m_readState == ReadState::Head && m_buffer.size() == 0 && !m_activeRequest;
    if (m_isWriting || isIdle || m_isRejected) {
        onPeerDisconnected();
        return;
    }
    if (m_isReading) {
        error_code ignored;
        m_socket.cancel(ignored); // its handler refuses the request
        return;
    }
    refuse();
}

// The request was not passed to the handler, so that the status can promise that it was not executed.
void ServerSession::refuse()
{
    m_readState = ReadState::Done;
    m_parser.reset();
    openEntry(); // the one that was shed does not count the connection any more
    if (m_activeRequest || m_isWriting)
        m_closesAfterResponse = true;
    else
        reject(http::status::service_unavailable, refusalRetryAfter);
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
    m_entry.reset();
    m_server->sessions.erase(shared_from_this());
}

} // namespace dandeliondock::impl
