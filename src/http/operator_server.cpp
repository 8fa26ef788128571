#include <dandeliondock/http/operator_server.h>

#include "listen_socket.h"
#include "server_activity.h"

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
constexpr unsigned int unavailableStatus = 503;
// ulfius holds a body, and the request that is passed to the handler has a copy.
constexpr std::size_t bodyCopies = 2;
constexpr char caseBit = 'a' ^ 'A';
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

int socketOf(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == nullptr ? -1 : info->connect_fd;
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

void setResponse(const HttpResponse &response, struct _u_response *raw)
{
    setHeaders(response.headers, raw);
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

using EntryPtr = std::shared_ptr<SharedReceiveEntry>;

} // namespace

struct OperatorServer::Impl
{
    struct _u_instance instance = {};
    HttpHandler handler;
    std::size_t maxBody = 0;
    std::uint16_t port = 0;
    std::shared_ptr<SharedReceiveAccount> account; ///< null without a bound over all connections
    impl::ServerActivity activity;
    bool stopped = false;

    // The socket context of MHD holds the connection's entry in the account. MHD closes the socket after the second
    // notification.
    static void onConnection(void *self, struct MHD_Connection *connection, void **context,
                             enum MHD_ConnectionNotificationCode code)
    {
        static_cast<Impl *>(self)->trackConnection(connection, context, code);
    }

    void trackConnection(struct MHD_Connection *connection, void **context, enum MHD_ConnectionNotificationCode code)
    {
        if (!account)
            return;
        if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
            delete static_cast<EntryPtr *>(*context);
            *context = nullptr;
            return;
        }
        *context = new EntryPtr(
                account->open([socket = socketOf(connection)](HolderActivity) { shutdown(socket, SHUT_RDWR); }));
    }

    // Returns false if the connection was closed by the account.
    static bool record(struct MHD_Connection *connection, HolderActivity activity, std::size_t bytes)
    {
        const union MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
        if (info == nullptr || info->socket_context == nullptr)
            return true;
        const EntryPtr &entry = *static_cast<EntryPtr *>(info->socket_context);
        return entry->record(activity, ByteCount(connectionOverhead.value() + bytes));
    }

    // MHD calls this after it has read a request line, and onCompleted after the response was sent or the connection
    // failed.
    static void *onRequestLine(void *self, const char *uri, struct MHD_Connection *connection)
    {
        auto *impl = static_cast<Impl *>(self);
        impl->activity.beginRequest();
        currentConnection = connection;
        static_cast<void>(record(connection, HolderActivity::Receiving, bodyCopies * impl->maxBody));
        return ulfius_uri_logger(&impl->instance, uri);
    }

    static void onCompleted(void *self, struct MHD_Connection *connection, void **context,
                            enum MHD_RequestTerminationCode code)
    {
        auto *impl = static_cast<Impl *>(self);
        mhd_request_completed(&impl->instance, connection, context, code);
        static_cast<void>(record(connection, HolderActivity::Idle, 0));
        currentConnection = nullptr;
        impl->activity.endRequest();
    }

    static int onRequest(const struct _u_request *raw, struct _u_response *rawResponse, void *self)
    {
        static_cast<Impl *>(self)->serve(raw, rawResponse);
        return U_CALLBACK_COMPLETE;
    }

    void serve(const struct _u_request *raw, struct _u_response *rawResponse)
    {
        // A request whose connection was closed is not passed to the handler.
        if (!record(currentConnection, HolderActivity::Handling, bodyCopies * raw->binary_body_length)) {
            rawResponse->status = unavailableStatus;
            return;
        }
        HttpRequest request = readRequest(raw, currentConnection);
        HttpResponse response = isBodyComplete(request, maxBody) ? handler(std::move(request)) : bodyTooLarge();
        if (activity.isDraining())
            response.headers.set("Connection", "close");
        setResponse(response, rawResponse);
        static_cast<void>(record(currentConnection, HolderActivity::Writing, bodyCopies * response.body.size()));
    }
};

