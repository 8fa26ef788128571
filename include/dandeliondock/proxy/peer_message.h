#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/http/message.h>

#include <absl/status/statusor.h>

#include <optional>
#include <string>

namespace dandeliondock {

/// \brief Largest body of a message to the control duty of another proxy. Decoding takes up to 40 times the length of a
/// message of empty entries. The longest one in use is a quota report with all accounts of a configuration, whose names
/// fit into a row of 64 KiB.
inline constexpr ByteCount maxPeerMessageSize{262'144};

/// \brief What a message between the proxies themselves is for. The receiver tells such messages from forwarded
/// requests by a header of its own, which no caller or target can send through a proxy; paths belong to the callers.
enum class PeerMessageKind {
    TablePoll,     ///< read of a table by a child proxy
    OutcomeReport, ///< outcomes for the driver of a rollout
    QuotaReport,   ///< usage for the collector of a data centre
    QuotaSums      ///< sums for another collector
};

/// \brief Returns the request that carries a message to the inbound listener of another proxy. Thread-safe.
[[nodiscard]] HttpRequest encodePeerMessage(PeerMessageKind kind, std::string body);

/// \brief Returns the kind of the message that a request at the inbound listener carries; empty for a forwarded
/// request. Thread-safe.
/// \return InvalidMessage for a message of an unknown kind.
[[nodiscard]] absl::StatusOr<std::optional<PeerMessageKind>> peerMessageKind(const HttpRequest &request);

/// \brief Removes the headers of the proxies' own protocol, which callers and targets must not set. Thread-safe for
/// distinct objects.
void removeReservedHeaders(HttpHeaders &headers);

} // namespace dandeliondock
