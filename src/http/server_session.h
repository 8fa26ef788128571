#pragma once

#include "beast_message.h"
#include "received_body.h"
#include "server_state.h"

#include <absl/container/inlined_vector.h>

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace dandeliondock::impl {

class SessionRequest;

/// \brief Largest number of requests of one connection that are passed on and whose responses are not being written. A
/// client with one connection to a proxy has about 10 open if it sends 3.2 reports per second that take up to 3 s each.
inline constexpr std::size_t maxConcurrentRequests = 16;
/// \brief Bytes held for one connection up to which a further request is passed on beside others; less than a hundredth
/// of the memory of the smallest instances (160 MB).
inline constexpr std::size_t maxConcurrentBytes = 1'048'576;
/// \brief Bytes of ready responses that wait for an earlier one. The sizes of responses are not known when requests are
/// passed on; 16 responses of 256 KiB fit.
inline constexpr std::size_t maxReadyBytes = 4'194'304;

/// \brief One connection. The head of the next request is read while a request is handled, so that a disconnect of the
/// peer is noticed.
///
/// Requests are passed on in the order in which they arrive, and their responses are written in this order. A request
/// is passed on when no other one is in progress and no response is being written, or, if the server's concurrency hook
/// permits it for this request and for those in progress, as long as the bounds above are not reached. A request that
/// is read but not passed on is dropped when the connection closes.
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
    ServerSession(StreamSocket socket, std::shared_ptr<ServerState> server);

    void start();

    void respond(const SessionRequest *request, HttpResponse response);
    void abort(const SessionRequest *request);

    /// \brief Applies the limits of the server to the requests whose first byte has not arrived. Those that have
    /// arrived may have the size that either these limits or the earlier ones permit.
    void applyLimits(const ConnectionLimits &earlier);

    /// \brief Closes the connection if no request is being read or handled and no response is being written.
    void closeIfIdle();

    /// \brief Closes the connection if no request is being handled and the time since the last activity exceeds the
    /// limit of its state; see ConnectionLimits.
    void closeIfTimedOut(MonotonicTime now);

    void close();

    /// \brief Bytes held for this connection: input that is not parsed, the request that is being read or waits, the
    /// requests in progress as received, the responses that are ready or being written.
    [[nodiscard]] std::size_t heldBytes() const;

private:
    using Requests = absl::InlinedVector<std::shared_ptr<SessionRequest>, 1>;

    enum class ReadState {
        Idle,
        Head,
        HeadDone, ///< the head is read, the body waits until the earlier requests have ended
        Body,
        Done, ///< the request is read completely, or reading has failed
        Discard
    };

    void readHead();
    void setParserLimits();
    void onHeadRead(const error_code &error, std::size_t parsed);
    [[nodiscard]] bool mayReadBody() const;
    void startBody();
    void readBody();
    void onBodyBytesRead(const error_code &error, std::size_t bytes);
    void parseBody();
    void sendContinue();
    void onReadFailed(const error_code &error);
    void onRequestRead();
    [[nodiscard]] std::shared_ptr<SessionRequest> takeRequest();
    [[nodiscard]] bool isIdle() const noexcept { return m_requests.empty() && !m_isWriting; }
    [[nodiscard]] bool mayRunBesideOthers() const;
    [[nodiscard]] bool hasReadyResponse() const;
    void handleNext();
    void resumeReading();
    void discardInput();
    void reject(http::status status, const error_code &error, absl::string_view retryAfter = {});
    [[nodiscard]] Requests::iterator find(const SessionRequest *request);
    void limitReadyResponses();
    [[nodiscard]] Requests takeRequestsFrom(std::size_t index);
    void cancelRequestsFrom(std::size_t index);
    [[nodiscard]] bool hasPeerHungUp();
    /// Records what the connection does and holds in the account of the process.
    void updateAccount();
    [[nodiscard]] HolderActivity activity() const;
    /// Refuses the request in progress or closes the connection, because all connections hold too much.
    void shed();
    void refuse();
    void openEntry();
    [[nodiscard]] bool isShed() const { return m_entry && m_entry->isShed(); }
    void onPeerDisconnected();
    void writeResponse(const SessionRequest &request, HttpResponse response);
    void writeReadyResponse();
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
    Requests m_requests;                    ///< passed on, and their responses not being written; oldest first
    std::shared_ptr<SessionRequest> m_next; ///< read completely, and not passed on
    /// Bytes that had arrived when the limits changed and are not parsed; requests that begin there may have the size
    /// that m_earlierLimits permit.
    std::size_t m_earlierBytes = 0;
    ConnectionLimits m_earlierLimits;
    bool m_isHeadSplitByChange = false;  ///< a part of the head in progress was parsed when the limits changed
    std::uint64_t m_handledRequests = 0; ///< passed to the handler so far
    std::size_t m_discardedBytes = 0;
    ReadState m_readState = ReadState::Idle;
    MonotonicTime m_lastActivity;
    std::optional<MonotonicTime> m_partialHeadSince; ///< set when a part of a head was noticed
    MonotonicTime m_bodySince;                       ///< when the head before the body was complete
    std::size_t m_bodyBytesRead = 0;                 ///< of the body in progress, with its framing
    ByteCount m_headMemory;                          ///< of the head that was read last
    ByteCount m_messageHeadMemory;                   ///< of the response that is being written
    std::shared_ptr<ReceiveEntry> m_entry;           ///< null without an account
    bool m_isReading = false;                        ///< a read, or the write of a status 100 before it, is in progress
    bool m_isRejected = false; ///< a request was rejected before it was read; its rest is not read
    bool m_isWriting = false;
    bool m_closesAfterResponse = false; ///< no further request is passed on; the last response ends the connection
    bool m_isClosed = false;
};

} // namespace dandeliondock::impl
