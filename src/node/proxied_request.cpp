#include "proxied_request.h"

#include <dandeliondock/attempts/connection_reuse.h>
#include <dandeliondock/core/error.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace dandeliondock::impl {

namespace {

constexpr absl::string_view outcomeHeader = "X-Dandeliondock-Outcome";
constexpr absl::string_view loadHeader = "X-Load";
// A response up to this size is received completely before it is forwarded, so that a truncated one becomes an error.
constexpr ByteCount maxBufferedResponse{std::uint64_t{64} * 1024};
constexpr Milliseconds connectTimeout{250};
// A streamed body is aborted when no data arrives for this time.
constexpr Milliseconds bodyIdleTimeout{10'000};
// A request up to this size fits into the socket's send buffer, so that a hedge is sent without waiting.
constexpr std::size_t maxHedgedBodyBytes = std::size_t{16} * 1024;

absl::string_view verdictName(ExecutionState verdict)
{
    return verdict == ExecutionState::MayHaveRun ? "may-have-run" : "not-run";
}

int refusalStatus(ExecutionState verdict, ErrorKind kind)
{
    if (kind == ErrorKind::DeadlineExceeded)
        return 504;
    if (verdict == ExecutionState::MayHaveRun)
        return 502;
    return kind == ErrorKind::NotFound ? 404 : 503;
}

std::optional<Share> loadOf(const HttpHeaders &headers)
{
    const std::optional<absl::string_view> text = headers.first(loadHeader);
    std::uint32_t dependencies = 0;
    if (!text || !absl::SimpleAtoi(*text, &dependencies))
        return std::nullopt;
    return Share(std::min(dependencies, fullShare.value()));
}

absl::string_view pathOf(absl::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool isBodiless(const HttpRequest &request, int status)
{
    return request.method == "HEAD" || status == 204 || status == 304;
}

} // namespace

ProxiedRequest::ProxiedRequest(std::shared_ptr<const IngressDependencies> dependencies, HttpRequest request,
                               CallerConnection caller)
    : m_dependencies(std::move(dependencies)), m_request(std::move(request)), m_caller(caller), m_startedAt(now())
{
}

ProxiedRequest::~ProxiedRequest()
{
    // An attempt is still open here when the caller disconnected during a streamed response.
    for (Attempt &attempt : m_attempts) {
        if (!attempt.concluded)
            report(attempt, AttemptResult::Cancelled);
    }
}

StreamableResponse ProxiedRequest::run()
{
    m_dependencies->requestMetrics->requests.add();
    const std::string host(m_request.headers.first("Host").value_or(""));
    absl::StatusOr<RouteMatch> match = m_dependencies->routing.match(host, pathOf(m_request.target));
    if (!match.ok())
        return refuse(ExecutionState::NotSent, match.status());
    m_match = *std::move(match);
    const std::optional<absl::string_view> header = m_request.headers.first(deadlineHeader);
    m_callerSetDeadline = header.has_value();
    m_deadline = Deadline::fromHeader(header, m_match.route->timeout, m_startedAt);
    if (m_deadline->at() > m_dependencies->drainEnd->load())
        return refuse(ExecutionState::NotSent,
                      makeError(ErrorKind::Closed, "this node stops before the deadline of the request"));
    removeHopByHopHeaders(m_request.headers);
    return runAttempts();
}

StreamableResponse ProxiedRequest::runAttempts()
{
    const bool idempotent = m_match.route->idempotent;
    std::optional<Microseconds> hedgeDelay;
    if (idempotent && m_request.body.size() <= maxHedgedBodyBytes)
        hedgeDelay = m_dependencies->hedgeDelays->delay(m_match.route->name);
    m_plan.emplace(idempotent, *m_deadline, hedgeDelay, *m_dependencies->budget);
    AttemptAction action = m_plan->start(now());
    while (action.step == AttemptStep::Send || action.step == AttemptStep::Wait)
        action = action.step == AttemptStep::Send ? send() : waitForAttempt();
    if (action.step == AttemptStep::Respond)
        return respond(action.attempt);
    return refuse(action.verdict, refusalReason());
}

AttemptAction ProxiedRequest::send()
{
    SelectionRequest selection{m_match, {}, std::nullopt, m_deadline->at()};
    for (const Attempt &attempt : m_attempts) {
        selection.tried.push_back(attempt.session->endpoint().target);
        selection.pinnedNewVersion = attempt.session->isNewVersion();
    }
    absl::StatusOr<std::shared_ptr<TargetSession>> session = m_dependencies->routing.select(selection);
    if (!session.ok()) {
        m_lastFailure = session.status();
        return m_plan->recordNoTarget();
    }
    if (!m_attempts.empty())
        countExtraAttempt();
    const Endpoint &endpoint = (*session)->endpoint();
    SendOptions options;
    options.connectTimeout = connectTimeout;
    options.connectionLimit = (*session)->connections();
    options.maxConnectionIdle = allowedConnectionIdle(m_match.route->idempotent);
    m_plan->startAttempt(now());
    m_attempts.push_back({*session, nullptr, now(), false});
    m_attempts.back().call =
            m_dependencies->client->start(endpoint.address, targetRequest(), options, maxBufferedResponse);
    return {};
}

void ProxiedRequest::countExtraAttempt()
{
    const absl::string_view reason = m_lastFailure.ok() ? "hedge" : errorKindName(errorKind(m_lastFailure));
    m_dependencies->metrics->counter("ingress_extra_attempts_total", reason).add();
}

HttpRequest ProxiedRequest::targetRequest() const
{
    HttpRequest copy = m_request;
    copy.headers.set(deadlineHeader, absl::StrCat(m_deadline->headerValue(now()).count()));
    return copy;
}

std::optional<std::size_t> ProxiedRequest::finishedAttempt() const
{
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
        if (!m_attempts[i].concluded && m_attempts[i].call->isResponseReady())
            return i;
    }
    return std::nullopt;
}

AttemptAction ProxiedRequest::waitForAttempt()
{
    if (const std::optional<std::size_t> finishedIndex = finishedAttempt())
        return conclude(*finishedIndex);
    std::vector<HttpCall *> calls;
    for (const Attempt &attempt : m_attempts) {
        if (!attempt.concluded)
            calls.push_back(attempt.call.get());
    }
    const Microseconds limit = std::max(Microseconds(0), m_plan->nextTick() - now());
    const CallWaitResult reason = HttpCall::wait(calls, m_caller, limit);
    if (reason == CallWaitResult::CallerDisconnected) {
        m_lastFailure = makeError(ErrorKind::Closed, "the caller went away");
        endOpenAttempts(AttemptResult::Cancelled);
        return {AttemptStep::Refuse, 0, m_plan->verdict()};
    }
    markSentAttempts();
    if (finishedAttempt())
        return {};
    const AttemptAction action = m_plan->tick(now());
    if (action.step == AttemptStep::Refuse) {
        if (const std::optional<std::size_t> streamable = streamableAttempt())
            return m_plan->conclude(*streamable, AttemptResult::Responded, now());
        endOpenAttempts(AttemptResult::TimedOut);
        return {AttemptStep::Refuse, 0, m_plan->verdict()};
    }
    return action;
}

void ProxiedRequest::markSentAttempts()
{
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
        if (!m_attempts[i].concluded && m_attempts[i].call->isSendStarted())
            m_plan->markSent(i);
    }
}

