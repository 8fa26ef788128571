#include <dandeliondock/core/error.h>
#include <dandeliondock/http/async_server.h>

#include "server_session.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace dandeliondock {

namespace impl {

namespace {

constexpr Milliseconds timeoutCheckInterval{500};
constexpr int listenBacklog = 1'024;
// Accepting fails at once while the process has no free descriptor.
constexpr Milliseconds acceptRetryDelay{50};

} // namespace

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
        if (error) {
            self->m_acceptTimer = self->m_loop.after(acceptRetryDelay, [weak = self->weak_from_this()] {
                const auto state = weak.lock();
                if (state && state->m_acceptor.is_open())
                    state->accept();
            });
            return;
        }
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
    isClosed = true;
    m_acceptor.close(ignored);
    m_timeoutTimer.cancel();
    m_acceptTimer.cancel();
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
    if (m_state->limits == limits)
        return;
    const ConnectionLimits earlier = std::exchange(m_state->limits, limits);
    for (const auto &session : m_state->sessions)
        session->applyLimits(earlier);
}

void AsyncHttpServer::setLimitsConfirmed(std::function<bool()> areConfirmed)
{
    m_state->areLimitsConfirmed = std::move(areConfirmed);
}

void AsyncHttpServer::setTransferHooks(TransferHooks hooks)
{
    m_state->transferHooks = std::move(hooks);
}

void AsyncHttpServer::setConcurrency(ConcurrencyHook hook)
{
    m_state->isConcurrent = std::move(hook);
}

void AsyncHttpServer::onConcurrencyEvent(std::function<void(ConcurrencyEvent)> hook)
{
    m_state->onConcurrencyEvent = std::move(hook);
}

void AsyncHttpServer::onRejected(std::function<void(const RequestRejection &)> hook)
{
    m_state->onRejected = std::move(hook);
}

void AsyncHttpServer::setReceiveAccount(std::shared_ptr<ReceiveAccount> account, HttpHeaders refusalHeaders)
{
    m_state->account = std::move(account);
    m_state->refusalHeaders = std::move(refusalHeaders);
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
