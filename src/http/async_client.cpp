#include <dandeliondock/core/error.h>
#include <dandeliondock/core/stable_hash.h>
#include <dandeliondock/http/async_client.h>

#include "asio_state.h"
#include "beast_message.h"
#include "received_body.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dandeliondock {

namespace impl {

namespace {

// Largest number of interim responses and responses to other requests that are skipped while one is awaited.
constexpr int maxSkippedResponses = 16;
constexpr std::uint32_t maxHeaderBytes = 65'536;
static_assert(maxHeaderBytes < minUnparsedLimit);
// Subtracted from the peer's keep-alive timeout, because the peer's close may already be on its way.
constexpr Milliseconds keepAliveMargin{1'000};
// Requests that one connection carries; it remembers their ids.
constexpr std::size_t maxCarriedRequests = 256;

std::optional<Milliseconds> keepAliveTimeout(const HttpHeaders &headers)
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

// The status line of a complete head is its first line and in no other place.
bool isJoinedHead(const http::response_header<> &head)
{
    const auto hasStatusLine = [](boost::beast::string_view text) {
        return containsStatusLine({text.data(), text.size()});
    };
    return hasStatusLine(head.reason())
           || std::any_of(head.begin(), head.end(), [&](const auto &line) { return hasStatusLine(line.value()); });
}

bool mayHaveBody(absl::string_view method)
{
    return method != "GET" && method != "HEAD" && method != "DELETE";
}

} // namespace

class ClientConnection;

/// \brief State of one call; its handler is called once unless the call is cancelled.
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
            expectedCorrelation = std::string(request.headers.first(options.correlationHeader).value_or(""));
        m_loop = &loop;
    }

    /// \brief Releases the body of the request: nothing sends it again.
    void releaseBody() { message.body() = {}; }

    void startDeadline();
    void cancel();
    [[nodiscard]] bool extendForTransfer();
    [[nodiscard]] bool hasResponseBegun() const;
    void finish(AsyncCallResult result);

    [[nodiscard]] bool isFinished() const noexcept { return !m_handler; }

    http::request<SharedBody> message;
    AsyncCallOptions options;
    std::string expectedCorrelation;
    bool isHead;
    bool maybeSent = false;
    std::weak_ptr<ClientConnection> connection;

private:
    void closeConnection();

    EventLoop *m_loop;
    AsyncCallHandler m_handler;
    LoopTimer m_deadline;
};

/// \brief State of a client: its idle connections and the response bytes buffered over all connections.
class ClientState : public std::enable_shared_from_this<ClientState>
{
public:
    ClientState(EventLoop &eventLoop, AsyncClientLimits clientLimits) : loop(eventLoop), limits(clientLimits) {}

    void start(const Address &address, const std::shared_ptr<ClientCall> &call);
    [[nodiscard]] std::shared_ptr<ClientConnection> takeIdle(const Address &address, const ClientCall &call);
    void keepIdle(const Address &address, const std::shared_ptr<ClientConnection> &connection);
    void removeIdle(const Address &address, const std::shared_ptr<ClientConnection> &connection);
    void closeIdle();

    /// \brief Records the number of response bytes that a connection buffers. When the total exceeds the limit, the
    /// call with the largest buffered response fails.
    void recordBuffered(const std::shared_ptr<ClientConnection> &connection, std::size_t bytes);

    /// \brief Records that a connection buffers no response bytes.
    void clearBuffered(const std::shared_ptr<ClientConnection> &connection);

    EventLoop &loop;
    const AsyncClientLimits limits;
    std::shared_ptr<ReceiveAccount> account; ///< may be null
    std::uint64_t opened = 0;

private:
    absl::flat_hash_map<std::shared_ptr<ClientConnection>, std::size_t> m_bufferedBytes;
    std::size_t m_bufferedTotal = 0;
    absl::flat_hash_map<Address, std::vector<std::shared_ptr<ClientConnection>>> m_idle;
};

