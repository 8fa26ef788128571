#include <dandeliondock/core/error.h>
#include <dandeliondock/http/async_client.h>

#include "asio_state.h"
#include "beast_message.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace dandeliondock {

namespace impl {

namespace {

// Interim responses, and responses to other requests, that are passed over while one is awaited.
constexpr int mostPassedOver = 16;
constexpr std::uint32_t mostHeaderBytes = 65'536;
// Part of the peer's keep-alive time that is left unused, as the close may already be on its way.
constexpr Milliseconds keepAliveMargin{1'000};

std::optional<Milliseconds> keepAliveTime(const HttpHeaders &headers)
{
    const auto value = headers.first("Keep-Alive");
    if (!value)
        return std::nullopt;
    for (absl::string_view part : absl::StrSplit(*value, ',')) {
        const std::pair<absl::string_view, absl::string_view> item = absl::StrSplit(part, absl::MaxSplits('=', 1));
        std::int64_t seconds = 0;
        if (absl::StripAsciiWhitespace(item.first) == "timeout" && absl::SimpleAtoi(item.second, &seconds))
            return Milliseconds(seconds * 1'000);
    }
    return std::nullopt;
}

bool mayHaveBody(absl::string_view method)
{
    return method != "GET" && method != "HEAD" && method != "DELETE";
}

} // namespace

class ClientConnection;

/// \brief One call: its handler is called once unless it is cancelled.
class ClientCall : public std::enable_shared_from_this<ClientCall>
{
public:
    ClientCall(EventLoop &loop, const HttpRequest &request, AsyncCallOptions callOptions, AsyncCallHandler callHandler)
        : options(std::move(callOptions)), isHead(request.method == "HEAD"), m_handler(std::move(callHandler))
    {
        message.method_string(request.method);
        message.target(request.target);
        message.version(11);
        copyHeaders(request.headers, message);
        message.body() = request.body;
        if (!request.body.empty() || mayHaveBody(request.method))
            message.content_length(request.body.size());
        if (!options.correlationHeader.empty())
            expectedEcho = std::string(request.headers.first(options.correlationHeader).value_or(""));
        m_loop = &loop;
    }

    void startDeadline();
    void cancel();
    [[nodiscard]] bool extendForTransfer();
    [[nodiscard]] bool hasResponseBegun() const;
    void finish(AsyncCallResult result);

    [[nodiscard]] bool isFinished() const noexcept { return !m_handler; }

    http::request<http::string_body> message;
    AsyncCallOptions options;
    std::string expectedEcho;
    bool isHead;
    bool maybeSent = false;
    std::weak_ptr<ClientConnection> connection;

private:
    void dropConnection();

    EventLoop *m_loop;
    AsyncCallHandler m_handler;
    LoopTimer m_deadline;
};

class ClientState : public std::enable_shared_from_this<ClientState>
{
public:
    ClientState(EventLoop &owner, AsyncClientLimits bounds) : loop(owner), limits(bounds) {}

    void start(const Address &address, const std::shared_ptr<ClientCall> &call);
    void release(const Address &address, const std::shared_ptr<ClientConnection> &connection);
    void forget(const Address &address, const std::shared_ptr<ClientConnection> &connection);
    void closeAll();

    /// \brief Notes how much of a response a connection holds; the longest one fails when all hold too much.
    void noteHeld(const std::shared_ptr<ClientConnection> &connection, std::size_t bytes);

    /// \brief The connection holds nothing any more.
    void noteReleased(const std::shared_ptr<ClientConnection> &connection);

    EventLoop &loop;
    const AsyncClientLimits limits;
    std::uint64_t opened = 0;

private:
    absl::flat_hash_map<std::shared_ptr<ClientConnection>, std::size_t> m_held;
    std::size_t m_heldBytes = 0;
    absl::flat_hash_map<Address, std::vector<std::shared_ptr<ClientConnection>>> m_idle;
};

/// \brief One connection. A read is always in progress, so that a close or stray bytes show while it is idle.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(std::shared_ptr<ClientState> client, Address address)
        : m_client(std::move(client)), m_address(std::move(address)), m_socket(m_client->loop.state().context)
    {
        m_buffer.reserve(headReadSize);
    }

    void connect(const std::shared_ptr<ClientCall> &call);
    void send(const std::shared_ptr<ClientCall> &call);
    void close();

    /// \brief Fails the call in progress, as the responses of all calls hold too much memory.
    void giveUpResponse() { failed(ErrorKind::Truncated, "the responses being received hold too much memory"); }

    [[nodiscard]] bool isClosed() const noexcept { return m_isClosed; }

    /// \brief Whether the first bytes of the response have arrived.
    [[nodiscard]] bool hasResponseBegun() const noexcept { return m_parser && m_parser->got_some(); }

    [[nodiscard]] bool isReusable(MonotonicTime now, Microseconds within) const noexcept
    {
        return !m_isClosed && now - m_idleSince <= std::min<Microseconds>(within, m_keepAlive);
    }

private:
    void connected(const error_code &error);
    void read();
    void headRead(const error_code &error);
    void readBody();
    void readDone(const error_code &error);
    void passOver();
    void writeDone(const error_code &error, std::size_t bytes);
    void responded();
    void failed(ErrorKind kind, absl::string_view detail);
    [[nodiscard]] bool isForOtherRequest(const HttpHeaders &headers) const;

    using Parser = http::response_parser<http::string_body>;

    std::shared_ptr<ClientState> m_client;
    Address m_address;
    StreamSocket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
    std::shared_ptr<ClientCall> m_call;
    LoopTimer m_connectTimer;
    MonotonicTime m_idleSince;
    Microseconds m_keepAlive = std::chrono::hours(1);
    bool m_isWritten = false;
    int m_passedOver = 0; ///< responses, while the one that is awaited has not come
    bool m_skippedResponse = false;
    bool m_isClosed = false;
};

bool ClientCall::hasResponseBegun() const
{
    const auto held = connection.lock();
    return !isFinished() && held && held->hasResponseBegun();
}

void ClientCall::startDeadline()
{
    m_deadline = m_loop->after(options.deadline - EventLoop::now(), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->isFinished())
            return;
        if (self->extendForTransfer())
            return;
        self->dropConnection();
        self->finish({makeError(ErrorKind::DeadlineExceeded, "no response in time"), self->maybeSent, {}});
    });
}

