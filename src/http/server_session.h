#pragma once

#include "beast_message.h"
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

    void start() { readHead(); }

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
    void onBodyRead(const error_code &error);
    void sendContinue();
    void onReadFailed(const error_code &error);
    void onRequestRead();
    void handleRequest();
    void reject(http::status status);
    void onPeerDisconnected();
    void write(http::response<http::string_body> message, bool isUrgent);
    void awaitGrant();
    void writePiece();
    void endWriting();
    void onWritten(const error_code &error);
    [[nodiscard]] bool isReadTimedOut(MonotonicTime now);

    using Parser = http::request_parser<http::string_body>;
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
    bool m_isWriting = false;
    bool m_closesAfterResponse = false; ///< no further request is handled after the response in progress
    bool m_isClosed = false;
};

} // namespace dandeliondock::impl
