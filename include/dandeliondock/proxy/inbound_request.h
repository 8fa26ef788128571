#pragma once

#include <dandeliondock/config/resources.h>
#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/http/message.h>
#include <dandeliondock/proxy/forward_plan.h>
#include <dandeliondock/proxy/target_load.h>

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>

namespace dandeliondock {

/// \brief A request on its way to the target behind a door.
struct InboundRequest
{
    HttpRequest request; ///< as the target gets it, but for the headers that the door sets
    RequestId id;
    TargetId target; ///< the only one that may run it
    ServiceName service;
    RouteName route;
    WorkClass workClass = WorkClass::Interactive;
    bool isIdempotent = false;
    bool isRepeat = false;      ///< an earlier attempt reached a target
    MonotonicTime deadline;     ///< nothing is done for the request after it
    MonotonicTime softDeadline; ///< a response after it is worth less; the queue does not go past it
};

/// \brief Why a door did not pass a request on.
enum class InboundRefusal { None, Late, Busy, Displaced, Leaving, OtherTarget, OtherVersion, Unreachable };

/// \brief Name of a refusal, as counters and logs carry it. Thread-safe.
[[nodiscard]] const char *inboundRefusalName(InboundRefusal refusal) noexcept;

/// \brief How a door ended a request.
struct InboundResult
{
    ForwardOutcome outcome = ForwardOutcome::Refused;
    InboundRefusal refusal = InboundRefusal::None; ///< of Refused
    HttpResponse response;                         ///< of Answered and Failed: the target's own
    std::optional<TargetLoad> load;
    Microseconds inboundTime{0}; ///< from the request's arrival at the door to this reply
    Microseconds retryAfter{0};  ///< of Refused: when a slot is likely to be free; 0 when unknown
    std::string detail;          ///< for the log
};

using InboundResultHandler = std::function<void(InboundResult)>;

/// \brief Whether the target behind the door takes no further work. Thread-safe.
[[nodiscard]] bool isTargetGone(InboundRefusal refusal) noexcept;

/// \brief Whether a reply carries the target's own response. Thread-safe.
[[nodiscard]] bool hasResponse(ForwardOutcome outcome) noexcept;

/// \brief Name of an outcome, as messages and logs carry it. Thread-safe.
[[nodiscard]] const char *forwardOutcomeName(ForwardOutcome outcome) noexcept;

// Requests and replies between proxies as HTTP messages. Times travel as what is left of them. Header names that begin
// with "Dock-" are reserved: those of callers and targets are not passed on. The functions are thread-safe; the
// decoders return InvalidMessage.

[[nodiscard]] HttpRequest encodeInboundRequest(const InboundRequest &request, MonotonicTime now);
[[nodiscard]] absl::StatusOr<InboundRequest> decodeInboundRequest(HttpRequest request, MonotonicTime now);
[[nodiscard]] HttpResponse encodeInboundResult(InboundResult reply);
[[nodiscard]] absl::StatusOr<InboundResult> decodeInboundResult(HttpResponse response);

} // namespace dandeliondock