/// \brief One connection. A read is always in progress, so that a close or unexpected bytes are noticed while the
/// connection is idle.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(std::shared_ptr<ClientState> client, Address address)
        : m_client(std::move(client)), m_address(std::move(address)), m_socket(m_client->loop.state().context),
          m_buffer(minUnparsedLimit)
    {
        m_buffer.reserve(headReadSize);
    }

    void connect(const std::shared_ptr<ClientCall> &call);
    void send(const std::shared_ptr<ClientCall> &call);
    void close();

    /// \brief Fails the call in progress because the responses of all calls use too much memory.
    void failOversizedResponse() { fail(ErrorKind::Truncated, "the responses being received hold too much memory"); }

    [[nodiscard]] bool isClosed() const noexcept { return m_isClosed; }

    /// \brief Whether the first bytes of the response have arrived.
    [[nodiscard]] bool hasResponseBegun() const noexcept { return m_parser && m_parser->got_some(); }

    [[nodiscard]] bool isReusable(MonotonicTime now, Microseconds within) const noexcept
    {
        return !m_isClosed && m_carriedIds.size() < maxCarriedRequests
               && now - m_idleSince <= std::min<Microseconds>(within, m_keepAliveLimit);
    }

    /// \brief Whether a request with the id of \c call was sent on this connection. The response to the earlier one,
    /// sent twice by a faulty peer, would be taken for the response to the later one.
    [[nodiscard]] bool hasCarried(const ClientCall &call) const
    {
        return !call.expectedCorrelation.empty()
               && std::find(m_carriedIds.begin(), m_carriedIds.end(), stableHash(call.expectedCorrelation))
                          != m_carriedIds.end();
    }

private:
    void onConnected(const error_code &error);
    void read();
    void onHeadRead(const error_code &error);
    void readBody();
    void recordResponse();
    void onReadDone(const error_code &error);
    void skipResponse();
    void onWriteDone(const error_code &error, std::size_t bytes);
    void onResponseRead();
    void record(HolderActivity activity, std::size_t bytes);
    void shed();
    void fail(ErrorKind kind, absl::string_view detail);
    [[nodiscard]] bool isForOtherRequest(const HttpHeaders &headers) const;

    using Parser = http::response_parser<ReceivedBody>;

    std::shared_ptr<ClientState> m_client;
    Address m_address;
    StreamSocket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
    std::shared_ptr<ClientCall> m_call;
    LoopTimer m_connectTimer;
    MonotonicTime m_idleSince;
    Microseconds m_keepAliveLimit = std::chrono::hours(1);
    bool m_isWritten = false;
    /// Hashes of the ids of the requests that were sent on this connection: callers choose the length of ids. Of two
    /// ids with the same hash, the later one is sent on another connection.
    std::vector<std::uint64_t> m_carriedIds;
    int m_skippedCount = 0; ///< number of responses skipped while the expected one is awaited
    bool m_skippedOtherResponse = false;
    ByteCount m_headMemory;                ///< of the response in progress
    std::shared_ptr<ReceiveEntry> m_entry; ///< null without an account
    bool m_isClosed = false;
};

bool ClientCall::hasResponseBegun() const
{
    const auto current = connection.lock();
    return !isFinished() && current && current->hasResponseBegun();
}

void ClientCall::startDeadline()
{
    m_deadline = m_loop->after(options.deadline - EventLoop::now(), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->isFinished())
            return;
        if (self->extendForTransfer())
            return;
        self->closeConnection();
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

void ClientCall::closeConnection()
{
    if (const auto current = connection.lock())
        current->close();
}

void ClientCall::cancel()
{
    if (isFinished())
        return;
    m_handler = nullptr;
    m_deadline.cancel();
    closeConnection();
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
    if (const auto connection = takeIdle(address, *call)) {
        connection->send(call);
        return;
    }
    ++opened;
    std::make_shared<ClientConnection>(shared_from_this(), address)->connect(call);
}

// Takes the connection that was used last; closes those that may not be reused any more.
std::shared_ptr<ClientConnection> ClientState::takeIdle(const Address &address, const ClientCall &call)
{
    auto &idle = m_idle[address];
    const MonotonicTime now = EventLoop::now();
    for (std::size_t index = idle.size(); index > 0; --index) {
        auto connection = idle[index - 1];
        if (connection->hasCarried(call))
            continue;
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index - 1));
        if (connection->isReusable(now, call.options.maxConnectionIdle))
            return connection;
        connection->close();
    }
    return nullptr;
}

void ClientState::keepIdle(const Address &address, const std::shared_ptr<ClientConnection> &connection)
{
    auto &idle = m_idle[address];
    if (idle.size() >= limits.maxIdlePerAddress) {
        idle.front()->close();
    }
    idle.push_back(connection);
}

void ClientState::removeIdle(const Address &address, const std::shared_ptr<ClientConnection> &connection)
{
    const auto found = m_idle.find(address);
    if (found != m_idle.end())
        std::erase(found->second, connection);
}

