#include <dandeliondock/core/error.h>
#include <dandeliondock/http/async_server.h>

#include "asio_state.h"
#include "beast_message.h"

#include <absl/strings/str_cat.h>

#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace dandeliondock {

namespace impl {

namespace {

constexpr Milliseconds timeoutCheckInterval{500};
constexpr Milliseconds lingerTimeout{2'000}; // time for the peer to close its side after the last response
constexpr Milliseconds connectionTcpUserTimeout{10'000};
// Time without progress after which a response is abandoned because its peer does not read.
constexpr Milliseconds writeStallTimeout{10'000};
// Long responses are written in pieces, so that their progress is known.
constexpr std::size_t writePieceSize = 65'536;
// Bytes of the head of a response, for the account of what is written.
constexpr std::uint64_t assumedHeadSize = 300;
constexpr int listenBacklog = 1'024;

http::status statusForError(const error_code &error)
{
    if (error == http::error::header_limit)
        return http::status::request_header_fields_too_large;
    if (error == http::error::body_limit)
        return http::status::payload_too_large;
    return http::status::bad_request;
}

bool isDisconnect(const error_code &error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message
           || error.category() != make_error_code(http::error::bad_value).category();
}

} // namespace

class ServerSession;

/// \brief State of a server: its listening socket, its limits and its open connections.
class ServerState : public std::enable_shared_from_this<ServerState>
{
public:
    ServerState(EventLoop &loop, AsyncRequestHandler handler)
        : m_loop(loop), m_handler(std::move(handler)), m_acceptor(loop.state().context)
    {
    }

    absl::Status listen(const Address &address);
    void stopAccepting();
    void close();

    ConnectionLimits limits;
    TransferHooks transferHooks;
    bool isDraining = false;
    std::size_t activeRequests = 0;
    std::size_t unwrittenResponses = 0;
    std::set<std::shared_ptr<ServerSession>> sessions;

    void handle(const HttpRequestContextPtr &context) { m_handler(context); }

private:
    void accept();
    void acceptWaiting();
    void startSession(StreamSocket socket);
    void scheduleTimeoutCheck();

    EventLoop &m_loop;
    AsyncRequestHandler m_handler;
    StreamAcceptor m_acceptor;
    LoopTimer m_timeoutTimer;
};

class SessionRequest;

/// \brief One connection. The head of the next request is read while a request is handled, so that a disconnect of the
/// peer is noticed.
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
    ServerSession(StreamSocket socket, std::shared_ptr<ServerState> server)
        : m_socket(std::move(socket)), m_server(std::move(server)), m_lastActivity(EventLoop::now())
    {
        setStreamOptions(m_socket, connectionTcpUserTimeout);
        m_buffer.reserve(headReadSize);
    }

    void start() { readHead(); }

    void respond(const SessionRequest *request, HttpResponse response);
    void abort(const SessionRequest *request);

    /// \brief Closes the connection if no request is being read or handled and no response is being written.
    void closeIfIdle();

    /// \brief Closes the connection if no request is being handled and the time since the last activity exceeds the
    /// limit of its state; see ConnectionLimits.
    void closeIfTimedOut(MonotonicTime now);

    void close();

private:
    enum class ReadState { Idle, Head, Body, Done };

    void readHead();
    void onHeadRead(const error_code &error);
    void onBodyRead(const error_code &error);
    void sendContinue();
    void onReadFailed(const error_code &error);
    void onRequestRead();
    void handleRequest();
    void reject(http::status status);
    void onPeerDisconnected();
    void write(http::response<http::string_body> message, bool isUrgent);
    void awaitGrant();
    void writePiece();
    void endWriting();
    void onWritten(const error_code &error);
    [[nodiscard]] bool isReadTimedOut(MonotonicTime now);

    using Parser = http::request_parser<http::string_body>;
    using Serializer = http::response_serializer<http::string_body>;

    StreamSocket m_socket;
    std::shared_ptr<ServerState> m_server;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
    std::unique_ptr<http::response<http::string_body>> m_message;
    std::unique_ptr<Serializer> m_serializer; ///< of m_message
    std::optional<TransferId> m_transfer;     ///< of a response that is written as grants allow
    std::size_t m_grantedBytes = 0;
    bool m_isAwaitingGrant = false;
    std::shared_ptr<SessionRequest> m_activeRequest;
    ReadState m_readState = ReadState::Idle;
    MonotonicTime m_lastActivity;
    std::optional<MonotonicTime> m_partialHeadSince; ///< set when a part of a head was noticed
    bool m_isWriting = false;
    bool m_closesAfterResponse = false; ///< no further request is handled after the response in progress
    bool m_isClosed = false;
};

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

void ServerSession::readHead()
{
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(static_cast<std::uint32_t>(m_server->limits.maxHeaderBytes.value()));
    m_parser->body_limit(m_server->limits.maxBodyBytes.value());
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
    if (!m_activeRequest && boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
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

absl::Status ServerState::listen(const Address &address)
{
    const auto endpoint = endpointOf(address);
    if (!endpoint.ok())
        return endpoint.status();
    error_code error;
    m_acceptor.open(endpoint->protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(*endpoint, error);
    if (!error)
        m_acceptor.listen(listenBacklog, error);
    if (error) {
        return makeError(ErrorKind::InvalidSettings,
                         absl::StrCat("cannot listen on ", address.value(), ": ", error.message()));
    }
    accept();
    scheduleTimeoutCheck();
    return absl::OkStatus();
}

void ServerState::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](const error_code &error, StreamSocket socket) {
        if (error == asio::error::operation_aborted || !self->m_acceptor.is_open())
            return;
        if (!error)
            self->startSession(std::move(socket));
        self->accept();
    });
}

void ServerState::startSession(StreamSocket socket)
{
    const auto session = std::make_shared<ServerSession>(std::move(socket), shared_from_this());
    sessions.insert(session);
    session->start();
}

// Closing the listening socket resets the connections that wait to be accepted.
void ServerState::acceptWaiting()
{
    error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        StreamSocket socket(m_loop.state().context);
        m_acceptor.accept(socket, error);
        if (!error)
            startSession(std::move(socket));
    }
}

void ServerState::scheduleTimeoutCheck()
{
    m_timeoutTimer = m_loop.after(timeoutCheckInterval, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        const MonotonicTime now = EventLoop::now();
        const auto openSessions = self->sessions;
        for (const auto &session : openSessions)
            session->closeIfTimedOut(now);
        self->scheduleTimeoutCheck();
    });
}

void ServerState::stopAccepting()
{
    error_code ignored;
    const auto openSessions = sessions;
    acceptWaiting();
    m_acceptor.close(ignored);
    for (const auto &session : openSessions)
        session->closeIfIdle();
}

void ServerState::close()
{
    error_code ignored;
    m_acceptor.close(ignored);
    m_timeoutTimer.cancel();
    const auto openSessions = sessions;
    for (const auto &session : openSessions)
        session->close();
}

} // namespace impl

AsyncHttpServer::AsyncHttpServer(EventLoop &loop, AsyncRequestHandler handler)
    : m_state(std::make_shared<impl::ServerState>(loop, std::move(handler)))
{
}

AsyncHttpServer::~AsyncHttpServer()
{
    m_state->close();
}

absl::Status AsyncHttpServer::listen(const Address &address)
{
    return m_state->listen(address);
}

void AsyncHttpServer::setLimits(const ConnectionLimits &limits)
{
    m_state->limits = limits;
}

void AsyncHttpServer::setTransferHooks(TransferHooks hooks)
{
    m_state->transferHooks = std::move(hooks);
}

void AsyncHttpServer::setDraining()
{
    m_state->isDraining = true;
}

void AsyncHttpServer::stopAccepting()
{
    m_state->stopAccepting();
}

std::size_t AsyncHttpServer::activeRequests() const noexcept
{
    return m_state->activeRequests;
}

std::size_t AsyncHttpServer::unwrittenResponses() const noexcept
{
    return m_state->unwrittenResponses;
}

std::size_t AsyncHttpServer::connections() const noexcept
{
    return m_state->sessions.size();
}

} // namespace dandeliondock
