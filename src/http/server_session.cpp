#include "server_session.h"

#include "session_request.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <poll.h>
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
// Time after which a client may repeat a request that was refused because connections hold too much, or because the
// limits may have changed. Stalled connections are closed within this time, and limits that have changed are read.
constexpr absl::string_view refusalRetryAfter = "1";

http::status statusForError(const error_code &error)
{
    if (error == http::error::header_limit)
        return http::status::request_header_fields_too_large;
    if (error == http::error::body_limit || error == http::error::buffer_overflow)
        return http::status::payload_too_large;
    return http::status::bad_request;
}

bool isSizeLimit(http::status status)
{
    return status == http::status::payload_too_large || status == http::status::request_header_fields_too_large;
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
    setParserLimits();
    m_readState = ReadState::Head;
    m_partialHeadSince.reset();
    m_isReading = true;
    http::async_read_header(m_socket, m_buffer, *m_parser,
                            [self = shared_from_this()](const error_code &error, std::size_t parsed) {
                                self->onHeadRead(error, parsed);
                            });
}

void ServerSession::setParserLimits()
{
    ByteCount head = m_server->limits.maxHeaderBytes;
    ByteCount body = m_server->limits.maxBodyBytes;
    if (m_earlierBytes > 0) {
        head = std::max(head, m_earlierLimits.maxHeaderBytes);
        body = std::max(body, m_earlierLimits.maxBodyBytes);
    }
    m_parser->header_limit(static_cast<std::uint32_t>(head.value()));
    m_parser->body_limit(body.value());
    m_buffer.max_size(std::max<std::size_t>(minUnparsedLimit, 2 * head.value()));
}

void ServerSession::applyLimits(const ConnectionLimits &earlier)
{
    error_code ignored;
    const bool hadEarlier = m_earlierBytes > 0;
    m_earlierBytes = m_buffer.size() + m_socket.available(ignored);
    m_earlierLimits.maxHeaderBytes =
            hadEarlier ? std::max(m_earlierLimits.maxHeaderBytes, earlier.maxHeaderBytes) : earlier.maxHeaderBytes;
    m_earlierLimits.maxBodyBytes =
            hadEarlier ? std::max(m_earlierLimits.maxBodyBytes, earlier.maxBodyBytes) : earlier.maxBodyBytes;
    if (!m_parser || m_readState != ReadState::Head)
        return;
    m_isHeadSplitByChange = m_parser->got_some();
    if (!m_isHeadSplitByChange && m_buffer.size() == 0)
        setParserLimits();
}

void ServerSession::onHeadRead(const error_code &error, std::size_t parsed)
{
    m_isReading = false;
    // How much of a split head was parsed before the change is unknown; none of it is counted, so that no request that
    // had arrived falls under the new limits.
    if (!std::exchange(m_isHeadSplitByChange, false))
        m_earlierBytes -= std::min(parsed, m_earlierBytes);
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
    if (!m_isWriting)
        m_lastActivity = EventLoop::now();
    m_readState = ReadState::HeadDone;
    m_headMemory = headMemoryOf(m_parser->get());
    updateAccount();
    if (m_closesAfterResponse) {
        if (isIdle())
            discardInput();
    } else if (isShed()) {
        refuse();
    } else if (m_parser->is_done()) {
        onRequestRead();
    } else if (mayReadBody()) {
        startBody();
    }
}

// The body of a request behind others is read only if it fits into the bound. On a server with concurrent requests, the
// bound counts what they hold, and a client that waits for a status 100 waits until the earlier responses are written.
bool ServerSession::mayReadBody() const
{
    if (isIdle())
        return true;
    const auto length = m_parser->content_length();
    if (!m_server->isConcurrent)
        return length && *length <= maxConcurrentBytes;
    return length && heldBytes() + *length <= maxConcurrentBytes
           && !boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue");
}

