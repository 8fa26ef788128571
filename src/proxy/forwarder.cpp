#include <dandeliondock/attempts/deadline.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/forwarder.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace dandeliondock {

namespace {

constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int firstServerError = 500;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;
constexpr Milliseconds noConfigRetry{300};
constexpr double sizeSmoothing = 0.1;

TargetFeedback signOf(const InboundResult &reply)
{
    switch (reply.outcome) {
    case ForwardOutcome::Answered:
        return TargetFeedback::Served;
    case ForwardOutcome::Refused:
        return isTargetGone(reply.refusal) ? TargetFeedback::Leaving : TargetFeedback::Refused;
    case ForwardOutcome::NotSent:
        return TargetFeedback::Unreachable;
    case ForwardOutcome::CallFailed:
        return TargetFeedback::Inconclusive;
    case ForwardOutcome::Failed:
    case ForwardOutcome::NotRun:
    case ForwardOutcome::MayHaveRun:
    case ForwardOutcome::TimedOut:
        break;
    }
    return TargetFeedback::Failed;
}

} // namespace

/// \brief One caller's request. Keeps itself alive until it is answered or its caller leaves.
class Forwarder::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Forwarder &owner, HttpRequestContextPtr exchange) : m_owner(owner), m_exchange(std::move(exchange)) {}

    void start();

private:
    [[nodiscard]] bool readRequest();
    void prepareRequest();
    void attempt();
    void sendToDoor(const InboundRequest &request);
    void received(AsyncCallResult result);
    void noteSilence();
    void concluded(InboundResult reply);
    void answer(HttpResponse response);
    void fail();
    void logAttempt(const InboundResult &reply, MonotonicTime now);
    void logEnd(int status, absl::string_view reason);
    void refuse(absl::string_view reason, Microseconds retryHint);
    void respondWith(int status, absl::string_view reason);
    void cancelled();
    [[nodiscard]] MetricsRegistry &metrics() { return *m_owner.m_parts.metrics; }

    Forwarder &m_owner;
    HttpRequestContextPtr m_exchange;
    ProxyConfigPtr m_config;
    RouteMatch m_match;
    InboundRequest m_request;
    BalancerRequest m_placement;
    std::optional<ForwardPlan> m_plan;
    std::optional<BalancerClaim> m_claim;
    std::optional<HttpResponse> m_failure; ///< a target's failure, kept while another target is tried
    InboundJobPtr m_job;
    AsyncHttpCall m_call;
    MonotonicTime m_sentAt; ///< to another proxy; the epoch while the own door has the request
    bool m_isTimedOut = false;
    bool m_isDone = false;
};

void Forwarder::Session::start()
{
    m_owner.m_counters.requests.add();
    m_config = m_owner.m_config;
    if (!m_config) {
        refuse("no_config", noConfigRetry);
        return;
    }
    if (!readRequest())
        return;
    m_exchange->onCancelled([self = shared_from_this()] { self->cancelled(); });
    attempt();
}

bool Forwarder::Session::readRequest()
{
    HttpRequest &request = m_exchange->request();
    const HeaderNames &protocol = m_owner.m_parts.protocol;
    const auto id = request.headers.first(protocol.requestId);
    if (!id || id->empty()) {
        respondWith(badRequest, "no_request_id");
        return false;
    }
    m_request.id = RequestId(std::string(*id));
    m_match = m_config->routes.match(request.headers.first("Host").value_or(""), request.target);
    if (m_match.route == nullptr) {
        respondWith(notFound, "no_route");
        return false;
    }
    const Route &route = *m_match.route;
    const MonotonicTime arrived = m_exchange->arrivedAt();
    const Deadline deadline = Deadline::fromHeader(request.headers.first(protocol.timeBudget), route.timeout, arrived);
    m_request.service = m_owner.m_weights.choose(route);
    m_request.route = route.name;
    m_request.workClass = route.workClass;
    m_request.isIdempotent = route.idempotent;
    m_request.deadline = deadline.at();
    m_request.softDeadline = route.targetLatency.count() > 0
                                     ? std::min(deadline.at(), arrived + std::max(route.targetLatency, minQueueTimeout))
                                     : m_request.deadline;
    RetryBudget &retries = m_owner.retriesOf(m_request.service).budget;
    retries.recordRequest(arrived);
    if (m_request.service != m_owner.m_parts.callerService)
        retries.recordUpstreamRetry(arrived, m_owner.m_parts.inbound->repeatedPart());
    m_plan.emplace(ForwardPolicy{route.idempotent, route.attemptLimit == 0 ? maxAttempts : route.attemptLimit,
                                 m_request.deadline},
                   retries);
    m_placement.service = m_request.service;
    m_placement.version = m_owner.chooseVersionOf(m_request.service);
    m_placement.responseSize = ByteCount(static_cast<std::uint64_t>(m_owner.m_responseSizes[route.name]));
    prepareRequest();
    return true;
}

