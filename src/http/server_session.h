#pragma once

#include "beast_message.h"
#include "received_body.h"
#include "server_state.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace dandeliondock::impl {

class SessionRequest;

/// \brief One connection. The head of the next request is read while a request is handled, so that a disconnect of the
/// peer is noticed.
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
    ServerSession(StreamSocket socket, std::shared_ptr<ServerState> server);

    void start();

    void respond(const SessionRequest *request, HttpResponse response);
    void abort(const SessionRequest *request);

    /// \brief Closes the connection if no request is being read or handled and no response is being written.
    void closeIfIdle();

    /// \brief Closes the connection if no request is being handled and the time since the last activity exceeds the
    /// limit of its state; see ConnectionLimits.
    void closeIfTimedOut(MonotonicTime now);

    void close();

private:
    enum class ReadState { Idle, Head, Body, Done };

    void readHead();
    void onHeadRead(const error_code &error);
    void readBody();
    void onBodyBytesRead(const error_code &error, std::size_t bytes);
    void parseBody();
    void sendContinue();
    void onReadFailed(const error_code &error);
    void onRequestRead();
    void handleRequest();
    void reject(http::status status, absl::string_view retryAfter = {});
    /// Records what the connection does and holds in the account of the process.
    void updateAccount();
    [[nodiscard]] HolderActivity activity() const;
    /// Refuses the request in progress or closes the connection, because all connections hold too much.
    void shed();
    void refuse();
    void openEntry();
    [[nodiscard]] bool isShed() const { return m_entry && m_entry->isShed(); }
    void onPeerDisconnected();
    void write(http::response<http::string_body> message, bool isUrgent);
    void awaitGrant();
    void writePiece();
    void endWriting();
    void onWritten(const error_code &error);
    [[nodiscard]] bool isReadTimedOut(MonotonicTime now);
    [[nodiscard]] bool isBodyTimedOut(MonotonicTime now) const;

    using Parser = http::request_parser<ReceivedBody>;
    using Serializer = http::response_serializer<http::string_body>;

    StreamSocket m_socket;
    std::shared_ptr<ServerState> m_server;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
    std::unique_ptr<http::response<http::string_body>> m_message;
    std::unique_ptr<Serializer> m_serializer; ///< of m_message
    std::optional<TransferId> m_transfer;     ///< of a response that is written as grants allow
    std::size_t m_grantedBytes = 0;
    bool m_isAwaitingGrant = false;
    std::shared_ptr<SessionRequest> m_activeRequest;
    ReadState m_readState = ReadState::Idle;
    MonotonicTime m_lastActivity;
    std::optional<MonotonicTime> m_partialHeadSince; ///< set when a part of a head was noticed
    MonotonicTime m_bodySince;                       ///< when the head before the body was complete
    std::size_t m_bodyBytesRead = 0;                 ///< of the body in progress, with its framing
    std::shared_ptr<ReceiveEntry> m_entry;           ///< null without an account
    bool m_isReading = false;                        ///< a read, or the write of a status 100 before it, is in progress
    bool m_isRejected = false; ///< a request was rejected before it was read; its rest is not read
    bool m_isWriting = false;
    bool m_closesAfterResponse = false; ///< no further request is handled after the response in progress
    bool m_isClosed = false;
};

} // namespace dandeliondock::impl
