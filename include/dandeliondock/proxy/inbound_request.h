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

/// \brief A request for the inbound handler of the target's proxy.
struct InboundRequest
{
    HttpRequest request; ///< as sent to the target, without the headers that the inbound handler sets
    RequestId id;
    TargetId target; ///< the only target that may run the request
    ServiceName service;
    RouteName route;
    AccountName account; ///< client account of the caller; empty without one
    WorkClass workClass = WorkClass::Interactive;
    bool isIdempotent = false;
    bool isRepeat = false;      ///< an earlier attempt of the request reached a target
    MonotonicTime deadline;     ///< the request is abandoned after it
    MonotonicTime softDeadline; ///< later responses are less useful; the request does not wait in the queue after it
    Microseconds maxWait{0};    ///< time in the queue after which another target is preferred; 0 for no limit
};

/// \brief Why the inbound handler did not send a request to the target.
enum class InboundRefusal {
    None,         ///< not refused
    Late,         ///< the deadline passed, or the request waited for too long
    Busy,         ///< the queue is full, or the deadline cannot be met
    Displaced,    ///< a request of a higher work class took the place in the queue
    Leaving,      ///< the target or its proxy is shutting down, or the target is not serving yet
    OtherTarget,  ///< the target on this instance has another id or service
    OtherVersion, ///< the target has a version that gets no traffic
    Unreachable,  ///< no connection to the target
    LinkFull,     ///< the instance's link cannot deliver the response in time
    Evacuated,    ///< the data centre of this instance is evacuated
    OtherRegion,  ///< the route or the client account does not allow the region of this instance
    Cold          ///< the target is cold and gets requests at its full rate for cold targets
};

/// \brief Returns the name of a refusal for metrics, logs and headers. Thread-safe.
[[nodiscard]] const char *inboundRefusalName(InboundRefusal refusal) noexcept;

/// \brief Result of the inbound handler for a request.
struct InboundResult
{
    ForwardOutcome outcome = ForwardOutcome::Refused;
    InboundRefusal refusal = InboundRefusal::None; ///< for Refused and NotSent
    HttpResponse response;                         ///< for Responded, Failed and CallFailed: the target's response
    std::optional<TargetLoad> load;
    /// For NotSent, NotRun and MayHaveRun: the target had no room for the request, which does not show a fault.
    bool isTargetFull = false;
    Microseconds inboundTime{0}; ///< from the arrival at the inbound handler to this result
    Microseconds retryAfter{0};  ///< for Refused: time until a slot is likely to be free; 0 when unknown
    std::string detail;          ///< for the log
};

using InboundResultHandler = std::function<void(InboundResult)>;

/// \brief Whether the refusal means that the target accepts no further requests. Thread-safe.
[[nodiscard]] bool isTargetGone(InboundRefusal refusal) noexcept;

/// \brief Whether a result with this outcome contains the target's response. Thread-safe.
[[nodiscard]] bool hasResponse(ForwardOutcome outcome) noexcept;

/// \brief Returns the name of an outcome for headers, metrics and logs. Thread-safe.
[[nodiscard]] const char *forwardOutcomeName(ForwardOutcome outcome) noexcept;

// Encoding of requests and results between proxies as HTTP messages. Deadlines are sent as remaining milliseconds.
// Header names that begin with "Dock-" are reserved: such headers from callers and targets are removed. The functions
// are thread-safe; the decoders return InvalidMessage for a malformed message.

[[nodiscard]] HttpRequest encodeInboundRequest(const InboundRequest &request, MonotonicTime now);
[[nodiscard]] absl::StatusOr<InboundRequest> decodeInboundRequest(HttpRequest request, MonotonicTime now);
[[nodiscard]] HttpResponse encodeInboundResult(InboundResult result);
[[nodiscard]] absl::StatusOr<InboundResult> decodeInboundResult(HttpResponse response);

} // namespace dandeliondock
