#include <dandeliondock/http/server.h>

#include <dandeliondock/core/error.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <condition_variable>
#include <cstring>
#include <map>
#include <mutex>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include <ulfius.h>
}

namespace dandeliondock {

namespace {

constexpr std::size_t connectionStackBytes = std::size_t{256} * 1024;
constexpr int connectionIdleTimeoutSeconds = 60;
constexpr char caseBit = 'a' ^ 'A';
constexpr std::size_t streamBlockBytes = std::size_t{16} * 1024;
// ulfius truncates a longer body and still calls the handler, so its limit is set above the one that is checked here.
constexpr std::size_t bodyLimitMargin = 1;

// The header map of ulfius holds one value per name, so the header lines are read from libmicrohttpd (MHD).
enum MHD_Result addLine(void *headers, enum MHD_ValueKind, const char *name, const char *value)
{
    static_cast<HttpHeaders *>(headers)->add(name, value == nullptr ? "" : value);
    return MHD_YES;
}

HttpRequest readRequest(const struct _u_request *raw, struct MHD_Connection *connection)
{
    HttpRequest request;
    request.method = raw->http_verb;
    request.target = raw->http_url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &addLine, &request.headers);
    request.body = std::string(static_cast<const char *>(raw->binary_body), raw->binary_body_length);
    return request;
}

CallerConnection callerConnectionOf(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return {info == nullptr ? -1 : info->connect_fd};
}

// MHD writes these headers itself.
bool isSetByServer(absl::string_view name)
{
    return absl::EqualsIgnoreCase(name, "Content-Length") || absl::EqualsIgnoreCase(name, "Transfer-Encoding");
}

// Returns the name with the case of some letters changed. The header map of ulfius holds one value for each spelling of
// a name, and header names are case-insensitive, so each repeated line gets another spelling. The bits of \c index
// select the letters whose case changes.
std::string spellingVariant(absl::string_view name, std::size_t index)
{
    std::string spelling(name);
    for (char &letter : spelling) {
        if (!absl::ascii_isalpha(static_cast<unsigned char>(letter)))
            continue;
        if ((index & 1U) != 0)
            letter = static_cast<char>(letter ^ caseBit);
        index >>= 1U;
    }
    return spelling;
}

void setHeaders(const HttpHeaders &headers, struct _u_response *raw)
{
    std::map<std::string, std::vector<const HttpHeader *>> byName;
    for (const HttpHeader &line : headers.lines()) {
        if (isSetByServer(line.name))
            continue;
        std::vector<const HttpHeader *> &lines = byName[absl::AsciiStrToLower(line.name)];
        const std::string spelling = spellingVariant(lines.empty() ? line.name : lines.front()->name, lines.size());
        lines.push_back(&line);
        u_map_put(raw->map_header, spelling.c_str(), line.value.c_str());
    }
}

ssize_t pullBody(void *user, std::uint64_t, char *buffer, std::size_t size)
{
    const absl::StatusOr<std::size_t> bytesRead = (*static_cast<BodySource *>(user))(buffer, size);
    if (!bytesRead.ok())
        return U_STREAM_ERROR;
    return *bytesRead == 0 ? U_STREAM_END : static_cast<ssize_t>(*bytesRead);
}

void freeBody(void *user)
{
    delete static_cast<BodySource *>(user);
}

void setStreamedBody(StreamableResponse result, struct _u_response *raw)
{
    const std::uint64_t length = result.length ? result.length->value() : U_STREAM_SIZE_UNKNOWN;
    auto source = std::make_unique<BodySource>(std::move(result.source));
    if (ulfius_set_stream_response(raw, static_cast<unsigned int>(result.response.status), &pullBody, &freeBody, length,
                                   streamBlockBytes, source.get())
        == U_OK)
        static_cast<void>(source.release());
}

void setResponse(StreamableResponse result, struct _u_response *raw)
{
    setHeaders(result.response.headers, raw);
    if (result.source) {
        setStreamedBody(std::move(result), raw);
        return;
    }
    const HttpResponse &response = result.response;
    // ulfius ignores the status given together with an empty body, so it is set directly.
    raw->status = response.status;
    if (response.body.empty())
        return;
    ulfius_set_binary_body_response(raw, static_cast<unsigned int>(response.status), response.body.data(),
                                    response.body.size());
}

bool isBodyComplete(const HttpRequest &request, std::size_t limit)
{
    if (request.body.size() > limit)
        return false;
    const std::optional<absl::string_view> length = request.headers.first("Content-Length");
    std::uint64_t declared = 0;
    return !length || (absl::SimpleAtoi(*length, &declared) && declared == request.body.size());
}

HttpResponse bodyTooLarge()
{
    HttpResponse response;
    response.status = 413;
    response.body = std::string(makeError(ErrorKind::BodyTooLarge, "the body is longer than the limit").message());
    return response;
}

} // namespace

