#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/inbound_request.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <utility>

namespace dandeliondock {

namespace {

// Header names of the proxies' own messages. They are short because they cross the metered link. The prefix is
// reserved: a caller or target that sends such a header must not replace what a proxy says.
constexpr absl::string_view reservedPrefix = "Dock-";
constexpr absl::string_view targetHeader = "Dock-Target";
constexpr absl::string_view serviceHeader = "Dock-Service";
constexpr absl::string_view routeHeader = "Dock-Route";
constexpr absl::string_view idHeader = "Dock-Id";
constexpr absl::string_view termsHeader = "Dock-Terms";   // class, idempotent, ms to the deadline, ms of use
constexpr absl::string_view repeatHeader = "Dock-Repeat"; // only on repeats
constexpr absl::string_view outcomeHeader = "Dock-Outcome";
constexpr absl::string_view causeHeader = "Dock-Cause"; // of a failure that is not the target's own
constexpr absl::string_view callCause = "call";
constexpr absl::string_view refusalHeader = "Dock-Refusal";
constexpr absl::string_view loadHeader = "Dock-Load"; // running, waiting, slots
constexpr absl::string_view timeHeader = "Dock-Time-Ms";
constexpr absl::string_view retryHeader = "Dock-Retry-Ms";
constexpr absl::string_view detailHeader = "Dock-Detail";

constexpr std::array<const char *, 8> outcomeNames = {"answered", "failed",  "call_failed",  "refused",
                                                      "not_sent", "not_run", "may_have_run", "timed_out"};
constexpr std::array<const char *, 8> refusalNames = {"none",    "late",         "busy",          "displaced",
                                                      "leaving", "other_target", "other_version", "unreachable"};
constexpr int refusedStatus = 503;

absl::Status invalid(absl::string_view header)
{
    return makeError(ErrorKind::InvalidMessage, absl::StrCat(header, " is missing or malformed"));
}

void removeReserved(HttpHeaders &headers)
{
    headers.removeIf([](absl::string_view name) { return absl::StartsWithIgnoreCase(name, reservedPrefix); });
}

std::string takeText(HttpHeaders &headers, absl::string_view name)
{
    std::string value(headers.first(name).value_or(""));
    headers.remove(name);
    return value;
}

// Numbers in a header, separated by commas; empty unless there are exactly \c count.
std::vector<std::int64_t> takeNumbers(HttpHeaders &headers, absl::string_view name, std::size_t count)
{
    std::vector<std::int64_t> numbers;
    for (absl::string_view part : absl::StrSplit(takeText(headers, name), ',')) {
        std::int64_t number = 0;
        if (!absl::SimpleAtoi(part, &number))
            return {};
        numbers.push_back(number);
    }
    if (numbers.size() != count)
        return {};
    return numbers;
}

template <typename Names>
std::optional<std::size_t> indexOf(const Names &names, absl::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - names.begin());
}

std::int64_t millisecondsLeft(MonotonicTime until, MonotonicTime now)
{
    return std::chrono::duration_cast<Milliseconds>(until - now).count();
}

} // namespace

const char *inboundRefusalName(InboundRefusal refusal) noexcept
{
    return refusalNames.at(static_cast<std::size_t>(refusal));
}

bool isTargetGone(InboundRefusal refusal) noexcept
{
    return refusal == InboundRefusal::Leaving || refusal == InboundRefusal::OtherTarget
           || refusal == InboundRefusal::OtherVersion;
}

bool hasResponse(ForwardOutcome outcome) noexcept
{
    return outcome == ForwardOutcome::Answered || outcome == ForwardOutcome::Failed
           || outcome == ForwardOutcome::CallFailed;
}

const char *forwardOutcomeName(ForwardOutcome outcome) noexcept
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

HttpRequest encodeInboundRequest(const InboundRequest &request, MonotonicTime now)
{
    HttpRequest message = request.request;
    removeReserved(message.headers);
    message.headers.add(targetHeader, request.target.value());
    message.headers.add(serviceHeader, request.service.value());
    message.headers.add(routeHeader, request.route.value());
    message.headers.add(idHeader, request.id.value());
    message.headers.add(termsHeader,
                        absl::StrCat(static_cast<int>(request.workClass), ",", request.isIdempotent ? 1 : 0, ",",
                                     millisecondsLeft(request.deadline, now), ",",
                                     millisecondsLeft(request.softDeadline, now)));
    if (request.isRepeat)
        message.headers.add(repeatHeader, "1");
    return message;
}