// Returns the index of an attempt whose response headers arrived in time and give no length; its body is streamed to
// the caller.
std::optional<std::size_t> ProxiedRequest::streamableAttempt() const
{
    if (m_callerSetDeadline)
        return std::nullopt;
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
        const Attempt &attempt = m_attempts[i];
        if (!attempt.concluded && attempt.call->hasResponseHeaders() && !attempt.call->contentLength())
            return i;
    }
    return std::nullopt;
}

AttemptResult ProxiedRequest::resultOf(const HttpCall &call) const
{
    if (!call.status().ok())
        return call.isSendStarted() ? AttemptResult::MayHaveRun : AttemptResult::NotSent;
    return AttemptResult::Responded;
}

AttemptAction ProxiedRequest::conclude(std::size_t index)
{
    Attempt &attempt = m_attempts[index];
    AttemptResult result = resultOf(*attempt.call);
    const std::uint32_t shedStatus = m_match.service->shedStatus;
    if (result != AttemptResult::Responded)
        m_lastFailure = attempt.call->status();
    else if (shedStatus != 0 && attempt.call->response().status == static_cast<int>(shedStatus)) {
        result = AttemptResult::Shed;
        m_lastFailure = makeError(ErrorKind::Overloaded,
                                  absl::StrCat(attempt.session->endpoint().target.value(), " shed the request"));
    }
    const AttemptAction action = m_plan->conclude(index, result, now());
    if (errorKind(attempt.call->status()) == ErrorKind::ConnectionLimit)
        abandon(attempt);
    else if (result != AttemptResult::Responded)
        report(attempt, result);
    return action;
}

AttemptOutcome ProxiedRequest::outcomeOf(const Attempt &attempt, AttemptResult result) const
{
    AttemptOutcome outcome;
    outcome.result = result;
    outcome.latency = now() - attempt.startedAt;
    if (!attempt.call->hasResponseHeaders())
        return outcome;
    const HttpResponse &response = attempt.call->response();
    outcome.status = response.status;
    outcome.reportedLoad = loadOf(response.headers);
    const std::string &drainHeader = m_match.service->drainHeader;
    outcome.draining = !drainHeader.empty() && response.headers.first(drainHeader).has_value();
    return outcome;
}

