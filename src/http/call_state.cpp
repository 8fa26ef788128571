#include "call_state.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace dandeliondock::impl {

namespace {

constexpr absl::string_view protocolName = "HTTP/";
constexpr std::size_t abortTransfer = 0; // returned by a hook in place of the number of bytes

// libcurl repeats a request by itself when a reused connection closes without a response. It calls this hook each time
// before it sends the request, so that the second attempt is aborted here. Before the first call no byte was sent.
int beforeSend(void *user, char *, char *, int, int)
{
    auto *state = static_cast<CallState *>(user);
    ++state->sendAttempts;
    return state->sendAttempts > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

std::size_t onBody(char *data, std::size_t, std::size_t size, void *user)
{
    auto *state = static_cast<CallState *>(user);
    state->headersComplete = true;
    if (state->response.body.size() >= state->bufferLimit.value()) {
        state->paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    state->response.body.append(data, size);
    return size;
}

// Returns false when the status is neither that of an interim nor that of a final response.
bool finishHead(CallState &state)
{
    long code = 0;
    curl_easy_getinfo(state.connection.easy.get(), CURLINFO_RESPONSE_CODE, &code);
    const int status = static_cast<int>(code);
    state.response.status = status;
    state.headersComplete = isFinalStatus(status);
    return state.headersComplete || isInterimStatus(status);
}

void addHeader(CallState &state, absl::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == absl::string_view::npos)
        return;
    const absl::string_view name = line.substr(0, colon);
    const absl::string_view value = absl::StripAsciiWhitespace(line.substr(colon + 1));
    state.response.headers.add(name, value);
    std::uint64_t length = 0;
    if (absl::EqualsIgnoreCase(name, "Content-Length") && absl::SimpleAtoi(value, &length))
        state.contentLength = ByteCount(length);
}

std::size_t onHeader(char *data, std::size_t, std::size_t size, void *user)
{
    auto *state = static_cast<CallState *>(user);
    const absl::string_view line(data, size);
    if (state->headersComplete) // trailers are dropped
        return size;
    const bool isStatusLine = absl::StartsWith(line, protocolName);
    const bool isJoined = isStatusLine ? state->hasStatusLine || containsStatusLine(line.substr(protocolName.size()))
                                       : containsStatusLine(line);
    if (isJoined)
        return abortTransfer;
    if (isStatusLine) {
        state->response.headers = HttpHeaders();
        state->hasStatusLine = true;
    } else if (absl::StripAsciiWhitespace(line).empty()) {
        if (!finishHead(*state))
            return abortTransfer;
        state->hasStatusLine = false;
    } else {
        addHeader(*state, line);
    }
    return size;
}

curl_socket_t onOpenSocket(void *user, curlsocktype, struct curl_sockaddr *address)
{
    auto *state = static_cast<CallState *>(user);
    state->socket = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    return state->socket;
}

std::string headerText(const HttpHeader &line)
{
    return line.value.empty() ? absl::StrCat(line.name, ";") : absl::StrCat(line.name, ": ", line.value);
}

// libcurl writes these headers itself.
bool isSetByCurl(absl::string_view name)
{
    return absl::EqualsIgnoreCase(name, "Content-Length") || absl::EqualsIgnoreCase(name, "Transfer-Encoding");
}

std::unique_ptr<curl_slist, ListCleanup> buildHeaders(const HttpRequest &request)
{
    curl_slist *list = nullptr;
    for (const char *unwanted : {"Accept:", "Expect:", "Content-Type:"})
        list = curl_slist_append(list, unwanted);
    for (const HttpHeader &line : request.headers.lines()) {
        if (!isSetByCurl(line.name))
            list = curl_slist_append(list, headerText(line).c_str());
    }
    return std::unique_ptr<curl_slist, ListCleanup>(list);
}

} // namespace

CallState::CallState(std::shared_ptr<ConnectionPool> connections, Address target, HttpRequest message,
                     const SendOptions &options, ByteCount limit)
    : pool(std::move(connections)), address(std::move(target)), request(std::move(message)), bufferLimit(limit)
{
    if (!acquireConnection(options))
        return;
    headers = buildHeaders(request);
    prepareRequest(options);
    prepareMethod();
    prepareCallbacks();
    curl_multi_add_handle(connection.multi.get(), connection.easy.get());
}

CallState::~CallState()
{
    if (finished)
        return;
    curl_multi_remove_handle(connection.multi.get(), connection.easy.get());
    pool->discard(address, std::move(connection));
}

bool CallState::acquireConnection(const SendOptions &options)
{
    absl::StatusOr<Connection> acquired = pool->acquire(address, options);
    finished = !acquired.ok();
    if (finished)
        poolStatus = acquired.status();
    else
        connection = *std::move(acquired);
    return !finished;
}

void CallState::prepareRequest(const SendOptions &options)
{
    CURL *handle = connection.easy.get();
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, absl::StrCat("http://", address.value(), "/").c_str());
    curl_easy_setopt(handle, CURLOPT_REQUEST_TARGET, request.target.c_str());
    // Disables the proxies that environment variables name: requests must go directly to the address.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(options.connectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
}

void CallState::prepareMethod()
{
    CURL *handle = connection.easy.get();
    const bool isHead = request.method == "HEAD";
    if (isHead)
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    if (!isHead && (request.method != "GET" || !request.body.empty())) {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.text().data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    if (!isHead)
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void CallState::prepareCallbacks()
{
    CURL *handle = connection.easy.get();
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &beforeSend);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &onOpenSocket);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
}

void CallState::advance()
{
    if (finished)
        return;
    int running = 0;
    curl_multi_perform(connection.multi.get(), &running);
    int remaining = 0;
    while (const CURLMsg *message = curl_multi_info_read(connection.multi.get(), &remaining)) {
        if (message->msg == CURLMSG_DONE)
            finish(message->data.result);
    }
}

void CallState::resume()
{
    paused = false;
    curl_easy_pause(connection.easy.get(), CURLPAUSE_CONT);
}

void CallState::finish(CURLcode result)
{
    finished = true;
    code = result;
    curl_multi_remove_handle(connection.multi.get(), connection.easy.get());
    // libcurl takes a connection that closes within the head of a response for the end of a response without a body.
    if (code == CURLE_OK && !headersComplete)
        code = CURLE_RECV_ERROR;
    if (code == CURLE_OK) {
        pool->release(address, std::move(connection));
        return;
    }
    errorText = absl::StrCat(address.value(), ": ", curl_easy_strerror(code));
    pool->discard(address, std::move(connection));
}

} // namespace dandeliondock::impl
