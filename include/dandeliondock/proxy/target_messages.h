#pragma once

#include <dandeliondock/http/message.h>
#include <dandeliondock/proxy/local_target.h>

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <variant>

namespace dandeliondock {

/// \brief A target says that it ends.
struct TargetDeparture
{
    TargetId target;
    std::optional<Incarnation> startedAt;
};

using TargetMessage = std::variant<TargetAnnouncement, TargetDeparture>;

/// \brief Reads what targets send. NotFound when the request is no such message, InvalidMessage when it is malformed.
///
/// \remark Called on the traffic duty's thread.
using TargetMessageReader = std::function<absl::StatusOr<TargetMessage>(const HttpRequest &)>;

} // namespace dandeliondock