void ClientState::recordBuffered(const std::shared_ptr<ClientConnection> &connection, std::size_t bytes)
{
    std::size_t &buffered = m_bufferedBytes[connection];
    m_bufferedTotal += bytes - buffered;
    buffered = bytes;
    if (m_bufferedTotal <= limits.maxBufferedBytes.value())
        return;
    const auto largest =
            std::max_element(m_bufferedBytes.begin(), m_bufferedBytes.end(),
                             [](const auto &left, const auto &right) { return left.second < right.second; });
    const std::shared_ptr<ClientConnection> failing = largest->first;
    failing->failOversizedResponse();
}

void ClientState::clearBuffered(const std::shared_ptr<ClientConnection> &connection)
{
    const auto found = m_bufferedBytes.find(connection);
    if (found == m_bufferedBytes.end())
        return;
    m_bufferedTotal -= found->second;
    m_bufferedBytes.erase(found);
}

void ClientState::closeIdle()
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
    if (m_client->account) {
        m_entry = m_client->account->open([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->shed();
        });
        record(HolderActivity::Handling, 0);
    }
    const auto endpoint = endpointOf(m_address);
    if (!endpoint.ok()) {
        m_client->loop.post([self = shared_from_this()] { self->fail(ErrorKind::NotSent, "bad address"); });
        return;
    }
    m_connectTimer = m_client->loop.after(m_client->limits.connectTimeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->fail(ErrorKind::DeadlineExceeded, "no connection in time");
    });
    m_socket.async_connect(*endpoint,
                           [self = shared_from_this()](const error_code &error) { self->onConnected(error); });
}

void ClientConnection::onConnected(const error_code &error)
{
    m_connectTimer.cancel();
    if (m_isClosed)
        return;
    if (error) {
        fail(ErrorKind::NotSent, error.message());
        return;
    }
    setStreamOptions(m_socket, m_client->limits.tcpUserTimeout);
    read();
    send(m_call);
}

void ClientConnection::send(const std::shared_ptr<ClientCall> &call)
{
    m_call = call;
    m_skippedCount = 0;
    m_isWritten = false;
    call->connection = weak_from_this();
    call->message.set(http::field::host, call->message[http::field::host].empty()
                                                 ? boost::beast::string_view(m_address.value())
                                                 : call->message[http::field::host]);
    if (!call->options.correlationHeader.empty())
        m_carriedIds.push_back(stableHash(call->expectedCorrelation));
    if (call->isHead)
        m_parser->skip(true);
    call->maybeSent = true;
    record(HolderActivity::Handling, 0);
    http::async_write(m_socket, call->message,
                      [self = shared_from_this(), call](const error_code &failure, std::size_t bytes) {
                          call->releaseBody();
                          if (self->m_call == call)
                              self->onWriteDone(failure, bytes);
                      });
}

void ClientConnection::onWriteDone(const error_code &error, std::size_t bytes)
{
    if (m_isClosed)
        return;
    m_isWritten = true;
    if (!error)
        return;
    if (bytes == 0)
        m_call->maybeSent = false;
    fail(bytes == 0 ? ErrorKind::NotSent : ErrorKind::MayHaveRun, error.message());
}

void ClientConnection::read()
{
    m_parser = std::make_unique<Parser>();
    m_parser->body_limit(m_client->limits.maxResponseBytes.value());
    m_parser->header_limit(maxHeaderBytes);
    http::async_read_header(
            m_socket, m_buffer, *m_parser,
            [self = shared_from_this()](const error_code &error, std::size_t) { self->onHeadRead(error); });
}

void ClientConnection::onHeadRead(const error_code &error)
{
    if (m_isClosed || !m_call || error || m_parser->is_done()) {
        onReadDone(error);
        return;
    }
    m_headMemory = headMemoryOf(m_parser->get());
    reserveForBody(*m_parser, m_buffer);
    recordResponse();
    if (!m_isClosed)
        readBody();
}

void ClientConnection::readBody()
{
    http::async_read_some(m_socket, m_buffer, *m_parser,
                          [self = shared_from_this()](const error_code &error, std::size_t) {
                              if (self->m_isClosed || !self->m_call || error || self->m_parser->is_done()) {
                                  self->onReadDone(error);
                                  return;
                              }
                              self->recordResponse();
                              if (!self->m_isClosed)
                                  self->readBody();
                          });
}

// May close the connection.
void ClientConnection::recordResponse()
{
    const std::uint64_t bound = m_parser->content_length().value_or(m_client->limits.maxResponseBytes.value());
    const std::size_t buffered = memoryOfBody(m_parser->get().body(), bound) + m_headMemory.value();
    record(HolderActivity::ReceivingResponse, buffered);
    m_client->recordBuffered(shared_from_this(), buffered);
}

