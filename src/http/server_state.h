#pragma once

#include <dandeliondock/http/async_server.h>

#include "asio_state.h"

#include <cstddef>
#include <memory>
#include <set>
#include <utility>

namespace dandeliondock::impl {

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
    ConcurrencyHook isConcurrent; ///< null if a connection has one request in progress
    std::function<void(ConcurrencyEvent)> onConcurrencyEvent;
    std::function<void(const RequestRejection &)> onRejected;
    std::function<bool()> areLimitsConfirmed; ///< null if the limits are always current
    std::shared_ptr<ReceiveAccount> account;  ///< may be null
    HttpHeaders refusalHeaders;
    bool isDraining = false;
    bool isClosed = false;
    std::size_t activeRequests = 0;
    std::size_t unwrittenResponses = 0;
    std::set<std::shared_ptr<ServerSession>> sessions;

    void handle(const HttpRequestContextPtr &context) { m_handler(context); }
    void notify(ConcurrencyEvent event)
    {
        if (onConcurrencyEvent)
            onConcurrencyEvent(event);
    }

private:
    void accept();
    void acceptWaiting();
    void startSession(StreamSocket socket);
    void scheduleTimeoutCheck();

    EventLoop &m_loop;
    AsyncRequestHandler m_handler;
    StreamAcceptor m_acceptor;
    LoopTimer m_timeoutTimer;
    LoopTimer m_acceptTimer;
};

} // namespace dandeliondock::impl