bool ClientCall::extendForTransfer()
{
    if (options.transferExtension.count() == 0 || !hasResponseBegun())
        return false;
    options.deadline += options.transferExtension;
    options.transferExtension = Milliseconds{0};
    startDeadline();
    return true;
}

void ClientCall::dropConnection()
{
    if (const auto held = connection.lock())
        held->close();
}

void ClientCall::cancel()
{
    if (isFinished())
        return;
    m_handler = nullptr;
    m_deadline.cancel();
    dropConnection();
}

void ClientCall::finish(AsyncCallResult result)
{
    m_deadline.cancel();
    if (const auto handler = std::exchange(m_handler, nullptr))
        handler(std::move(result));
}

void ClientState::start(const Address &address, const std::shared_ptr<ClientCall> &call)
{
    call->startDeadline();
    auto &idle = m_idle[address];
    const MonotonicTime now = EventLoop::now();
    while (!idle.empty()) {
        const auto connection = idle.back();
        idle.pop_back();
        if (connection->isReusable(now, call->options.maxConnectionIdle)) {
            connection->send(call);
            return;
        }
        connection->close();
    }
    ++opened;
    std::make_shared<ClientConnection>(shared_from_this(), address)->connect(call);
}

void ClientState::release(const Address &address, const std::shared_ptr<ClientConnection> &connection)
{
    auto &idle = m_idle[address];
    if (idle.size() >= limits.maxIdlePerAddress) {
        idle.front()->close();
    }
    idle.push_back(connection);
}

void ClientState::forget(const Address &address, const std::shared_ptr<ClientConnection> &connection)
{
    const auto found = m_idle.find(address);
    if (found != m_idle.end())
        std::erase(found->second, connection);
}