void ProxiedRequest::report(Attempt &attempt, AttemptResult result)
{
    attempt.concluded = true;
    const AttemptOutcome outcome = outcomeOf(attempt, result);
    attempt.session->finish(outcome);
    const Endpoint &endpoint = attempt.session->endpoint();
    m_dependencies->attemptReports->push({m_match.route->name, m_match.service->name, endpoint.target, endpoint.version,
                                          attempt.session->isNewVersion(), outcome, attempt.session->servingSince()});
}

// Used when the connection limit prevented the call, which says nothing about the target's health.
void ProxiedRequest::abandon(Attempt &attempt)
{
    attempt.concluded = true;
    attempt.session->abandon();
}

void ProxiedRequest::endOpenAttempts(AttemptResult result)
{
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
        Attempt &attempt = m_attempts[i];
        if (attempt.concluded)
            continue;
        const AttemptResult actualResult = attempt.call->isSendStarted() ? result : AttemptResult::NotSent;
        static_cast<void>(m_plan->conclude(i, actualResult, m_deadline->at()));
        report(attempt, actualResult);
        attempt.call.reset();
    }
}

StreamableResponse ProxiedRequest::respond(std::size_t index)
{
    Attempt &attempt = m_attempts[index];
    const Microseconds latency = now() - attempt.startedAt;
    attempt.concluded = true;
    endOpenAttempts(AttemptResult::Cancelled);
    m_dependencies->hedgeDelays->record(m_match.route->name, latency);
    m_dependencies->requestMetrics->targetLatency.record(latency);
    m_dependencies->requestMetrics->requestLatency.record(now() - m_startedAt);
    HttpResponse &response = attempt.call->response();
    removeHopByHopHeaders(response.headers);
    // Only this node states whether the request was executed; such a header of the target concerns another request.
    response.headers.remove(outcomeHeader);
    const bool bodiless = isBodiless(m_request, response.status);
    if (!attempt.call->isFinished() || (bodiless && attempt.call->contentLength()))
        return streamResponse(index);
    report(attempt, AttemptResult::Responded);
    return {std::move(response), {}, {}};
}

StreamableResponse ProxiedRequest::streamResponse(std::size_t index)
{
    HttpCall &call = *m_attempts[index].call;
    StreamableResponse streamed;
    streamed.response.status = call.response().status;
    streamed.response.headers = call.response().headers;
    streamed.length = call.contentLength();
    streamed.source = [self = shared_from_this(), index](char *buffer, std::size_t size) {
        return self->readBody(index, buffer, size);
    };
    if (call.isFinished())
        report(m_attempts[index], AttemptResult::Responded);
    else
        m_attempts[index].concluded = false;
    return streamed;
}

absl::StatusOr<std::size_t> ProxiedRequest::readBody(std::size_t index, char *buffer, std::size_t size)
{
    Attempt &attempt = m_attempts[index];
    // The route's timeout covers a streamed response only up to its headers; a deadline set by the caller also covers
    // the body.
    if (m_callerSetDeadline && m_deadline->hasPassed(now())) {
        report(attempt, AttemptResult::TimedOut);
        return makeError(ErrorKind::DeadlineExceeded, "the caller's deadline passed within the body");
    }
    absl::StatusOr<std::size_t> bytesRead = attempt.call->read(buffer, size, bodyIdleTimeout);
    if (!bytesRead.ok()) {
        m_dependencies->metrics->counter("ingress_cut_bodies_total").add();
        LogEvent(LogLevel::Warn, "ingress.body_cut")
                .field("route", m_match.route->name)
                .error(bytesRead.status())
                .write(m_dependencies->log);
        report(attempt, AttemptResult::MayHaveRun);
    } else if (attempt.call->isFinished() && !attempt.concluded) {
        report(attempt, AttemptResult::Responded);
    }
    return bytesRead;
}

absl::Status ProxiedRequest::refusalReason() const
{
    if (m_deadline->hasPassed(now()) && errorKind(m_lastFailure) != ErrorKind::Closed)
        return makeError(ErrorKind::DeadlineExceeded, "no answer within the request's deadline");
    return m_lastFailure.ok() ? makeError(ErrorKind::Internal, "the request ended without a reason") : m_lastFailure;
}

StreamableResponse ProxiedRequest::refuse(ExecutionState verdict, const absl::Status &reason)
{
    const ErrorKind kind = errorKind(reason);
    m_dependencies->metrics->counter("ingress_refusals_total", errorKindName(kind)).add();
    m_dependencies->metrics->counter("ingress_verdicts_total", verdictName(verdict)).add();
    LogEvent(LogLevel::Debug, "ingress.refused")
            .field("verdict", verdictName(verdict))
            .error(reason)
            .write(m_dependencies->log);
    StreamableResponse refusal;
    refusal.response.status = refusalStatus(verdict, kind);
    refusal.response.headers.add(outcomeHeader, verdictName(verdict));
    refusal.response.headers.add("Content-Type", "text/plain");
    refusal.response.body = absl::StrCat(errorKindName(kind), ": ", reason.message(), "\n");
    return refusal;
}

} // namespace dandeliondock::impl