absl::StatusOr<InboundRequest> decodeInboundRequest(HttpRequest request, MonotonicTime now)
{
    InboundRequest decoded;
    decoded.target = TargetId(takeText(request.headers, targetHeader));
    decoded.service = ServiceName(takeText(request.headers, serviceHeader));
    decoded.route = RouteName(takeText(request.headers, routeHeader));
    decoded.id = RequestId(takeText(request.headers, idHeader));
    const std::vector<std::int64_t> terms = takeNumbers(request.headers, termsHeader, 4);
    if (decoded.target.value().empty())
        return invalid(targetHeader);
    if (decoded.service.value().empty())
        return invalid(serviceHeader);
    if (terms.empty() || terms[0] < 0 || terms[0] > static_cast<int>(WorkClass::Deferrable))
        return invalid(termsHeader);
    decoded.workClass = static_cast<WorkClass>(terms[0]);
    decoded.isIdempotent = terms[1] != 0;
    decoded.deadline = now + Milliseconds(terms[2]);
    decoded.softDeadline = now + Milliseconds(terms[3]);
    decoded.isRepeat = !takeText(request.headers, repeatHeader).empty();
    decoded.request = std::move(request);
    return decoded;
}

HttpResponse encodeInboundResult(InboundResult reply)
{
    HttpResponse message = std::move(reply.response);
    removeReserved(message.headers);
    if (!hasResponse(reply.outcome))
        message.status = refusedStatus;
    // Proxies that do not know the cause take it as the target's own failure.
    const bool isCallFailure = reply.outcome == ForwardOutcome::CallFailed;
    message.headers.add(outcomeHeader, forwardOutcomeName(isCallFailure ? ForwardOutcome::Failed : reply.outcome));
    if (isCallFailure)
        message.headers.add(causeHeader, callCause);
    if (reply.refusal != InboundRefusal::None)
        message.headers.add(refusalHeader, inboundRefusalName(reply.refusal));
    if (reply.load)
        message.headers.add(loadHeader,
                            absl::StrCat(reply.load->running, ",", reply.load->waiting, ",", reply.load->slots));
    message.headers.add(timeHeader, absl::StrCat(std::chrono::duration_cast<Milliseconds>(reply.inboundTime).count()));
    if (reply.retryAfter.count() > 0) {
        message.headers.add(retryHeader,
                            absl::StrCat(std::chrono::duration_cast<Milliseconds>(reply.retryAfter).count()));
    }
    if (!reply.detail.empty())
        message.headers.add(detailHeader, reply.detail);
    return message;
}

absl::StatusOr<InboundResult> decodeInboundResult(HttpResponse response)
{
    InboundResult reply;
    const auto outcome = indexOf(outcomeNames, takeText(response.headers, outcomeHeader));
    if (!outcome)
        return invalid(outcomeHeader);
    reply.outcome = static_cast<ForwardOutcome>(*outcome);
    const std::string cause = takeText(response.headers, causeHeader);
    if (reply.outcome == ForwardOutcome::Failed && cause == callCause)
        reply.outcome = ForwardOutcome::CallFailed;
    const auto refusal = indexOf(refusalNames, takeText(response.headers, refusalHeader));
    reply.refusal = refusal ? static_cast<InboundRefusal>(*refusal) : InboundRefusal::None;
    const std::vector<std::int64_t> load = takeNumbers(response.headers, loadHeader, 3);
    if (!load.empty()) {
        reply.load = TargetLoad{static_cast<std::uint32_t>(load[0]), static_cast<std::uint32_t>(load[1]),
                                static_cast<std::uint32_t>(load[2])};
    }
    const std::vector<std::int64_t> time = takeNumbers(response.headers, timeHeader, 1);
    if (!time.empty())
        reply.inboundTime = Milliseconds(time[0]);
    const std::vector<std::int64_t> retry = takeNumbers(response.headers, retryHeader, 1);
    if (!retry.empty())
        reply.retryAfter = Milliseconds(retry[0]);
    reply.detail = takeText(response.headers, detailHeader);
    reply.response = std::move(response);
    return reply;
}

} // namespace dandeliondock