namespace {

// The connection whose request this thread handles; MHD runs each connection on a thread of its own.
thread_local struct MHD_Connection *currentConnection = nullptr;

} // namespace

struct HttpServer::Impl
{
    struct _u_instance instance = {};
    StreamingHttpHandler handler;
    std::size_t maxBody = 0;
    std::uint16_t port = 0;
    std::atomic<bool> draining{false};
    bool stopped = false;
    int listenSocket = -1;
    mutable std::mutex mutex;
    std::condition_variable stateChanged;
    std::size_t activeRequests = 0;
    std::size_t connections = 0;
    std::chrono::steady_clock::time_point lastRequestEnd; ///< end of the last request, or startDraining() if later

    static void onConnection(void *self, struct MHD_Connection *, void **, enum MHD_ConnectionNotificationCode code)
    {
        auto *impl = static_cast<Impl *>(self);
        {
            const std::scoped_lock lock(impl->mutex);
            impl->connections += code == MHD_CONNECTION_NOTIFY_STARTED ? 1 : -1;
        }
        impl->stateChanged.notify_all();
    }

    // MHD calls this after it has read a request line, and onCompleted after the response was sent or the connection
    // failed.
    static void *onRequestLine(void *self, const char *uri, struct MHD_Connection *connection)
    {
        static_cast<Impl *>(self)->beginRequest();
        currentConnection = connection;
        return ulfius_uri_logger(&static_cast<Impl *>(self)->instance, uri);
    }

    static void onCompleted(void *self, struct MHD_Connection *connection, void **context,
                            enum MHD_RequestTerminationCode code)
    {
        mhd_request_completed(&static_cast<Impl *>(self)->instance, connection, context, code);
        currentConnection = nullptr;
        static_cast<Impl *>(self)->endRequest();
    }

    static int onRequest(const struct _u_request *raw, struct _u_response *rawResponse, void *self)
    {
        static_cast<Impl *>(self)->serve(raw, rawResponse);
        return U_CALLBACK_COMPLETE;
    }

    void beginRequest()
    {
        const std::scoped_lock lock(mutex);
        ++activeRequests;
    }

    void endRequest()
    {
        {
            const std::scoped_lock lock(mutex);
            --activeRequests;
            lastRequestEnd = std::chrono::steady_clock::now();
        }
        stateChanged.notify_all();
    }