// Bounded, since a peer that sends such responses endlessly would be read until the call's deadline.
void ClientConnection::skipResponse()
{
    if (++m_skippedCount > maxSkippedResponses)
        fail(ErrorKind::MayHaveRun, "too many responses that are not the one to this request");
    else
        read();
}

void ClientConnection::onReadDone(const error_code &error)
{
    if (m_isClosed)
        return;
    if (!m_call) {
        close(); // closed by the peer, or a response without a request
        return;
    }
    if (error) {
        const bool isTruncated = m_parser->is_header_done();
        fail(isTruncated ? ErrorKind::Truncated : ErrorKind::MayHaveRun, error.message());
        return;
    }
    if (isJoinedHead(m_parser->get())) {
        fail(ErrorKind::MayHaveRun, "the head of the response begins with a part of another one");
        return;
    }
    const int status = static_cast<int>(m_parser->get().result_int());
    if (isInterimStatus(status)) {
        skipResponse();
        return;
    }
    if (!isFinalStatus(status)) {
        fail(ErrorKind::MayHaveRun, absl::StrCat("the response has the invalid status ", status));
        return;
    }
    onResponseRead();
}

bool ClientConnection::isForOtherRequest(const HttpHeaders &headers) const
{
    if (m_call->options.correlationHeader.empty())
        return false;
    const auto correlation = headers.first(m_call->options.correlationHeader);
    // Without an id, a response on a connection with earlier requests may be a second copy of one to these.
    if (!correlation)
        return m_carriedIds.size() > 1;
    return *correlation != m_call->expectedCorrelation;
}

void ClientConnection::onResponseRead()
{
    const bool endsAtClose = m_parser->need_eof();
    const bool keepAlive = m_parser->keep_alive() && !endsAtClose;
    m_client->clearBuffered(shared_from_this());
    auto message = m_parser->release();
    AsyncCallResult result;
    result.maybeSent = true;
    result.response.status = static_cast<int>(message.result_int());
    copyHeaders(message, result.response.headers);
    if (isForOtherRequest(result.response.headers)) {
        m_skippedOtherResponse = true; // its copies may follow, so that the connection is not reused
        if (keepAlive)
            skipResponse();
        else
            fail(ErrorKind::MayHaveRun, "the connection ended after a response to another request");
        return;
    }
    result.response.body = std::move(message.body());
    const auto call = std::exchange(m_call, nullptr);
    if (const auto timeout = keepAliveTimeout(result.response.headers))
        m_keepAliveLimit = *timeout > keepAliveMargin ? *timeout - keepAliveMargin : Milliseconds{0};
    // Reused only if no bytes follow the response, as they belong to no request, and if the request is written
    // completely, as the rest of its body would mix with the next request.
    if (keepAlive && m_isWritten && m_buffer.size() == 0 && !m_skippedOtherResponse) {
        m_idleSince = EventLoop::now();
        shrinkBuffer(m_buffer);
        read();
        record(HolderActivity::Idle, 0);
        m_client->keepIdle(m_address, shared_from_this());
    } else {
        close();
    }
    call->finish(std::move(result));
}

void ClientConnection::record(HolderActivity activity, std::size_t bytes)
{
    if (m_entry)
        m_entry->record(
                {activity, ByteCount(bytes + m_buffer.capacity() + connectionOverhead.value()), EventLoop::now()});
}

void ClientConnection::shed()
{
    if (m_call)
        failOversizedResponse();
    else
        close();
}

void ClientConnection::fail(ErrorKind kind, absl::string_view detail)
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
    m_client->clearBuffered(shared_from_this());
    m_client->removeIdle(m_address, shared_from_this());
    m_call.reset();
    m_entry.reset();
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
    m_state->closeIdle();
}

AsyncHttpCall AsyncHttpClient::send(const Address &address, const HttpRequest &request, const AsyncCallOptions &options,
                                    AsyncCallHandler handler)
{
    const auto call = std::make_shared<impl::ClientCall>(m_state->loop, request, options, std::move(handler));
    m_state->start(address, call);
    return AsyncHttpCall(call);
}

void AsyncHttpClient::setReceiveAccount(std::shared_ptr<ReceiveAccount> account)
{
    m_state->account = std::move(account);
}

std::uint64_t AsyncHttpClient::connectionsOpened() const noexcept
{
    return m_state->opened;
}

} // namespace dandeliondock