void ClientState::noteHeld(const std::shared_ptr<ClientConnection> &connection, std::size_t bytes)
{
    std::size_t &held = m_held[connection];
    m_heldBytes += bytes - held;
    held = bytes;
    if (m_heldBytes <= limits.maxBufferedBytes.value())
        return;
    const auto longest = std::max_element(m_held.begin(), m_held.end(), [](const auto &left, const auto &right) {
        return left.second < right.second;
    });
    const std::shared_ptr<ClientConnection> dropped = longest->first;
    dropped->giveUpResponse();
}

void ClientState::noteReleased(const std::shared_ptr<ClientConnection> &connection)
{
    const auto found = m_held.find(connection);
    if (found == m_held.end())
        return;
    m_heldBytes -= found->second;
    m_held.erase(found);
}

void ClientState::closeAll()
{
    const auto idle = std::exchange(m_idle, {});
    for (const auto &[address, connections] : idle) {
        for (const auto &connection : connections)
            connection->close();
    }
}

void ClientConnection::connect(const std::shared_ptr<ClientCall> &call)
{
    m_call = call;
    call->connection = weak_from_this();
    const auto endpoint = endpointOf(m_address);
    if (!endpoint.ok()) {
        m_client->loop.post([self = shared_from_this()] { self->failed(ErrorKind::NotSent, "bad address"); });
        return;
    }
    m_connectTimer = m_client->loop.after(m_client->limits.connectTimeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->failed(ErrorKind::DeadlineExceeded, "no connection in time");
    });
    m_socket.async_connect(*endpoint, [self = shared_from_this()](const error_code &error) { self->connected(error); });
}

void ClientConnection::connected(const error_code &error)
{
    m_connectTimer.cancel();
    if (m_isClosed)
        return;
    if (error) {
        failed(ErrorKind::NotSent, error.message());
        return;
    }
    setStreamOptions(m_socket, m_client->limits.tcpUserTimeout);
    read();
    send(m_call);
}

void ClientConnection::send(const std::shared_ptr<ClientCall> &call)
{
    m_call = call;
    m_passedOver = 0;
    m_isWritten = false;
    call->connection = weak_from_this();
    call->message.set(http::field::host, call->message[http::field::host].empty()
                                                 ? boost::beast::string_view(m_address.value())
                                                 : call->message[http::field::host]);
    if (call->isHead)
        m_parser->skip(true);
    call->maybeSent = true;
    http::async_write(m_socket, call->message,
                      [self = shared_from_this(), call](const error_code &failure, std::size_t bytes) {
                          if (self->m_call == call)
                              self->writeDone(failure, bytes);
                      });
}

void ClientConnection::writeDone(const error_code &error, std::size_t bytes)
{
    if (m_isClosed)
        return;
    m_isWritten = true;
    if (!error)
        return;
    if (bytes == 0)
        m_call->maybeSent = false;
    failed(bytes == 0 ? ErrorKind::NotSent : ErrorKind::MayHaveRun, error.message());
}

void ClientConnection::read()
{
    m_parser = std::make_unique<Parser>();
    m_parser->body_limit(m_client->limits.maxResponseBytes.value());
    m_parser->header_limit(mostHeaderBytes);
    http::async_read_header(
            m_socket, m_buffer, *m_parser,
            [self = shared_from_this()](const error_code &error, std::size_t) { self->headRead(error); });
}

void ClientConnection::headRead(const error_code &error)
{
    if (m_isClosed || !m_call || error || m_parser->is_done()) {
        readDone(error);
        return;
    }
    reserveForBody(*m_parser, m_buffer);
    readBody();
}

void ClientConnection::readBody()
{
    http::async_read_some(m_socket, m_buffer, *m_parser,
                          [self = shared_from_this()](const error_code &error, std::size_t) {
                              if (self->m_isClosed || !self->m_call || error || self->m_parser->is_done()) {
                                  self->readDone(error);
                                  return;
                              }
                              self->m_client->noteHeld(self, self->m_parser->get().body().size());
                              if (!self->m_isClosed)
                                  self->readBody();
                          });
}

