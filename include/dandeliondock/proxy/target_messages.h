#pragma once

#include <dandeliondock/http/message.h>
#include <dandeliondock/proxy/local_target.h>

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <variant>

namespace dandeliondock {

/// \brief Message of a target that is shutting down.
struct TargetDeparture
{
    TargetId target;
    std::optional<Incarnation> startedAt; ///< start of the target process; empty when the message has none
};

using TargetMessage = std::variant<TargetAnnouncement, TargetDeparture>;

/// \brief Parses a message of a target. NotFound when the request is not a target message, InvalidMessage when it is
/// malformed.
///
/// \remark Called on the traffic duty's thread.
using TargetMessageReader = std::function<absl::StatusOr<TargetMessage>(const HttpRequest &)>;

} // namespace dandeliondock
