#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/http/message.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>

namespace dandeliondock {

/// \brief How a request is sent.
struct SendOptions
{
    Milliseconds timeout{1'000};
    Milliseconds connectTimeout{250};
    bool freshConnection = false; ///< never reuse a connection
};

/// \brief What became of a sending.
struct SendResult
{
    bool sent = false;                     ///< some bytes of the request may have left
    absl::StatusOr<HttpResponse> response; ///< NotSent, MayHaveRun, DeadlineExceeded or Truncated on failure
};

/// \brief A client that keeps connections and sends each request at most once.
///
/// \remark Every method is thread-safe; the calling thread does the work.
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    [[nodiscard]] SendResult send(const Address &address, const HttpRequest &request, const SendOptions &options);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dandeliondock