// A peer that sends such responses without an end would be read until the call's deadline.
void ClientConnection::passOver()
{
    if (++m_passedOver > mostPassedOver)
        failed(ErrorKind::MayHaveRun, "too many responses that are not the one to this request");
    else
        read();
}

void ClientConnection::readDone(const error_code &error)
{
    if (m_isClosed)
        return;
    if (!m_call) {
        close(); // closed by the peer, or a response that nobody asked for
        return;
    }
    if (error) {
        const bool isCut = m_parser->is_header_done();
        failed(isCut ? ErrorKind::Truncated : ErrorKind::MayHaveRun, error.message());
        return;
    }
    if (m_parser->get().result_int() < 200) {
        passOver();
        return;
    }
    responded();
}

bool ClientConnection::isForOtherRequest(const HttpHeaders &headers) const
{
    if (m_call->options.correlationHeader.empty())
        return false;
    const auto echo = headers.first(m_call->options.correlationHeader);
    return echo && *echo != m_call->expectedEcho;
}

void ClientConnection::responded()
{
    const bool endsWithConnection = m_parser->need_eof();
    const bool keepAlive = m_parser->keep_alive() && !endsWithConnection;
    m_client->noteReleased(shared_from_this());
    auto message = m_parser->release();
    AsyncCallResult result;
    result.maybeSent = true;
    result.response.status = static_cast<int>(message.result_int());
    copyHeaders(message, result.response.headers);
    if (isForOtherRequest(result.response.headers)) {
        m_skippedResponse = true;
        if (keepAlive)
            passOver();
        else
            failed(ErrorKind::MayHaveRun, "the connection ended after a response to another request");
        return;
    }
    result.response.body = std::move(message.body());
    const auto call = std::exchange(m_call, nullptr);
    if (const auto time = keepAliveTime(result.response.headers))
        m_keepAlive = *time > keepAliveMargin ? *time - keepAliveMargin : Milliseconds{0};
    // Bytes after the response belong to no request, and a body still being written would mix with the next one.
    if (keepAlive && m_isWritten && m_buffer.size() == 0 && !m_skippedResponse) {
        m_idleSince = EventLoop::now();
        releaseLongBuffer(m_buffer);
        read();
        m_client->release(m_address, shared_from_this());
    } else {
        close();
    }
    call->finish(std::move(result));
}

void ClientConnection::failed(ErrorKind kind, absl::string_view detail)
{
    const auto call = std::exchange(m_call, nullptr);
    close();
    if (!call)
        return;
    if (kind == ErrorKind::NotSent)
        call->maybeSent = false;
    call->finish({makeError(kind, absl::StrCat(m_address.value(), ": ", detail)), call->maybeSent, {}});
}

void ClientConnection::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    m_connectTimer.cancel();
    error_code ignored;
    m_socket.close(ignored);
    m_client->noteReleased(shared_from_this());
    m_client->forget(m_address, shared_from_this());
    m_call.reset();
}

} // namespace impl

void AsyncHttpCall::cancel()
{
    if (const auto call = m_call.lock())
        call->cancel();
}

bool AsyncHttpCall::hasResponseBegun() const
{
    const auto call = m_call.lock();
    return call && call->hasResponseBegun();
}

AsyncHttpClient::AsyncHttpClient(EventLoop &loop, AsyncClientLimits limits)
    : m_state(std::make_shared<impl::ClientState>(loop, limits))
{
}

AsyncHttpClient::~AsyncHttpClient()
{
    m_state->closeAll();
}

AsyncHttpCall AsyncHttpClient::send(const Address &address, const HttpRequest &request, const AsyncCallOptions &options,
                                    AsyncCallHandler handler)
{
    const auto call = std::make_shared<impl::ClientCall>(m_state->loop, request, options, std::move(handler));
    m_state->start(address, call);
    return AsyncHttpCall(call);
}

std::uint64_t AsyncHttpClient::connectionsOpened() const noexcept
{
    return m_state->opened;
}

} // namespace dandeliondock
