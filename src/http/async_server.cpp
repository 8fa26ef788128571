#include <dandeliondock/core/error.h>
#include <dandeliondock/http/async_server.h>

#include "asio_state.h"
#include "beast_message.h"

#include <absl/strings/str_cat.h>

#include <boost/beast/core/flat_buffer.hpp>

#include <set>
#include <utility>

namespace dandeliondock {

namespace impl {

namespace {

constexpr Milliseconds sweepInterval{500};
constexpr Milliseconds lingerTime{2'000}; // for the peer to close after the last response
constexpr Milliseconds peerSilence{10'000};
constexpr int listenBacklog = 1'024;

http::status statusOf(const error_code &error)
{
    if (error == http::error::header_limit)
        return http::status::request_header_fields_too_large;
    if (error == http::error::body_limit)
        return http::status::payload_too_large;
    return http::status::bad_request;
}

bool isPeerGone(const error_code &error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message
           || error.category() != make_error_code(http::error::bad_value).category();
}

} // namespace

class ServerSession;

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
    bool isDraining = false;
    std::size_t openExchanges = 0;
    std::set<std::shared_ptr<ServerSession>> sessions;

    void handle(const HttpRequestContextPtr &exchange) { m_handler(exchange); }

private:
    void accept();
    void sweep();

    EventLoop &m_loop;
    AsyncRequestHandler m_handler;
    StreamAcceptor m_acceptor;
    LoopTimer m_sweepTimer;
};

class SessionExchange;

/// \brief One connection. The next request's head is read while a request is handled, which shows when the peer leaves.
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
    ServerSession(StreamSocket socket, std::shared_ptr<ServerState> server)
        : m_socket(std::move(socket)), m_server(std::move(server)), m_lastActivity(EventLoop::now())
    {
        setStreamOptions(m_socket, peerSilence);
        m_buffer.reserve(headReadSize);
    }

    void start() { readHead(); }

    void respond(const SessionExchange *exchange, HttpResponse response);
    void abort(const SessionExchange *exchange);

    /// \brief Closes a connection that is between two requests.
    void closeIfIdle();

    /// \brief Closes a connection that took too long.
    void sweep(MonotonicTime now);

    void close();

private:
    enum class Reading { Idle, Head, Body, Done };

    void readHead();
    void headRead(const error_code &error);
    void bodyRead(const error_code &error);
    void continueBody();
    void readFailed(const error_code &error);
    void requestRead();
    void handleNext();
    void refuse(http::status status);
    void peerLeft();
    void write(http::response<http::string_body> message);
    void written(const error_code &error);

    using Parser = http::request_parser<http::string_body>;

    StreamSocket m_socket;
    std::shared_ptr<ServerState> m_server;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
    std::unique_ptr<http::response<http::string_body>> m_message;
    std::shared_ptr<SessionExchange> m_exchange;
    Reading m_reading = Reading::Idle;
    MonotonicTime m_lastActivity;
    bool m_isWriting = false;
    bool m_isLast = false; ///< nothing is read after the response in progress
    bool m_isClosed = false;
};

class SessionExchange : public HttpRequestContext
{
public:
    SessionExchange(std::shared_ptr<ServerSession> session, HttpRequest request, bool keepAlive, unsigned version)
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

