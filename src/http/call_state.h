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

/// \brief State of one transfer. Belongs to one thread at a time.
struct CallState
{
    CallState(std::shared_ptr<ConnectionPool> connections, Address target, HttpRequest message,
              const SendOptions &options, ByteCount limit);
    ~CallState();

    CallState(const CallState &) = delete;
    CallState &operator=(const CallState &) = delete;

    /// \brief Does what can be done without waiting.
    void advance();

    /// \brief Resumes a transfer that was paused for want of room.
    void resume();

    std::shared_ptr<ConnectionPool> pool;
    Address address;
    HttpRequest request;
    ByteCount bufferLimit;
    Connection connection;
    std::unique_ptr<curl_slist, ListCleanup> headers;
    HttpResponse response;
    std::optional<ByteCount> contentLength;
    std::string failure;  ///< message of libcurl after a failed transfer
    absl::Status refusal; ///< of the pool, which gave no connection
    CURLcode code = CURLE_OK;
    int sendings = 0;
    int socket = -1;
    bool headComplete = false;
    bool finished = false;
    bool paused = false;

private:
    [[nodiscard]] bool takeConnection(const SendOptions &options);
    void prepare(const SendOptions &options);
    void prepareMethod();
    void prepareHooks();
    void finish(CURLcode result);
};

} // namespace dandeliondock::impl
