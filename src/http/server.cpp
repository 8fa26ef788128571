#include <dandeliondock/http/server.h>

#include <dandeliondock/core/error.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include <ulfius.h>
}

namespace dandeliondock {

namespace {

constexpr std::size_t connectionStackBytes = std::size_t{256} * 1024;
constexpr int connectionIdleSeconds = 60;
// The library cuts a longer body and still calls the handler, so its limit stands above the checked one.
constexpr std::size_t bodyLimitMargin = 1;

HttpRequest readRequest(const struct _u_request *raw)
{
    HttpRequest request;
    request.method = raw->http_verb;
    request.target = raw->http_url;
    for (int i = 0; i < raw->map_header->nb_values; ++i)
        request.headers.add(raw->map_header->keys[i], raw->map_header->values[i]);
    request.body.assign(static_cast<const char *>(raw->binary_body), raw->binary_body_length);
    return request;
}

void writeResponse(const HttpResponse &response, struct _u_response *raw)
{
    for (const HttpHeader &line : response.headers.lines())
        u_map_put(raw->map_header, line.name.c_str(), line.value.c_str());
    // ulfius refuses an empty binary body and would then answer 200.
    if (response.body.empty()) {
        ulfius_set_empty_body_response(raw, static_cast<unsigned int>(response.status));
        return;
    }
    ulfius_set_binary_body_response(raw, static_cast<unsigned int>(response.status), response.body.data(),
                                    response.body.size());
}

bool isWhole(const HttpRequest &request, std::size_t limit)
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

struct HttpServer::Impl
{
    struct _u_instance instance = {};
    HttpHandler handler;
    std::size_t maxBody = 0;
    std::uint16_t port = 0;
    std::atomic<bool> draining{false};
    bool stopped = false;
    int quiescedSocket = -1;
    mutable std::mutex mutex;
    std::condition_variable idle;
    std::size_t exchanges = 0;

    static int callback(const struct _u_request *raw, struct _u_response *rawResponse, void *self)
    {
        static_cast<Impl *>(self)->serve(raw, rawResponse);
        return U_CALLBACK_COMPLETE;
    }

    void serve(const struct _u_request *raw, struct _u_response *rawResponse)
    {
        {
            const std::scoped_lock lock(mutex);
            ++exchanges;
        }
        HttpRequest request = readRequest(raw);
        HttpResponse response = isWhole(request, maxBody) ? handler(std::move(request)) : bodyTooLarge();
        if (draining)
            response.headers.set("Connection", "close");
        writeResponse(response, rawResponse);
        {
            const std::scoped_lock lock(mutex);
            --exchanges;
        }
        idle.notify_all();
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

void HttpServer::quiesce()
{
    if (m_impl->draining.exchange(true))
        return;
    m_impl->quiescedSocket = MHD_quiesce_daemon(m_impl->instance.mhd_daemon);
    if (m_impl->quiescedSocket >= 0)
        close(m_impl->quiescedSocket);
}

bool HttpServer::waitIdle(Milliseconds limit)
{
    std::unique_lock lock(m_impl->mutex);
    return m_impl->idle.wait_for(lock, limit, [this] { return m_impl->exchanges == 0; });
}

std::size_t HttpServer::exchanges() const
{
    const std::scoped_lock lock(m_impl->mutex);
    return m_impl->exchanges;
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
        return makeError(ErrorKind::InvalidSettings, absl::StrCat("'", address, "' is not an IP number"));
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    socklen_t size = sizeof bound;
    auto *generic = reinterpret_cast<struct sockaddr *>(&bound);
    if (bind(listener, generic, size) != 0 || ::listen(listener, SOMAXCONN) != 0
        || getsockname(listener, generic, &size) != 0) {
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
        return makeError(ErrorKind::Internal, "the HTTP library refused the listener");
    }
    impl->instance.check_utf8 = 0;
    impl->instance.max_post_body_size = impl->maxBody + bodyLimitMargin;
    ulfius_add_endpoint_by_val(&impl->instance, "*", nullptr, "/*", 0, &HttpServer::Impl::callback, impl.get());
    ulfius_set_default_endpoint(&impl->instance, &HttpServer::Impl::callback, impl.get());
    std::array options{
            MHD_OptionItem{MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&mhd_request_completed), nullptr},
            MHD_OptionItem{MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&ulfius_uri_logger), nullptr},
            MHD_OptionItem{MHD_OPTION_LISTEN_SOCKET, *listener, nullptr},
            MHD_OptionItem{MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(m_maxConnections.value()), nullptr},
            MHD_OptionItem{MHD_OPTION_CONNECTION_TIMEOUT, connectionIdleSeconds, nullptr},
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
