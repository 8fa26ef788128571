#pragma once

#include "connection_pool.h"

#include <dandeliondock/http/client.h>

#include <absl/status/status.h>

#include <memory>
#include <optional>
#include <string>

namespace dandeliondock::impl {

struct ListCleanup
{
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};

/// \brief State of one transfer. Must be used by one thread at a time.
struct CallState
{
    CallState(std::shared_ptr<ConnectionPool> connections, Address target, HttpRequest message,
              const SendOptions &options, ByteCount limit);
    ~CallState();

    CallState(const CallState &) = delete;
    CallState &operator=(const CallState &) = delete;

    /// \brief Sends and receives what is possible without blocking.
    void advance();

    /// \brief Resumes a transfer that was paused because the buffer was full.
    void resume();

    std::shared_ptr<ConnectionPool> pool;
    Address address;
    HttpRequest request;
    ByteCount bufferLimit;
    Connection connection;
    std::unique_ptr<curl_slist, ListCleanup> headers;
    HttpResponse response;
    std::optional<ByteCount> contentLength;
    std::string errorText;   ///< address and libcurl's message after a failed transfer
    absl::Status poolStatus; ///< error of the pool when it returned no connection, else OK
    CURLcode code = CURLE_OK;
    int sendAttempts = 0; ///< number of times that libcurl was about to send the request
    int socket = -1;
    bool hasStatusLine = false; ///< of the head that is being received
    bool headersComplete = false;
    bool finished = false;
    bool paused = false;

private:
    [[nodiscard]] bool acquireConnection(const SendOptions &options);
    void prepareRequest(const SendOptions &options);
    void prepareMethod();
    void prepareCallbacks();
    void finish(CURLcode result);
};

} // namespace dandeliondock::impl