void Forwarder::Session::prepareRequest()
{
    m_request.request = std::move(m_exchange->request());
    removeHopByHopHeaders(m_request.request.headers);
    m_request.request.headers.remove("Expect");
    m_request.request.headers.set(m_owner.m_parts.protocol.callerService, m_owner.m_parts.callerService.value());
    m_request.request.headers.remove(m_owner.m_parts.protocol.expectTarget);
}

void Forwarder::Session::attempt()
{
    const MonotonicTime now = EventLoop::now();
    m_claim = m_owner.m_placement.choose(m_placement, now);
    if (!m_claim && m_placement.version.isNew) {
        // The targets of a version that was taken back refuse before its rollout is known here to have ended.
        m_placement.version = {m_owner.versions(m_placement.service)->current, false, fullShare};
        m_claim = m_owner.m_placement.choose(m_placement, now);
    }
    if (!m_claim) {
        if (m_plan->giveUp() == ForwardStep::Refuse)
            refuse("no_target", Microseconds{0});
        else
            fail();
        return;
    }
    const Endpoint &endpoint = m_claim->target->endpoint;
    m_request.target = endpoint.target;
    m_placement.tried.push_back(endpoint.target);
    m_request.isRepeat = m_plan->hasReachedTarget();
    m_plan->begin();
    m_sentAt = MonotonicTime();
    if (endpoint.controlAddress == m_owner.m_parts.inboundAddress) {
        const auto job = m_owner.m_parts.inbound->handle(
                m_request, [self = shared_from_this()](InboundResult reply) { self->concluded(std::move(reply)); });
        if (!m_isDone && m_claim)
            m_job = job;
        return;
    }
    sendToDoor(m_request);
}

void Forwarder::Session::sendToDoor(const InboundRequest &request)
{
    m_sentAt = EventLoop::now();
    AsyncCallOptions options;
    options.deadline = request.deadline + inboundResponseGrace;
    options.maxConnectionIdle = request.isIdempotent ? reuseIdleLimit : nonIdempotentReuseIdleLimit;
    m_call = m_owner.m_parts.client->send(
            m_claim->target->endpoint.controlAddress, encodeInboundRequest(request, EventLoop::now()), options,
            [self = shared_from_this()](AsyncCallResult result) { self->received(std::move(result)); });
}

void Forwarder::Session::received(AsyncCallResult result)
{
    InboundResult reply;
    if (result.status.ok()) {
        auto decoded = decodeInboundResult(std::move(result.response));
        if (decoded.ok()) {
            const MonotonicTime now = EventLoop::now();
            m_owner.m_placement.recordRoundTrip(*m_claim, now - m_sentAt - decoded->inboundTime, now);
            concluded(*std::move(decoded));
            return;
        }
        reply.outcome = ForwardOutcome::MayHaveRun;
        reply.detail = std::string(errorDetail(decoded.status()));
    } else {
        reply.detail = std::string(errorDetail(result.status));
        noteSilence();
        if (!result.maybeSent)
            reply.outcome = ForwardOutcome::NotSent;
        else
            reply.outcome = errorKind(result.status) == ErrorKind::DeadlineExceeded ? ForwardOutcome::TimedOut
                                                                                    : ForwardOutcome::MayHaveRun;
    }
    concluded(std::move(reply));
}

// A call without a reply was at least as long on the way as it is slow for a target to answer.
void Forwarder::Session::noteSilence()
{
    const MonotonicTime now = EventLoop::now();
    if (m_claim && m_sentAt != MonotonicTime() && now - m_sentAt > congestedRoundTrip + m_match.route->targetLatency)
        m_owner.m_placement.recordRoundTrip(*m_claim, now - m_sentAt - m_match.route->targetLatency, now);
}