void ServerSession::startBody()
{
    m_readState = ReadState::Body;
    m_bodySince = m_lastActivity;
    m_bodyBytesRead = 0;
    m_parser->eager(true);
    reserveForBody(*m_parser, m_buffer);
    updateAccount();
    if (isIdle() && boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
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
    m_earlierBytes -= std::min(parsed, m_earlierBytes);
    m_bodyBytesRead += parsed;
    if (error == http::error::need_more)
        error = {};
    if (!error && isFramingExcessive(ByteCount(m_bodyBytesRead), ByteCount(m_parser->get().body().size())))
        error = http::error::body_limit;
    if (error) {
        onReadFailed(error);
        return;
    }
    if (!m_isWriting)
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
    m_parser.reset();
    if (isDisconnect(error)) {
        onPeerDisconnected();
        return;
    }
    if (!isIdle()) {
        m_closesAfterResponse = true;
        return;
    }
    if (m_closesAfterResponse) {
        close();
        return;
    }
    const http::status status = statusForError(error);
    if (isSizeLimit(status) && m_server->areLimitsConfirmed && !m_server->areLimitsConfirmed())
        reject(http::status::service_unavailable, error, refusalRetryAfter);
    else
        reject(status, error);
}

void ServerSession::onRequestRead()
{
    m_readState = ReadState::Done;
    m_next = takeRequest();
    if (m_closesAfterResponse && isIdle())
        discardInput();
    else
        handleNext();
}

std::shared_ptr<SessionRequest> ServerSession::takeRequest()
{
    auto message = m_parser->release();
    m_parser.reset();
    HttpRequest request;
    request.method.assign(message.method_string().data(), message.method_string().size());
    request.target.assign(message.target().data(), message.target().size());
    copyHeaders(message, request.headers);
    const ByteCount bodySize(message.body().size());
    request.body =
            HttpBody(std::move(message.body()), m_server->account ? m_server->account->charge(bodySize) : nullptr);
    auto headCharge = m_server->account ? m_server->account->charge(m_headMemory) : nullptr;
    return std::make_shared<SessionRequest>(std::move(request), m_headMemory, std::move(headCharge),
                                            message.keep_alive(), message.version());
}

// A request that does not permit others beside it is the only one in progress, and one that closes the connection is
// the last one, so that only the last request needs to be checked.
bool ServerSession::mayRunBesideOthers() const
{
    if (m_server->isDraining || m_requests.size() >= maxConcurrentRequests || heldBytes() > maxConcurrentBytes)
        return false;
    return m_requests.empty() || (m_requests.back()->isConcurrent() && m_requests.back()->keepAlive());
}

// Passes the next request to the handler if it is read completely and need not wait.
void ServerSession::handleNext()
{
    if (!m_next || m_closesAfterResponse)
        return;
    // Clients with HTTP/1.0 do not expect several requests on a connection to be processed at once.
    const bool isConcurrent =
            m_server->isConcurrent && m_next->version() >= 11 && m_server->isConcurrent(m_next->request());
    const bool isBesideOthers = !m_requests.empty();
    if (!isIdle() && !(isConcurrent && mayRunBesideOthers()))
        return;
    if (!m_isWriting)
        m_lastActivity = EventLoop::now();
    const auto request = std::exchange(m_next, nullptr);
    request->begin(shared_from_this(), isConcurrent);
    m_requests.push_back(request);
    ++m_server->activeRequests;
    ++m_handledRequests;
    if (isBesideOthers)
        m_server->notify(ConcurrencyEvent::RunsBesideOthers);
    shrinkBuffer(m_buffer);
    readHead();
    updateAccount();
    try {
        m_server->handle(request);
    } catch (...) {
        request->abort(); // the request may have been passed on, so that no status can be promised
        throw;
    }
}

ServerSession::Requests::iterator ServerSession::find(const SessionRequest *request)
{
    return std::find_if(m_requests.begin(), m_requests.end(),
                        [request](const auto &candidate) { return candidate.get() == request; });
}

void ServerSession::respond(const SessionRequest *request, HttpResponse response)
{
    const auto found = find(request);
    if (m_isClosed || found == m_requests.end())
        return;
    if (!isFinalStatus(response.status))
        response = invalidStatusReplacement();
    --m_server->activeRequests;
    if (m_isWriting || found != m_requests.begin()) {
        ++m_server->unwrittenResponses;
        (*found)->holdResponse(std::move(response));
        limitReadyResponses();
        updateAccount();
        return;
    }
    const auto answered = std::move(*found);
    m_requests.erase(found);
    writeResponse(*answered, std::move(response));
}

bool ServerSession::hasReadyResponse() const
{
    return std::any_of(m_requests.begin(), m_requests.end(),
                       [](const auto &request) { return request->hasResponse(); });
}

void ServerSession::writeReadyResponse()
{
    if (m_requests.empty() || !m_requests.front()->hasResponse())
        return;
    const auto answered = std::move(m_requests.front());
    m_requests.erase(m_requests.begin());
    --m_server->unwrittenResponses;
    writeResponse(*answered, answered->takeResponse());
}

void ServerSession::writeResponse(const SessionRequest &request, HttpResponse response)
{
    const bool isLast = m_requests.empty() && (m_server->isDraining || m_closesAfterResponse);
    const bool keepAlive = request.keepAlive() && !isLast;
    m_messageHeadMemory = response.headers.memory();
    http::response<http::string_body> message(static_cast<http::status>(response.status), request.version());
    copyHeaders(response.headers, message);
    message.keep_alive(keepAlive);
    if (!keepAlive)
        m_closesAfterResponse = true;
    if (!request.isHead()) {
        message.body() = std::move(response.body);
        message.prepare_payload();
    } else if (const auto length = response.headers.first("Content-Length")) {
        message.set(http::field::content_length, boost::beast::string_view(length->data(), length->size()));
    }
    write(std::move(message), response.isUrgent);
}

// The oldest ready response is kept whatever its size, so that a client that sends its requests again makes progress.
// The requests behind the connection's last response may be sent again, and only concurrent ones are among them.
void ServerSession::limitReadyResponses()
{
    std::size_t readyBytes = 0;
    for (std::size_t index = 0; index < m_requests.size(); ++index) {
        if (!m_requests[index]->hasResponse())
            continue;
        const bool isOldest = readyBytes == 0;
        readyBytes += m_requests[index]->heldBytes();
        if (!isOldest && readyBytes > maxReadyBytes) {
            cancelRequestsFrom(index);
            m_server->notify(ConcurrencyEvent::ResponsesDropped);
            return;
        }
    }
}

// Removes the requests from this index on; the caller cancels them.
ServerSession::Requests ServerSession::takeRequestsFrom(std::size_t index)
{
    const auto begin = m_requests.begin() + static_cast<std::ptrdiff_t>(index);
    Requests taken(std::make_move_iterator(begin), std::make_move_iterator(m_requests.end()));
    m_requests.erase(begin, m_requests.end());
    for (const auto &request : taken)
        --(request->hasResponse() ? m_server->unwrittenResponses : m_server->activeRequests);
    return taken;
}

// Ends the connection after the response to the request before this index. The handlers learn of it later, because this
// may be called by one of them.
void ServerSession::cancelRequestsFrom(std::size_t index)
{
    m_closesAfterResponse = true;
    asio::post(m_socket.get_executor(), [server = m_server, cancelled = takeRequestsFrom(index)] {
        if (server->isClosed)
            return; // the handlers may not exist any more
        for (const auto &request : cancelled)
            request->notifyCancelled();
    });
}

void ServerSession::abort(const SessionRequest *request)
{
    const auto found = find(request);
    if (m_isClosed || found == m_requests.end())
        return;
    cancelRequestsFrom(static_cast<std::size_t>(found - m_requests.begin()));
    if (isIdle())
        close();
}

void ServerSession::reject(http::status status, const error_code &error, absl::string_view retryAfter)
{
    if (m_server->onRejected)
        m_server->onRejected({static_cast<int>(status), error ? error.message() : std::string(), m_handledRequests});
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
    m_messageHeadMemory = ByteCount();
}

void ServerSession::onWritten(const error_code &error)
{
    endWriting();
    if (m_isClosed)
        return;
    m_lastActivity = EventLoop::now();
    if (error) {
        onPeerDisconnected();
        return;
    }
    writeReadyResponse();
    if (m_closesAfterResponse && isIdle()) {
        // Only the sending side is shut down, so that the peer closes first: a close on this side could reset the
        // connection, and the peer would lose the end of the response.
        error_code ignored;
        m_socket.shutdown(StreamSocket::shutdown_send, ignored);
        if (m_next || m_readState == ReadState::HeadDone)
            discardInput();
        else if (m_readState == ReadState::Done && !m_isRejected)
            close();
        else
            updateAccount();
        return;
    }
    updateAccount();
    resumeReading();
}

void ServerSession::resumeReading()
{
    if (m_closesAfterResponse)
        return;
    if (m_readState != ReadState::HeadDone) {
        handleNext();
    } else if (mayReadBody()) {
        if (!m_isWriting)
            m_lastActivity = EventLoop::now();
        startBody();
    }
}

// Reads what the peer has sent behind the last request until it closes the connection, see onWritten(). Ends with
// lingerTimeout, or with maxConcurrentBytes so that a client that sends without end costs little.
void ServerSession::discardInput()
{
    m_readState = ReadState::Discard;
    m_parser.reset();
    m_next.reset();
    m_buffer.consume(m_buffer.size());
    m_socket.async_read_some(m_buffer.prepare(bodyReadSize),
                             [self = shared_from_this()](const error_code &error, std::size_t bytes) {
                                 if (self->m_isClosed)
                                     return;
                                 self->m_discardedBytes += bytes;
                                 if (error || self->m_discardedBytes > maxConcurrentBytes)
                                     self->close();
                                 else
                                     self->discardInput();
                             });
}

std::size_t ServerSession::heldBytes() const
{
    std::size_t bytes = m_buffer.size();
    if (m_parser)
        bytes += m_parser->get().body().size();
    if (m_next)
        bytes += m_next->heldBytes();
    if (m_message)
        bytes += m_message->body().size();
    for (const auto &request : m_requests)
        bytes += request->heldBytes();
    return bytes;
}

void ServerSession::onPeerDisconnected()
{
    const Requests cancelled = takeRequestsFrom(0);
    close();
    for (const auto &request : cancelled)
        request->notifyCancelled();
}

// Whether the peer has closed the connection although not all its bytes are read.
bool ServerSession::hasPeerHungUp()
{
    struct pollfd polled = {m_socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) > 0;
}

void ServerSession::closeIfTimedOut(MonotonicTime now)
{
    updateAccount();
    const MonotonicTime::duration inactiveTime = now - m_lastActivity;
    if (m_isWriting) {
        if (!m_isAwaitingGrant && inactiveTime > writeStallTimeout)
            onPeerDisconnected();
        return;
    }
    if (!m_requests.empty()) {
        // While reading has stopped, no read reports the end of the connection.
        const bool hasStoppedReading = m_readState == ReadState::Done || m_readState == ReadState::HeadDone;
        if (hasStoppedReading && hasPeerHungUp())
            onPeerDisconnected();
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
    if (m_closesAfterResponse && m_requests.empty())
        return HolderActivity::Closing;
    if (hasReadyResponse())
        return HolderActivity::Delayed;
    const bool isRequestPending = m_readState == ReadState::Done || m_readState == ReadState::HeadDone;
    if (m_readState == ReadState::Body || (isRequestPending && !m_closesAfterResponse))
        return HolderActivity::Receiving;
    if (!m_requests.empty())
        return HolderActivity::Handling;
    return m_buffer.size() > 0 ? HolderActivity::Receiving : HolderActivity::Idle;
}

void ServerSession::updateAccount()
{
    if (!m_entry || m_isClosed)
        return;
    std::size_t bytes = connectionOverhead.value() + m_buffer.capacity();
    if (m_isWriting)
        bytes += m_message->body().size() + m_messageHeadMemory.value();
    for (const auto &request : m_requests) {
        if (request->hasResponse())
            bytes += request->heldBytes();
    }
    if (m_parser && m_parser->is_header_done()) {
        const std::uint64_t bound = m_parser->content_length().value_or(m_server->limits.maxBodyBytes.value());
        bytes += memoryOfBody(m_parser->get().body(), bound) + m_headMemory.value();
    }
    const bool isInHead = m_readState == ReadState::Head && !m_isWriting;
    m_entry->record(
            {activity(), ByteCount(bytes), isInHead ? m_partialHeadSince.value_or(m_lastActivity) : m_lastActivity});
}

void ServerSession::shed()
{
    if (m_isClosed)
        return;
    const bool isUnused = m_readState == ReadState::Head && m_buffer.size() == 0 && m_requests.empty();
    const bool isDiscarding = m_readState == ReadState::Discard;
    if (m_isWriting || isUnused || m_isRejected || isDiscarding || hasReadyResponse()) {
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
    m_parser.reset();
    m_next.reset();
    openEntry(); // the one that was shed does not count the connection any more
    if (isIdle()) {
        m_readState = ReadState::Done;
        reject(http::status::service_unavailable, {}, refusalRetryAfter);
        return;
    }
    m_readState = ReadState::HeadDone; // the rest of the request is discarded after the last response
    m_closesAfterResponse = true;
}

void ServerSession::closeIfIdle()
{
    if (isIdle() && m_readState == ReadState::Head && m_buffer.size() == 0)
        close();
}

void ServerSession::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    error_code ignored;
    m_socket.close(ignored);
    m_next.reset();
    if (m_isWriting && m_isAwaitingGrant)
        endWriting(); // otherwise a write in progress still refers to the message
    m_entry.reset();
    m_server->sessions.erase(shared_from_this());
}

} // namespace dandeliondock::impl