OperatorServer::OperatorServer(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

OperatorServer::~OperatorServer()
{
    stop();
}

std::uint16_t OperatorServer::port() const noexcept
{
    return m_impl->port;
}

void OperatorServer::startDraining()
{
    if (!m_impl->activity.startDraining())
        return;
    const int listenSocket = MHD_quiesce_daemon(m_impl->instance.mhd_daemon);
    if (listenSocket >= 0)
        close(listenSocket);
}

bool OperatorServer::waitForRequests(Milliseconds limit)
{
    return m_impl->activity.waitForRequests(limit);
}

void OperatorServer::stop()
{
    if (m_impl->stopped)
        return;
    m_impl->stopped = true;
    ulfius_stop_framework(&m_impl->instance);
    ulfius_clean_instance(&m_impl->instance);
}

OperatorServerBuilder &OperatorServerBuilder::listen(std::string address, std::uint16_t port)
{
    m_address = std::move(address);
    m_port = port;
    return *this;
}

OperatorServerBuilder &OperatorServerBuilder::handler(HttpHandler handler)
{
    m_handler = std::move(handler);
    return *this;
}

OperatorServerBuilder &OperatorServerBuilder::maxBody(ByteCount limit)
{
    m_maxBody = limit;
    return *this;
}

OperatorServerBuilder &OperatorServerBuilder::maxConnections(ConnectionCount limit)
{
    m_maxConnections = limit;
    return *this;
}

OperatorServerBuilder &OperatorServerBuilder::account(std::shared_ptr<SharedReceiveAccount> account)
{
    m_account = std::move(account);
    return *this;
}

absl::StatusOr<std::unique_ptr<OperatorServer>> OperatorServerBuilder::start()
{
    auto impl = std::make_unique<OperatorServer::Impl>();
    impl->handler = m_handler;
    impl->maxBody = m_maxBody.value();
    impl->account = m_account;
    const absl::StatusOr<impl::ListenSocket> listener = impl::openListenSocket(m_address, m_port);
    if (!listener.ok())
        return listener.status();
    impl->port = listener->port;
    if (ulfius_init_instance(&impl->instance, impl->port, nullptr, nullptr) != U_OK) {
        close(listener->descriptor);
        return makeError(ErrorKind::Internal, "the HTTP library could not be initialised");
    }
    impl->instance.check_utf8 = 0;
    impl->instance.allowed_post_processor = U_POST_PROCESS_NONE;
    impl->instance.max_post_body_size = impl->maxBody + bodyLimitMargin;
    ulfius_add_endpoint_by_val(&impl->instance, "*", nullptr, "/*", 0, &OperatorServer::Impl::onRequest, impl.get());
    ulfius_set_default_endpoint(&impl->instance, &OperatorServer::Impl::onRequest, impl.get());
    std::array options{
            MHD_OptionItem{MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&OperatorServer::Impl::onCompleted),
                           impl.get()},
            MHD_OptionItem{MHD_OPTION_URI_LOG_CALLBACK,
                           reinterpret_cast<intptr_t>(&OperatorServer::Impl::onRequestLine), impl.get()},
            MHD_OptionItem{MHD_OPTION_NOTIFY_CONNECTION,
                           reinterpret_cast<intptr_t>(&OperatorServer::Impl::onConnection), impl.get()},
            MHD_OptionItem{MHD_OPTION_LISTEN_SOCKET, listener->descriptor, nullptr},
            MHD_OptionItem{MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(m_maxConnections.value()), nullptr},
            MHD_OptionItem{MHD_OPTION_CONNECTION_TIMEOUT, connectionIdleTimeoutSeconds, nullptr},
            MHD_OptionItem{MHD_OPTION_THREAD_STACK_SIZE, static_cast<intptr_t>(connectionStackBytes), nullptr},
            MHD_OptionItem{MHD_OPTION_END, 0, nullptr}};
    const unsigned int flags =
            MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
    if (ulfius_start_framework_with_mhd_options(&impl->instance, flags, options.data()) != U_OK) {
        close(listener->descriptor);
        ulfius_clean_instance(&impl->instance);
        return makeError(ErrorKind::Internal, absl::StrCat("the HTTP library did not start on port ", impl->port));
    }
    return std::unique_ptr<OperatorServer>(new OperatorServer(std::move(impl)));
}

} // namespace dandeliondock
