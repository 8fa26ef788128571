#include <dandeliondock/http/server.h>

#include "connection_threads.h"
#include "listen_socket.h"
#include "server_connection.h"

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <mutex>
#include <poll.h>
#include <set>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace dandeliondock {

namespace {

// Pause after which accepting is tried again when the system has no further descriptor or thread.
constexpr Milliseconds acceptRetryDelay{50};

} // namespace

struct HttpServer::Impl
{
    impl::ServerContext context;
    impl::ListenSocket listener;
    int stopEvent = -1; ///< readable when the server stops accepting
    std::size_t maxConnections = 0;
    std::mutex mutex;
    std::set<impl::ServerConnection *> connections;
    bool isClosing = false; ///< connections are closed as soon as they are accepted
    bool isStopped = false;
    std::thread acceptThread;
    impl::ConnectionThreads threads;

    // When the server stops accepting, the connections that wait to be accepted are served as well.
    void acceptConnections()
    {
        std::array entries{pollfd{listener.descriptor, POLLIN, 0}, pollfd{stopEvent, POLLIN, 0}};
        while (!threads.isStopped()) {
            threads.waitBelow(maxConnections);
            if (poll(entries.data(), entries.size(), -1) > 0 && (entries[0].revents & POLLIN) != 0)
                acceptConnection();
        }
        while (acceptConnection()) {
        }
    }

    // Returns false if no connection waits.
    bool acceptConnection()
    {
        const int descriptor = accept4(listener.descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0) {
            startConnection(descriptor);
            return true;
        }
        const bool isOutOfDescriptors = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
        if (isOutOfDescriptors)
            std::this_thread::sleep_for(acceptRetryDelay);
        return errno == EINTR || errno == ECONNABORTED;
    }

    void startConnection(int descriptor)
    {
        auto connection = std::make_shared<impl::ServerConnection>(descriptor, context);
        if (connection->isShed())
            return;
        context.activity.addConnection();
        {
            const std::scoped_lock lock(mutex);
            connections.insert(connection.get());
            if (isClosing)
                connection->shutDown();
        }
        if (threads.start([this, connection] { serve(*connection); }))
            return;
        remove(*connection);
        connection.reset();
        std::this_thread::sleep_for(acceptRetryDelay);
    }

    void serve(impl::ServerConnection &connection)
    {
        connection.run();
        remove(connection);
    }

    void remove(impl::ServerConnection &connection)
    {
        {
            const std::scoped_lock lock(mutex);
            connections.erase(&connection);
        }
        context.activity.removeConnection();
    }

    void stopAccepting()
    {
        threads.stop();
        eventfd_write(stopEvent, 1);
        acceptThread.join();
        close(listener.descriptor);
        close(stopEvent);
    }

    void closeConnections()
    {
        const std::scoped_lock lock(mutex);
        isClosing = true;
        for (impl::ServerConnection *connection : connections)
            connection->shutDown();
    }
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

HttpServer::~HttpServer()
{
    stop();
}

std::uint16_t HttpServer::port() const noexcept
{
    return m_impl->listener.port;
}

void HttpServer::startDraining()
{
    if (m_impl->context.activity.startDraining())
        m_impl->stopAccepting();
}

bool HttpServer::waitForRequests(Milliseconds limit)
{
    return m_impl->context.activity.waitForRequests(limit);
}

bool HttpServer::waitDrained(Milliseconds quiet, Milliseconds limit)
{
    return m_impl->context.activity.waitDrained(quiet, limit);
}

std::size_t HttpServer::activeRequests() const
{
    return m_impl->context.activity.activeRequests();
}

void HttpServer::stop()
{
    if (std::exchange(m_impl->isStopped, true))
        return;
    startDraining();
    m_impl->closeConnections();
    m_impl->threads.joinAll();
}

HttpServerBuilder &HttpServerBuilder::listen(std::string address, std::uint16_t port)
{
    m_address = std::move(address);
    m_port = port;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::handler(HttpHandler handler)
{
    return streamingHandler([handler = std::move(handler)](HttpRequest request, const CallerConnection &) {
        return StreamableResponse{handler(std::move(request)), {}, {}};
    });
}

HttpServerBuilder &HttpServerBuilder::streamingHandler(StreamingHttpHandler handler)
{
    m_handler = std::move(handler);
    return *this;
}

HttpServerBuilder &HttpServerBuilder::maxBody(ByteCount limit)
{
    m_maxBody = limit;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::maxConnections(ConnectionCount limit)
{
    m_maxConnections = limit;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::account(std::shared_ptr<SharedReceiveAccount> account)
{
    m_account = std::move(account);
    return *this;
}

HttpServerBuilder &HttpServerBuilder::refusalHeaders(HttpHeaders headers)
{
    m_refusalHeaders = std::move(headers);
    return *this;
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServerBuilder::start()
{
    const absl::StatusOr<impl::ListenSocket> listener = impl::openListenSocket(m_address, m_port);
    if (!listener.ok())
        return listener.status();
    auto impl = std::make_unique<HttpServer::Impl>();
    impl->listener = *listener;
    fcntl(listener->descriptor, F_SETFL, O_NONBLOCK);
    impl->stopEvent = eventfd(0, EFD_CLOEXEC);
    impl->context.handler = m_handler;
    impl->context.maxBody = m_maxBody;
    impl->context.account = m_account;
    impl->context.refusalHeaders = m_refusalHeaders;
    impl->maxConnections = m_maxConnections.value();
    impl->acceptThread = std::thread([server = impl.get()] { server->acceptConnections(); });
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

} // namespace dandeliondock
