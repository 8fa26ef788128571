#pragma once

#include "beast_message.h"
#include "blocking_socket.h"
#include "received_body.h"
#include "server_activity.h"

#include <dandeliondock/http/server.h>
#include <dandeliondock/http/shared_receive_account.h>

#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace dandeliondock::impl {

/// \brief What the connections of an HttpServer share.
struct ServerContext
{
    StreamingHttpHandler handler;
    ByteCount maxBody;
    std::shared_ptr<SharedReceiveAccount> account; ///< null without a bound over all connections
    HttpHeaders refusalHeaders;
    ServerActivity activity;
};

/// \brief One connection of an HttpServer, served by one thread: it receives a request, calls the handler, sends the
/// response, and so on until the connection ends.
///
/// \remark run() must be called once; shutDown() is thread-safe.
class ServerConnection
{
public:
    ServerConnection(int descriptor, ServerContext &context);

    /// \brief Serves the connection until its end.
    void run();

    void shutDown() { m_socket.shutDown(); }

    /// \brief Whether the account has closed the connection.
    [[nodiscard]] bool isShed() const { return m_entry && m_entry->isShed(); }

private:
    using Parser = http::request_parser<ReceivedBody>;

    void openEntry();
    [[nodiscard]] bool awaitRequest();
    void serveRequest();
    [[nodiscard]] bool readHead();
    [[nodiscard]] bool readBody();
    [[nodiscard]] bool readMore(Microseconds limit);
    [[nodiscard]] bool parse();
    [[nodiscard]] bool isBodyTooSlow() const;
    void sendContinue();
    [[nodiscard]] HttpRequest takeRequest();
    [[nodiscard]] bool record(HolderActivity activity, std::size_t bytes = 0);
    [[nodiscard]] bool recordReceiving();
    void end();
    void fail(const error_code &error);
    void refuse(http::status status, absl::string_view retryAfter = {});
    [[nodiscard]] bool send(absl::string_view bytes, bool hasMore);
    [[nodiscard]] bool sendResponse(const StreamableResponse &result, bool isHead);
    [[nodiscard]] bool sendBody(const std::string &body);
    [[nodiscard]] bool stream(const BodySource &source, std::optional<ByteCount> length, bool isChunked);
    [[nodiscard]] std::string responseHead(const StreamableResponse &result, bool hasBody, bool isChunked) const;

    ServerContext &m_context;
    BlockingSocket m_socket;
    std::shared_ptr<SharedReceiveEntry> m_entry; ///< null without an account; destroyed before the socket is closed
    beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
    std::size_t m_bodyBytesRead = 0; ///< of the body in progress, with its framing
    std::size_t m_responseBytes = 0; ///< held while the response is written
    MonotonicTime m_bodySince;       ///< when the head before the body was complete
    unsigned m_version = 11;         ///< of the request
    bool m_closesAfterResponse = false;
    bool m_hasEnded = false; ///< no response can be sent any more
};

} // namespace dandeliondock::impl
