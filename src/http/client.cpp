#include <dandeliondock/http/client.h>

#include <dandeliondock/core/error.h>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <curl/curl.h>

#include <map>
#include <mutex>
#include <vector>

namespace dandeliondock {

namespace {

struct EasyCleanup
{
    void operator()(CURL *handle) const { curl_easy_cleanup(handle); }
};

struct ListCleanup
{
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};

using EasyHandle = std::unique_ptr<CURL, EasyCleanup>;
using HeaderList = std::unique_ptr<curl_slist, ListCleanup>;

struct Transfer
{
    HttpResponse response;
    int sendings = 0;
};

// libcurl sends a request again by itself when a reused connection closes without an answer. The hook is called before
// each sending, so that the second one can be aborted.
int onSending(void *user, char *, char *, int, int)
{
    auto *transfer = static_cast<Transfer *>(user);
    ++transfer->sendings;
    return transfer->sendings > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

std::size_t onBody(char *data, std::size_t, std::size_t size, void *user)
{
    static_cast<Transfer *>(user)->response.body.append(data, size);
    return size;
}

std::size_t onHeader(char *data, std::size_t, std::size_t size, void *user)
{
    const absl::string_view line(data, size);
    const std::size_t colon = line.find(':');
    if (colon == absl::string_view::npos)
        return size;
    const absl::string_view value = absl::StripAsciiWhitespace(line.substr(colon + 1));
    static_cast<Transfer *>(user)->response.headers.add(line.substr(0, colon), value);
    return size;
}

HeaderList buildHeaders(const HttpRequest &request)
{
    curl_slist *list = nullptr;
    for (const char *unwanted : {"Accept:", "Expect:", "Content-Type:"})
        list = curl_slist_append(list, unwanted);
    for (const HttpHeader &line : request.headers.lines()) {
        const std::string text =
                line.value.empty() ? absl::StrCat(line.name, ";") : absl::StrCat(line.name, ": ", line.value);
        list = curl_slist_append(list, text.c_str());
    }
    return HeaderList(list);
}

absl::Status toStatus(CURLcode code, const Transfer &transfer, const Address &address)
{
    const std::string detail = absl::StrCat(address.value(), ": ", curl_easy_strerror(code));
    if (transfer.sendings == 0)
        return makeError(ErrorKind::NotSent, detail);
    if (code == CURLE_PARTIAL_FILE)
        return makeError(ErrorKind::Truncated, detail);
    if (code == CURLE_OPERATION_TIMEDOUT)
        return makeError(ErrorKind::DeadlineExceeded, detail);
    return makeError(ErrorKind::MayHaveRun, detail);
}

void prepare(CURL *handle, const Address &address, const HttpRequest &request, const SendOptions &options)
{
    curl_easy_reset(handle);
    const std::string url = absl::StrCat("http://", address.value(), request.target);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(options.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(options.connectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, options.freshConnection ? 1L : 0L);
    if (request.method == "HEAD")
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    if (request.method != "GET" && request.method != "HEAD") {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    if (request.method != "HEAD")
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

} // namespace

struct HttpClient::Impl
{
    std::mutex mutex;
    std::map<Address, std::vector<EasyHandle>> idle;

    EasyHandle take(const Address &address)
    {
        const std::scoped_lock lock(mutex);
        std::vector<EasyHandle> &handles = idle[address];
        if (handles.empty())
            return EasyHandle(curl_easy_init());
        EasyHandle handle = std::move(handles.back());
        handles.pop_back();
        return handle;
    }

    void giveBack(const Address &address, EasyHandle handle)
    {
        const std::scoped_lock lock(mutex);
        idle[address].push_back(std::move(handle));
    }
};

HttpClient::HttpClient() : m_impl(std::make_unique<Impl>()) {}

HttpClient::~HttpClient() = default;

SendResult HttpClient::send(const Address &address, const HttpRequest &request, const SendOptions &options)
{
    EasyHandle handle = m_impl->take(address);
    const HeaderList headers = buildHeaders(request);
    Transfer transfer;
    prepare(handle.get(), address, request, options);
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_PREREQFUNCTION, &onSending);
    curl_easy_setopt(handle.get(), CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &transfer);
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK)
        return {transfer.sendings > 0, toStatus(code, transfer, address)};
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    transfer.response.status = static_cast<int>(status);
    m_impl->giveBack(address, std::move(handle));
    return {true, std::move(transfer.response)};
}

} // namespace dandeliondock