    void serve(const struct _u_request *raw, struct _u_response *rawResponse)
    {
        HttpRequest request = readRequest(raw, currentConnection);
        const CallerConnection caller = callerConnectionOf(currentConnection);
        StreamableResponse result = isBodyComplete(request, maxBody) ? handler(std::move(request), caller)
                                                                     : StreamableResponse{bodyTooLarge(), {}, {}};
        if (draining)
            result.response.headers.set("Connection", "close");
        setResponse(std::move(result), rawResponse);
    }
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

HttpServer::~HttpServer()
{
    stop();
}

std::uint16_t HttpServer::port() const noexcept
{
    return m_impl->port;
}

void HttpServer::startDraining()
{
    if (m_impl->draining.exchange(true))
        return;
    {
        const std::scoped_lock lock(m_impl->mutex);
        m_impl->lastRequestEnd = std::chrono::steady_clock::now();
    }
    m_impl->listenSocket = MHD_quiesce_daemon(m_impl->instance.mhd_daemon);
    if (m_impl->listenSocket >= 0)
        close(m_impl->listenSocket);
}

bool HttpServer::waitForRequests(Milliseconds limit)
{
    std::unique_lock lock(m_impl->mutex);
    return m_impl->stateChanged.wait_for(lock, limit, [this] { return m_impl->activeRequests == 0; });
}

bool HttpServer::waitDrained(Milliseconds quiet, Milliseconds limit)
{
    std::unique_lock lock(m_impl->mutex);
    const auto end = std::chrono::steady_clock::now() + limit;
    while (m_impl->connections > 0) {
        const auto now = std::chrono::steady_clock::now();
        const bool isIdle = m_impl->activeRequests == 0;
        const auto quietAt = m_impl->lastRequestEnd + quiet;
        if (now >= end || (isIdle && now >= quietAt))
            return isIdle;
        m_impl->stateChanged.wait_until(lock, isIdle ? std::min(quietAt, end) : end);
    }
    return true;
}

std::size_t HttpServer::activeRequests() const
{
    const std::scoped_lock lock(m_impl->mutex);
    return m_impl->activeRequests;
}

void HttpServer::stop()
{
    if (m_impl->stopped)
        return;
    m_impl->stopped = true;
    ulfius_stop_framework(&m_impl->instance);
    ulfius_clean_instance(&m_impl->instance);
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

namespace {

absl::StatusOr<int> openListener(const std::string &address, std::uint16_t port, std::uint16_t &boundPort)
{
    struct sockaddr_in bound = {};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &bound.sin_addr) != 1)
        return makeError(ErrorKind::InvalidSettings, absl::StrCat("'", address, "' is not an IPv4 address"));
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    socklen_t size = sizeof bound;
    auto *genericAddress = reinterpret_cast<struct sockaddr *>(&bound);
    if (bind(listener, genericAddress, size) != 0 || ::listen(listener, SOMAXCONN) != 0
        || getsockname(listener, genericAddress, &size) != 0) {
        const std::string reason = std::strerror(errno);
        close(listener);
        return makeError(ErrorKind::InvalidSettings,
                         absl::StrCat("cannot listen on ", address, ":", port, ": ", reason));
    }
    boundPort = ntohs(bound.sin_port);
    return listener;
}

} // namespace

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServerBuilder::start()
{
    auto impl = std::make_unique<HttpServer::Impl>();
    impl->handler = m_handler;
    impl->maxBody = m_maxBody.value();
    const absl::StatusOr<int> listener = openListener(m_address, m_port, impl->port);
    if (!listener.ok())
        return listener.status();
    if (ulfius_init_instance(&impl->instance, impl->port, nullptr, nullptr) != U_OK) {
        close(*listener);
        return makeError(ErrorKind::Internal, "the HTTP library could not be initialised");
    }
    impl->instance.check_utf8 = 0;
    impl->instance.allowed_post_processor = U_POST_PROCESS_NONE;
    impl->instance.max_post_body_size = impl->maxBody + bodyLimitMargin;
    ulfius_add_endpoint_by_val(&impl->instance, "*", nullptr, "/*", 0, &HttpServer::Impl::onRequest, impl.get());
    ulfius_set_default_endpoint(&impl->instance, &HttpServer::Impl::onRequest, impl.get());
    std::array options{
            MHD_OptionItem{MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&HttpServer::Impl::onCompleted),
                           impl.get()},
            MHD_OptionItem{MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&HttpServer::Impl::onRequestLine),
                           impl.get()},
            MHD_OptionItem{MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&HttpServer::Impl::onConnection),
                           impl.get()},
            MHD_OptionItem{MHD_OPTION_LISTEN_SOCKET, *listener, nullptr},
            MHD_OptionItem{MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(m_maxConnections.value()), nullptr},
            MHD_OptionItem{MHD_OPTION_CONNECTION_TIMEOUT, connectionIdleTimeoutSeconds, nullptr},
            MHD_OptionItem{MHD_OPTION_THREAD_STACK_SIZE, static_cast<intptr_t>(connectionStackBytes), nullptr},
            MHD_OptionItem{MHD_OPTION_END, 0, nullptr}};
    const unsigned int flags =
            MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
    if (ulfius_start_framework_with_mhd_options(&impl->instance, flags, options.data()) != U_OK) {
        close(*listener);
        ulfius_clean_instance(&impl->instance);
        return makeError(ErrorKind::Internal, absl::StrCat("the HTTP library did not start on port ", impl->port));
    }
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

} // namespace dandeliondock