    void cancelled()
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
    m_reading = Reading::Head;
    http::async_read_header(
            m_socket, m_buffer, *m_parser,
            [self = shared_from_this()](const error_code &error, std::size_t) { self->headRead(error); });
}

void ServerSession::headRead(const error_code &error)
{
    if (m_isClosed)
        return;
    if (error) {
        readFailed(error);
        return;
    }
    m_lastActivity = EventLoop::now();
    if (m_parser->is_done()) {
        requestRead();
        return;
    }
    m_reading = Reading::Body;
    reserveForBody(*m_parser, m_buffer);
    if (!m_exchange && boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        continueBody();
        return;
    }
    http::async_read(m_socket, m_buffer, *m_parser,
                     [self = shared_from_this()](const error_code &e, std::size_t) { self->bodyRead(e); });
}

void ServerSession::continueBody()
{
    static constexpr absl::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(m_socket, asio::buffer(interim.data(), interim.size()),
                      [self = shared_from_this()](const error_code &error, std::size_t) {
                          if (error) {
                              self->bodyRead(error);
                              return;
                          }
                          http::async_read(self->m_socket, self->m_buffer, *self->m_parser,
                                           [self](const error_code &e, std::size_t) { self->bodyRead(e); });
                      });
}

void ServerSession::bodyRead(const error_code &error)
{
    if (m_isClosed)
        return;
    if (error) {
        readFailed(error);
        return;
    }
    requestRead();
}

void ServerSession::readFailed(const error_code &error)
{
    m_reading = Reading::Done;
    if (isPeerGone(error)) {
        peerLeft();
        return;
    }
    if (m_exchange || m_isWriting) {
        m_isLast = true;
        return;
    }
    refuse(statusOf(error));
}

void ServerSession::requestRead()
{
    m_reading = Reading::Done;
    if (!m_exchange && !m_isWriting)
        handleNext();
}

void ServerSession::handleNext()
{
    auto message = m_parser->release();
    HttpRequest request;
    request.method.assign(message.method_string().data(), message.method_string().size());
    request.target.assign(message.target().data(), message.target().size());
    copyHeaders(message, request.headers);
    request.body = std::move(message.body());
    m_lastActivity = EventLoop::now();
    m_exchange = std::make_shared<SessionExchange>(shared_from_this(), std::move(request), message.keep_alive(),
                                                   message.version());
    ++m_server->openExchanges;
    releaseLongBuffer(m_buffer);
    readHead();
    m_server->handle(m_exchange);
}

void ServerSession::respond(const SessionExchange *exchange, HttpResponse response)
{
    if (m_exchange.get() != exchange || m_isClosed)
        return;
    const bool keepAlive = m_exchange->keepAlive() && !m_server->isDraining && !m_isLast;
    http::response<http::string_body> message(static_cast<http::status>(response.status), m_exchange->version());
    copyHeaders(response.headers, message);
    const bool isHead = m_exchange->request().method == "HEAD";
    m_exchange.reset();
    --m_server->openExchanges;
    message.keep_alive(keepAlive);
    m_isLast = !keepAlive;
    message.body() = std::move(response.body);
    if (!isHead)
        message.prepare_payload();
    write(std::move(message));
}

void ServerSession::abort(const SessionExchange *exchange)
{
    if (m_exchange.get() != exchange)
        return;
    m_exchange.reset();
    --m_server->openExchanges;
    close();
}

void ServerSession::refuse(http::status status)
{
    http::response<http::string_body> message(status, 11);
    message.keep_alive(false);
    message.prepare_payload();
    m_isLast = true;
    write(std::move(message));
}

void ServerSession::write(http::response<http::string_body> message)
{
    m_message = std::make_unique<http::response<http::string_body>>(std::move(message));
    m_isWriting = true;
    http::async_write(m_socket, *m_message,
                      [self = shared_from_this()](const error_code &error, std::size_t) { self->written(error); });
}

void ServerSession::written(const error_code &error)
{
    if (m_isClosed)
        return;
    m_isWriting = false;
    m_message.reset();
    m_lastActivity = EventLoop::now();
    if (error) {
        close();
        return;
    }
    if (m_isLast) {
        // The peer closes first, so that the end of the response is not lost to a reset.
        error_code ignored;
        m_socket.shutdown(StreamSocket::shutdown_send, ignored);
        if (m_reading == Reading::Done)
            close();
        return;
    }
    if (m_reading == Reading::Done)
        handleNext();
}

void ServerSession::peerLeft()
{
    const auto exchange = std::exchange(m_exchange, nullptr);
    if (exchange)
        --m_server->openExchanges;
    close();
    if (exchange)
        exchange->cancelled();
}

void ServerSession::sweep(MonotonicTime now)
{
    if (m_exchange)
        return;
    const MonotonicTime::duration quiet = now - m_lastActivity;
    if (m_isLast) {
        if (quiet > lingerTime)
            close();
        return;
    }
    const bool isReading = m_reading == Reading::Body || m_buffer.size() > 0;
    if (quiet > (isReading ? m_server->limits.requestReadTimeout : m_server->limits.idleTimeout))
        close();
}

void ServerSession::closeIfIdle()
{
    if (!m_exchange && !m_isWriting && m_reading == Reading::Head && m_buffer.size() == 0)
        close();
}

void ServerSession::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    error_code ignored;
    m_socket.close(ignored);
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
    sweep();
    return absl::OkStatus();
}

void ServerState::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](const error_code &error, StreamSocket socket) {
        if (error == asio::error::operation_aborted || !self->m_acceptor.is_open())
            return;
        if (!error) {
            const auto session = std::make_shared<ServerSession>(std::move(socket), self);
            self->sessions.insert(session);
            session->start();
        }
        self->accept();
    });
}

void ServerState::sweep()
{
    m_sweepTimer = m_loop.after(sweepInterval, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        const MonotonicTime now = EventLoop::now();
        const auto copy = self->sessions;
        for (const auto &session : copy)
            session->sweep(now);
        self->sweep();
    });
}

void ServerState::stopAccepting()
{
    error_code ignored;
    m_acceptor.close(ignored);
    const auto copy = sessions;
    for (const auto &session : copy)
        session->closeIfIdle();
}

void ServerState::close()
{
    error_code ignored;
    m_acceptor.close(ignored);
    m_sweepTimer.cancel();
    const auto copy = sessions;
    for (const auto &session : copy)
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
    return m_state->openExchanges;
}

std::size_t AsyncHttpServer::connections() const noexcept
{
    return m_state->sessions.size();
}

} // namespace dandeliondock