void Forwarder::Session::concluded(InboundResult reply)
{
    if (m_isDone)
        return;
    const MonotonicTime now = EventLoop::now();
    m_owner.m_placement.finish(*m_claim, signOf(reply), reply.load, now);
    m_claim.reset();
    m_job.reset();
    m_isTimedOut = m_isTimedOut || reply.outcome == ForwardOutcome::TimedOut;
    const ForwardStep step = m_plan->conclude(reply.outcome, now);
    if (m_plan->isBudgetSpent())
        m_owner.logSpent(m_request.service, now);
    if (!hasResponse(reply.outcome)) {
        metrics().counter("attempts_unanswered_total", forwardOutcomeName(reply.outcome)).add();
        logAttempt(reply, now);
    }
    switch (step) {
    case ForwardStep::Send:
        if (reply.outcome == ForwardOutcome::Failed)
            m_failure = std::move(reply.response);
        attempt();
        return;
    case ForwardStep::Respond:
        answer(std::move(reply.response));
        return;
    case ForwardStep::Refuse:
        refuse(reply.outcome == ForwardOutcome::Refused ? inboundRefusalName(reply.refusal)
                                                        : forwardOutcomeName(reply.outcome),
               reply.retryAfter);
        return;
    case ForwardStep::Fail:
        fail();
        return;
    }
}

void Forwarder::Session::logAttempt(const InboundResult &reply, MonotonicTime now)
{
    if (!m_owner.m_attemptLimiter.allow(now, m_owner.m_parts.log))
        return;
    LogEvent(LogLevel::Info, "request.attempt_unanswered")
            .field("request", m_request.id)
            .field("route", m_request.route)
            .field("revision", m_config->state->revision())
            .field("target", m_request.target)
            .field("outcome", forwardOutcomeName(reply.outcome))
            .field("refusal", inboundRefusalName(reply.refusal))
            .field("left_ms", std::chrono::duration_cast<Milliseconds>(m_request.deadline - now).count())
            .field("detail", reply.detail)
            .write(m_owner.m_parts.log);
}

void Forwarder::Session::logEnd(int status, absl::string_view reason)
{
    if (!m_owner.m_endLimiter.allow(EventLoop::now(), m_owner.m_parts.log))
        return;
    LogEvent event(LogLevel::Info, "request.ended");
    event.field("request", m_request.id).field("route", m_request.route).field("status", status);
    if (m_config)
        event.field("revision", m_config->state->revision());
    event.field("reason", reason).write(m_owner.m_parts.log);
}

void Forwarder::Session::answer(HttpResponse response)
{
    m_isDone = true;
    if (response.status >= firstServerError)
        m_owner.noteFailure(m_request.service);
    m_owner.noteResponseSize(m_request.route, response.body.size());
    m_owner.m_counters.latency.record(EventLoop::now() - m_exchange->arrivedAt());
    m_exchange->respond(std::move(response));
}

void Forwarder::Session::fail()
{
    if (m_failure) {
        answer(*std::move(m_failure));
        return;
    }
    const bool isLate = m_isTimedOut || EventLoop::now() >= m_request.deadline;
    respondWith(isLate ? gatewayTimeout : badGateway, isLate ? "timed_out" : "may_have_run");
}

void Forwarder::Session::refuse(absl::string_view reason, Microseconds retryHint)
{
    m_isDone = true;
    m_owner.noteFailure(m_request.service);
    const Milliseconds wait = m_owner.retryAfter(retryHint);
    metrics().counter("refusals_total", reason).add();
    logEnd(unavailable, reason);
    HttpResponse response;
    response.status = unavailable;
    response.headers.add("Retry-After", absl::StrFormat("%.3f", std::chrono::duration<double>(wait).count()));
    m_exchange->respond(std::move(response));
}

void Forwarder::Session::respondWith(int status, absl::string_view reason)
{
    m_isDone = true;
    if (status >= firstServerError)
        m_owner.noteFailure(m_request.service);
    metrics().counter("failures_total", reason).add();
    logEnd(status, reason);
    HttpResponse response;
    response.status = status;
    m_exchange->respond(std::move(response));
}

