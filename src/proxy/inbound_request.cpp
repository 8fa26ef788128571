#include <dandeliondock/core/checked_number.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/inbound_request.h>
#include <dandeliondock/proxy/peer_message.h>
#include <dandeliondock/proxy/server_load.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <utility>

namespace dandeliondock {

namespace {

// Header names of the protocol between proxies. They are short because they are sent over the metered link between
// regions. Their prefix is reserved, see removeReservedHeaders().
constexpr absl::string_view targetHeader = "Dock-Target";
constexpr absl::string_view serviceHeader = "Dock-Service";
constexpr absl::string_view routeHeader = "Dock-Route";
constexpr absl::string_view accountHeader = "Dock-Account"; // absent without a client account
constexpr absl::string_view idHeader = "Dock-Id";
constexpr absl::string_view termsHeader = "Dock-Terms";   // work class, idempotent, ms to deadline, ms to soft deadline
constexpr absl::string_view repeatHeader = "Dock-Repeat"; // present only on repeats
constexpr absl::string_view waitHeader = "Dock-Wait-Ms";  // longest time in the queue; absent without a limit
constexpr absl::string_view outcomeHeader = "Dock-Outcome";
constexpr absl::string_view causeHeader = "Dock-Cause"; // cause of a failure that is not the target's own
constexpr absl::string_view callCause = "call";
constexpr absl::string_view fullCause = "full";
constexpr absl::string_view refusalHeader = "Dock-Refusal";
constexpr absl::string_view loadHeader = "Dock-Load";    // running, waiting, slots
constexpr absl::string_view linkHeader = "Dock-Link-Ms"; // backlog of the link; absent if there is none
// Milliseconds for which the target stays cold, until the sender's next request, and between two requests at the rate
// of the target; absent if it is warm.
constexpr absl::string_view coldHeader = "Dock-Cold";
constexpr absl::string_view workHeader = "Dock-Work"; // work time of the route in ms, current work time in percent
constexpr absl::string_view timeHeader = "Dock-Time-Ms";
constexpr absl::string_view retryHeader = "Dock-Retry-Ms";
constexpr absl::string_view detailHeader = "Dock-Detail";

constexpr std::array<const char *, 8> outcomeNames = {"answered", "failed",  "call_failed",  "refused",
                                                      "not_sent", "not_run", "may_have_run", "timed_out"};
constexpr std::array<const char *, 12> refusalNames = {"none",      "late",         "busy",          "displaced",
                                                       "leaving",   "other_target", "other_version", "unreachable",
                                                       "link_full", "evacuated",    "other_region",  "cold"};
constexpr int refusedStatus = 503;

absl::Status invalidHeader(absl::string_view header)
{
    return makeError(ErrorKind::InvalidMessage, absl::StrCat(header, " is missing or malformed"));
}

std::string takeHeader(HttpHeaders &headers, absl::string_view name)
{
    std::string value(headers.first(name).value_or(""));
    headers.remove(name);
    return value;
}

// Removes a header and parses its comma-separated numbers; returns none unless there are exactly \c count.
std::vector<std::int64_t> takeNumbers(HttpHeaders &headers, absl::string_view name, std::size_t count)
{
    std::vector<std::int64_t> numbers;
    for (absl::string_view part : absl::StrSplit(takeHeader(headers, name), ',')) {
        std::int64_t number = 0;
        if (!absl::SimpleAtoi(part, &number))
            return {};
        numbers.push_back(number);
    }
    if (numbers.size() != count)
        return {};
    return numbers;
}

// Removes a header with a number of milliseconds; returns 0 if it is missing, malformed or negative.
Milliseconds takeDuration(HttpHeaders &headers, absl::string_view name)
{
    const std::vector<std::int64_t> numbers = takeNumbers(headers, name, 1);
    if (numbers.empty())
        return Milliseconds{0};
    return std::max(checkedDuration(numbers.front()).value_or(Milliseconds{0}), Milliseconds{0});
}

// Removes the header of a cold target; returns no limit if it is missing, malformed or out of range.
ColdReport takeColdReport(HttpHeaders &headers)
{
    const std::vector<std::int64_t> numbers = takeNumbers(headers, coldHeader, 3);
    if (numbers.empty() || *std::min_element(numbers.begin(), numbers.end()) < 0)
        return {};
    const auto remaining = checkedDuration(numbers[0]);
    const auto wait = checkedDuration(numbers[1]);
    const auto interval = checkedDuration(numbers[2]);
    if (!remaining || !wait || !interval)
        return {};
    return {*remaining, *wait, *interval};
}

template <typename Names>
std::optional<std::size_t> indexOf(const Names &names, absl::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - names.begin());
}

// Applies the numbers of the work header; numbers out of range count as absent.
void decodeWork(const std::vector<std::int64_t> &numbers, TargetLoad &load)
{
    if (numbers.empty())
        return;
    load.workTime = std::max(checkedDuration(numbers[0]).value_or(Milliseconds{0}), Milliseconds{0});
    if (numbers[1] >= 0 && numbers[1] <= maxWorkPercent)
        load.workPercent = static_cast<std::uint32_t>(numbers[1]);
}

std::int64_t remainingMilliseconds(MonotonicTime deadline, MonotonicTime now)
{
    return std::chrono::duration_cast<Milliseconds>(deadline - now).count();
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
    return outcome == ForwardOutcome::Responded || outcome == ForwardOutcome::Failed
           || outcome == ForwardOutcome::CallFailed;
}

const char *forwardOutcomeName(ForwardOutcome outcome) noexcept
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

HttpRequest encodeInboundRequest(const InboundRequest &request, MonotonicTime now)
{
    HttpRequest message = request.request;
    removeReservedHeaders(message.headers);
    message.headers.add(targetHeader, request.target.value());
    message.headers.add(serviceHeader, request.service.value());
    message.headers.add(routeHeader, request.route.value());
    if (!request.account.value().empty())
        message.headers.add(accountHeader, request.account.value());
    message.headers.add(idHeader, request.id.value());
    message.headers.add(termsHeader,
                        absl::StrCat(static_cast<int>(request.workClass), ",", request.isIdempotent ? 1 : 0, ",",
                                     remainingMilliseconds(request.deadline, now), ",",
                                     remainingMilliseconds(request.softDeadline, now)));
    if (request.isRepeat)
        message.headers.add(repeatHeader, "1");
    const auto maxWait = std::chrono::duration_cast<Milliseconds>(request.maxWait);
    if (maxWait.count() > 0)
        message.headers.add(waitHeader, absl::StrCat(maxWait.count()));
    return message;
}

absl::StatusOr<InboundRequest> decodeInboundRequest(HttpRequest request, MonotonicTime now)
{
    InboundRequest decoded;
    decoded.target = TargetId(takeHeader(request.headers, targetHeader));
    decoded.service = ServiceName(takeHeader(request.headers, serviceHeader));
    decoded.route = RouteName(takeHeader(request.headers, routeHeader));
    decoded.account = AccountName(takeHeader(request.headers, accountHeader));
    decoded.id = RequestId(takeHeader(request.headers, idHeader));
    const std::vector<std::int64_t> terms = takeNumbers(request.headers, termsHeader, 4);
    if (decoded.target.value().empty())
        return invalidHeader(targetHeader);
    if (decoded.service.value().empty())
        return invalidHeader(serviceHeader);
    if (terms.empty() || terms[0] < 0 || terms[0] > static_cast<int>(WorkClass::Deferrable))
        return invalidHeader(termsHeader);
    decoded.workClass = static_cast<WorkClass>(terms[0]);
    decoded.isIdempotent = terms[1] != 0;
    const auto remaining = checkedDuration(terms[2]);
    const auto softRemaining = checkedDuration(terms[3]);
    if (!remaining || !softRemaining)
        return invalidHeader(termsHeader);
    decoded.deadline = now + *remaining;
    decoded.softDeadline = now + *softRemaining;
    decoded.maxWait = takeDuration(request.headers, waitHeader);
    decoded.isRepeat = !takeHeader(request.headers, repeatHeader).empty();
    decoded.request = std::move(request);
    return decoded;
}

HttpResponse encodeInboundResult(InboundResult result)
{
    HttpResponse message = std::move(result.response);
    removeReservedHeaders(message.headers);
    if (!hasResponse(result.outcome))
        message.status = refusedStatus;
    // Proxies of the previous version ignore the cause and treat this as the target's own failure.
    const bool isCallFailure = result.outcome == ForwardOutcome::CallFailed;
    message.headers.add(outcomeHeader, forwardOutcomeName(isCallFailure ? ForwardOutcome::Failed : result.outcome));
    if (isCallFailure)
        message.headers.add(causeHeader, callCause);
    else if (result.isTargetFull)
        message.headers.add(causeHeader, fullCause);
    if (result.refusal != InboundRefusal::None)
        message.headers.add(refusalHeader, inboundRefusalName(result.refusal));
    if (result.load) {
        message.headers.add(loadHeader,
                            absl::StrCat(result.load->running, ",", result.load->waiting, ",", result.load->slots));
        const auto backlog = std::chrono::duration_cast<Milliseconds>(result.load->linkBacklog);
        if (backlog.count() > 0)
            message.headers.add(linkHeader, absl::StrCat(backlog.count()));
        const ColdReport &cold = result.load->cold;
        if (cold.remaining.count() > 0) {
            message.headers.add(coldHeader, absl::StrCat(cold.remaining.count(), ",", cold.wait.count(), ",",
                                                         cold.interval.count()));
        }
        const auto workTime = std::chrono::duration_cast<Milliseconds>(result.load->workTime);
        if (workTime.count() > 0 || result.load->workPercent > 0)
            message.headers.add(workHeader, absl::StrCat(workTime.count(), ",", result.load->workPercent));
    }
    message.headers.add(timeHeader, absl::StrCat(std::chrono::duration_cast<Milliseconds>(result.inboundTime).count()));
    if (result.retryAfter.count() > 0) {
        message.headers.add(retryHeader,
                            absl::StrCat(std::chrono::duration_cast<Milliseconds>(result.retryAfter).count()));
    }
    if (!result.detail.empty())
        message.headers.add(detailHeader, result.detail);
    return message;
}

absl::StatusOr<InboundResult> decodeInboundResult(HttpResponse response)
{
    InboundResult result;
    const auto outcome = indexOf(outcomeNames, takeHeader(response.headers, outcomeHeader));
    if (!outcome)
        return invalidHeader(outcomeHeader);
    if (!isFinalStatus(response.status))
        return makeError(ErrorKind::InvalidMessage, absl::StrCat("the status ", response.status, " is invalid"));
    result.outcome = static_cast<ForwardOutcome>(*outcome);
    const std::string cause = takeHeader(response.headers, causeHeader);
    if (result.outcome == ForwardOutcome::Failed && cause == callCause)
        result.outcome = ForwardOutcome::CallFailed;
    result.isTargetFull = cause == fullCause;
    const auto refusal = indexOf(refusalNames, takeHeader(response.headers, refusalHeader));
    result.refusal = refusal ? static_cast<InboundRefusal>(*refusal) : InboundRefusal::None;
    const std::vector<std::int64_t> load = takeNumbers(response.headers, loadHeader, 3);
    if (!load.empty()) {
        const auto running = checkedCount(load[0]);
        const auto waiting = checkedCount(load[1]);
        const auto slots = checkedCount(load[2]);
        if (running && waiting && slots)
            result.load = TargetLoad{*running, *waiting, *slots};
    }
    const Milliseconds backlog = takeDuration(response.headers, linkHeader);
    const ColdReport cold = takeColdReport(response.headers);
    const std::vector<std::int64_t> work = takeNumbers(response.headers, workHeader, 2);
    if (result.load) {
        result.load->linkBacklog = backlog;
        result.load->cold = cold;
        decodeWork(work, *result.load);
    }
    result.inboundTime = takeDuration(response.headers, timeHeader);
    result.retryAfter = takeDuration(response.headers, retryHeader);
    result.detail = takeHeader(response.headers, detailHeader);
    result.response = std::move(response);
    return result;
}

} // namespace dandeliondock
