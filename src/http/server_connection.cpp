#include "server_connection.h"

#include <dandeliondock/core/error.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <limits>
#include <utility>

namespace dandeliondock::impl {

namespace {

constexpr Milliseconds idleTimeout{60'000};
// Time for a head from its first byte on, time without a byte of a body, and time without progress of a response.
constexpr Milliseconds headTimeout{10'000};
constexpr Milliseconds bodyStallTimeout{10'000};
constexpr Milliseconds writeStallTimeout{10'000};
constexpr Milliseconds lingerTimeout{2'000}; // time for the peer to close its side after the last response
constexpr std::size_t maxHeadBytes = 32'768;
constexpr std::size_t maxReadSize = 65'536;
constexpr std::size_t streamBlockBytes = 16'384;
// Bodies up to this size are sent with their head in one piece.
constexpr std::size_t maxJoinedBody = 16'384;
// A call to a target has handles of libcurl, a thread's stack and a buffered response of up to 64 KiB. 100 streamed
// downloads took 7.5 MB.
constexpr std::size_t handlingOverhead = 131'072;
// Time after which a client may repeat a request that was refused because connections hold too much. Stalled ones are
// closed within this time.
constexpr absl::string_view refusalRetryAfter = "1";

MonotonicTime currentTime()
{
    return std::chrono::time_point_cast<Microseconds>(std::chrono::steady_clock::now());
}

// The server writes these headers itself.
bool isSetByServer(absl::string_view name)
{
    return absl::EqualsIgnoreCase(name, "Content-Length") || absl::EqualsIgnoreCase(name, "Transfer-Encoding");
}

std::string dateHeader()
{
    const std::time_t now = std::time(nullptr);
    struct tm utc = {};
    std::array<char, 64> text{};
    gmtime_r(&now, &utc);
    std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &utc);
    return absl::StrCat("Date: ", text.data(), "\r\n");
}

bool isBodyAllowed(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

http::status statusForError(const error_code &error)
{
    if (error == http::error::header_limit)
        return http::status::request_header_fields_too_large;
    if (error == http::error::body_limit || error == http::error::buffer_overflow)
        return http::status::payload_too_large;
    return http::status::bad_request;
}

std::string refusalText(http::status status)
{
    switch (status) {
    case http::status::payload_too_large:
        return std::string(makeError(ErrorKind::BodyTooLarge, "the body is longer than the limit").message());
    case http::status::service_unavailable:
        return std::string(makeError(ErrorKind::Overloaded, "the connections hold too much").message());
    default:
        return {};
    }
}

} // namespace

ServerConnection::ServerConnection(int descriptor, ServerContext &context) : m_context(context), m_socket(descriptor)
{
    openEntry();
}

void ServerConnection::openEntry()
{
    if (!m_context.account)
        return;
    m_entry = m_context.account->open([this](HolderActivity activity) {
        // A request in progress is refused, which needs the sending side.
        if (activity == HolderActivity::Receiving)
            m_socket.shutDownReading();
        else
            m_socket.shutDown();
    });
}

void ServerConnection::run()
{
    while (!m_hasEnded && !m_closesAfterResponse && awaitRequest())
        serveRequest();
    if (m_hasEnded || !m_closesAfterResponse)
        return;
    m_buffer = beast::flat_buffer();
    static_cast<void>(record(HolderActivity::Closing));
    m_socket.linger(lingerTimeout);
}

// An idle connection has no buffer. Returns false if the connection has ended.
bool ServerConnection::awaitRequest()
{
    if (m_buffer.size() > 0)
        return true;
    m_buffer = beast::flat_buffer(std::max<std::size_t>(minUnparsedLimit, 2 * maxHeadBytes));
    if (!record(HolderActivity::Idle) || m_socket.waitReadable(idleTimeout) != SocketResult::Done)
        return false;
    m_buffer.reserve(headReadSize);
    return readMore(Microseconds(0));
}

void ServerConnection::serveRequest()
{
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(maxHeadBytes);
    m_parser->body_limit(m_context.maxBody.value());
    m_bodyBytesRead = 0;
    if (!readHead())
        return;
    const ActiveRequest active(m_context.activity);
    if (!readBody())
        return;
    HttpRequest request = takeRequest();
    const bool isHead = request.method == "HEAD";
    if (!record(HolderActivity::Handling, handlingOverhead)) {
        request = {};
        refuse(http::status::service_unavailable, refusalRetryAfter);
        return;
    }
    const StreamableResponse result = m_context.handler(std::move(request), {m_socket.descriptor()});
    if (m_context.activity.isDraining())
        m_closesAfterResponse = true;
    const std::optional<absl::string_view> connection = result.response.headers.first("Connection");
    if (connection && absl::EqualsIgnoreCase(*connection, "close"))
        m_closesAfterResponse = true;
    if (!sendResponse(result, isHead))
        end();
}

bool ServerConnection::readHead()
{
    const MonotonicTime end = currentTime() + headTimeout;
    while (true) {
        if (!recordReceiving() || !parse())
            return false;
        if (m_parser->is_header_done())
            return true;
        const auto remaining = std::max(Microseconds(0), end - currentTime());
        if (!readMore(remaining))
            return false;
    }
}

bool ServerConnection::readBody()
{
    m_bodySince = currentTime();
    m_parser->eager(true);
    reserveForBody(*m_parser, m_buffer);
    if (!m_parser->is_done() && m_buffer.size() == 0)
        sendContinue();
    while (!m_parser->is_done()) {
        if (m_buffer.size() > 0 && !parse())
            return false;
        if (m_parser->is_done())
            break;
        if (!recordReceiving() || !readMore(bodyStallTimeout))
            return false;
        if (isBodyTooSlow()) {
            refuse(http::status::request_timeout);
            return false;
        }
    }
    return true;
}

// Reads at most maxReadSize bytes behind those that wait to be parsed. Returns false if the request has ended.
bool ServerConnection::readMore(Microseconds limit)
{
    const bool isWithinRequest = m_parser != nullptr;
    const std::size_t size = beast::read_size(m_buffer, maxReadSize);
    if (size == 0) {
        fail(http::error::buffer_overflow);
        return false;
    }
    const auto space = m_buffer.prepare(size);
    std::size_t count = 0;
    const SocketResult result = m_socket.read(space.data(), space.size(), limit, count);
    if (isShed() && isWithinRequest) {
        refuse(http::status::service_unavailable, refusalRetryAfter);
        return false;
    }
    if (result == SocketResult::Done) {
        m_buffer.commit(count);
        return true;
    }
    if (result == SocketResult::TimedOut && isWithinRequest)
        refuse(http::status::request_timeout);
    else
        end();
    return false;
}

bool ServerConnection::parse()
{
    error_code error;
    const std::size_t parsed = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(parsed);
    if (error == http::error::need_more)
        error = {};
    if (m_parser->is_header_done())
        m_bodyBytesRead += parsed;
    if (!error && isFramingExcessive(ByteCount(m_bodyBytesRead), ByteCount(m_parser->get().body().size())))
        error = http::error::body_limit;
    if (!error)
        return true;
    fail(error);
    return false;
}

bool ServerConnection::isBodyTooSlow() const
{
    const Microseconds transferTime(static_cast<std::int64_t>(m_bodyBytesRead * std::micro::den / slowRate.value()));
    return currentTime() - m_bodySince > bodyStallTimeout + transferTime;
}

void ServerConnection::sendContinue()
{
    if (beast::iequals(m_parser->get()[http::field::expect], "100-continue"))
        static_cast<void>(send("HTTP/1.1 100 Continue\r\n\r\n", false));
}

HttpRequest ServerConnection::takeRequest()
{
    auto message = m_parser->release();
    m_parser.reset();
    HttpRequest request;
    request.method.assign(message.method_string().data(), message.method_string().size());
    request.target.assign(message.target().data(), message.target().size());
    copyHeaders(message, request.headers);
    const ByteCount bodySize(message.body().capacity());
    request.body =
            HttpBody(std::move(message.body()), m_context.account ? m_context.account->charge(bodySize) : nullptr);
    m_version = message.version();
    m_closesAfterResponse = !message.keep_alive();
    return request;
}

bool ServerConnection::record(HolderActivity activity, std::size_t bytes)
{
    return !m_entry || m_entry->record(activity, ByteCount(connectionOverhead.value() + m_buffer.capacity() + bytes));
}

// Refuses the request and returns false if the account demands it.
bool ServerConnection::recordReceiving()
{
    const std::size_t bodyBytes = m_parser->is_header_done()
                                          ? memoryOfBody(m_parser->get().body(),
                                                         m_parser->content_length().value_or(m_context.maxBody.value()))
                                          : 0;
    if (record(HolderActivity::Receiving, bodyBytes))
        return true;
    refuse(http::status::service_unavailable, refusalRetryAfter);
    return false;
}

void ServerConnection::fail(const error_code &error)
{
    refuse(statusForError(error));
}

// Responds to a request that was not passed to the handler. What was received is freed first.
void ServerConnection::refuse(http::status status, absl::string_view retryAfter)
{
    m_parser.reset();
    m_buffer = beast::flat_buffer();
    if (m_entry)
        m_entry->setFreed();
    static_cast<void>(record(HolderActivity::Closing));
    StreamableResponse refusal;
    refusal.response.status = static_cast<int>(status);
    refusal.response.headers = m_context.refusalHeaders;
    refusal.response.body = refusalText(status);
    if (!retryAfter.empty())
        refusal.response.headers.add("Retry-After", retryAfter);
    m_closesAfterResponse = true;
    if (!sendResponse(refusal, false))
        end();
}

void ServerConnection::end()
{
    m_hasEnded = true;
    m_socket.shutDown();
}

bool ServerConnection::send(absl::string_view bytes, bool hasMore)
{
    return m_socket.send(bytes, hasMore, writeStallTimeout,
                         [this] { return record(HolderActivity::Writing, m_responseBytes); });
}

bool ServerConnection::sendResponse(const StreamableResponse &result, bool isHead)
{
    const bool hasBody = !isHead && isBodyAllowed(result.response.status);
    const bool isUnsized = result.source && !result.length;
    const bool isChunked = hasBody && isUnsized && m_version >= 11;
    m_closesAfterResponse = m_closesAfterResponse || (hasBody && isUnsized && !isChunked);
    std::string head = responseHead(result, hasBody, isChunked);
    const std::string &body = result.response.body;
    m_responseBytes = head.size() + body.capacity() + (result.source ? handlingOverhead : 0);
    if (!hasBody || (!result.source && body.size() <= maxJoinedBody)) {
        if (hasBody)
            head.append(body);
        return send(head, false);
    }
    // The head of a streamed response must not wait for the first part of its body.
    if (!send(head, !result.source))
        return false;
    return result.source ? stream(result.source, result.length, isChunked) : sendBody(body);
}

bool ServerConnection::sendBody(const std::string &body)
{
    return send(body, false);
}

// The activity is Handling while the source is read, which may block for long.
bool ServerConnection::stream(const BodySource &source, std::optional<ByteCount> length, bool isChunked)
{
    std::array<char, streamBlockBytes> block{};
    std::uint64_t remaining = length ? length->value() : std::numeric_limits<std::uint64_t>::max();
    while (remaining > 0) {
        if (!record(HolderActivity::Handling, handlingOverhead))
            return false;
        const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(block.size(), remaining));
        const absl::StatusOr<std::size_t> count = source(block.data(), size);
        if (!count.ok() || (*count == 0 && length))
            return false;
        if (*count == 0)
            return !isChunked || send("0\r\n\r\n", false);
        remaining -= *count;
        const absl::string_view bytes(block.data(), *count);
        const bool isSent = isChunked ? send(absl::StrCat(absl::Hex(*count), "\r\n"), true) && send(bytes, true)
                                                && send("\r\n", false)
                                      : send(bytes, false);
        if (!isSent)
            return false;
    }
    return true;
}

std::string ServerConnection::responseHead(const StreamableResponse &result, bool hasBody, bool isChunked) const
{
    const HttpResponse &response = result.response;
    const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
    std::string head =
            absl::StrCat("HTTP/1.1 ", response.status, " ", absl::string_view(reason.data(), reason.size()), "\r\n");
    for (const HttpHeader &line : response.headers.lines()) {
        if (!isSetByServer(line.name) && !absl::EqualsIgnoreCase(line.name, "Connection"))
            absl::StrAppend(&head, line.name, ": ", line.value, "\r\n");
    }
    if (!response.headers.first("Date"))
        absl::StrAppend(&head, dateHeader());
    if (m_closesAfterResponse)
        absl::StrAppend(&head, "Connection: close\r\n");
    else if (m_version < 11)
        absl::StrAppend(&head, "Connection: keep-alive\r\n");
    if (isChunked)
        absl::StrAppend(&head, "Transfer-Encoding: chunked\r\n");
    else if (result.length)
        absl::StrAppend(&head, "Content-Length: ", result.length->value(), "\r\n");
    else if (!result.source && hasBody)
        absl::StrAppend(&head, "Content-Length: ", response.body.size(), "\r\n");
    return absl::StrCat(head, "\r\n");
}

} // namespace dandeliondock::impl