void Forwarder::Session::cancelled()
{
    if (std::exchange(m_isDone, true))
        return;
    m_owner.m_counters.callersDisconnected.add();
    if (m_job)
        m_owner.m_parts.inbound->cancel(m_job);
    m_job.reset();
    m_call.cancel();
    noteSilence();
    if (m_claim)
        m_owner.m_placement.finish(*m_claim, TargetFeedback::Inconclusive, std::nullopt, EventLoop::now());
    m_claim.reset();
}

Forwarder::Forwarder(ForwarderDependencies parts)
    : m_parts(std::move(parts)), m_counters(*m_parts.metrics), m_placement(m_parts.self, m_parts.random)
{
}

Forwarder::~Forwarder() = default;

void Forwarder::handle(const HttpRequestContextPtr &exchange)
{
    std::make_shared<Session>(*this, exchange)->start();
}

void Forwarder::setConfig(ProxyConfigPtr config)
{
    if (m_config && config->state->revision() <= m_config->state->revision())
        return;
    m_config = std::move(config);
    absl::erase_if(m_responseSizes, [this](const auto &item) { return m_config->state->route(item.first) == nullptr; });
}

void Forwarder::setVersions(const ServiceVersions &versions)
{
    m_versions[versions.service] = versions;
    m_splits.clear();
}

void Forwarder::setEndpoint(const Endpoint &endpoint)
{
    m_placement.apply(endpoint, EventLoop::now());
    m_splits.clear();
}

void Forwarder::removeEndpoint(const Address &door)
{
    m_placement.remove(door);
    m_splits.clear();
}

const ServiceVersions *Forwarder::versions(const ServiceName &service) const
{
    const auto found = m_versions.find(service);
    return found == m_versions.end() ? nullptr : &found->second;
}

const std::optional<VersionSplit> &Forwarder::splitFor(const ServiceVersions &versions)
{
    const auto [held, isNew] = m_splits.try_emplace(versions.service);
    if (isNew && versions.rollout) {
        const std::size_t targets = m_placement.servingCount(versions.service, versions.rollout->target);
        held->second = splitOf(versions, static_cast<std::uint32_t>(targets));
    }
    return held->second;
}

VersionChoice Forwarder::chooseVersionOf(const ServiceName &service)
{
    const ServiceVersions *known = versions(service);
    if (known == nullptr)
        return {};
    Service declared;
    declared.version = known->current;
    return chooseVersion(declared, splitFor(*known), uniformBelow(m_parts.random, fullShare.value()), std::nullopt);
}

void Forwarder::noteResponseSize(const RouteName &route, std::size_t bytes)
{
    double &mean = m_responseSizes.try_emplace(route, static_cast<double>(bytes)).first->second;
    mean += (static_cast<double>(bytes) - mean) * sizeSmoothing;
}

// A target does not call its own service.
void Forwarder::noteFailure(const ServiceName &service)
{
    if (service != m_parts.callerService)
        m_lastFailure = EventLoop::now();
}

Forwarder::ServiceRetries &Forwarder::retriesOf(const ServiceName &service)
{
    std::unique_ptr<ServiceRetries> &retries = m_retries[service];
    if (!retries)
        retries = std::make_unique<ServiceRetries>(m_parts.retries);
    return *retries;
}

void Forwarder::logSpent(const ServiceName &service, MonotonicTime now)
{
    ServiceRetries &retries = retriesOf(service);
    if (now - retries.loggedAt < spentLogInterval)
        return;
    retries.loggedAt = now;
    const RetryUsage usage = retries.budget.usage(now);
    LogEvent(LogLevel::Info, "retries.spent")
            .field("service", service)
            .field("requests", usage.requests)
            .field("taken", usage.taken)
            .field("inherited", usage.upstreamRetries)
            .write(m_parts.log);
}

Milliseconds Forwarder::retryAfter(Microseconds hint)
{
    const auto base = std::clamp(std::chrono::duration_cast<Milliseconds>(hint), shortestRetryAfter, longestRetryAfter);
    // Half of the time is drawn, so that callers refused together do not return together.
    return base + Milliseconds(uniformBelow(m_parts.random, static_cast<std::uint64_t>(base.count())));
}

} // namespace dandeliondock
