#include <dandeliondock/attempts/deadline.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/forwarder.h>
#include <dandeliondock/proxy/origin_form.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace dandeliondock {

namespace {

constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int notFound = 404;
constexpr int firstRedirection = 300;
constexpr int firstServerError = 500;
constexpr int badGateway = 502;
constexpr int tooManyRequests = 429;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;
constexpr Milliseconds noConfigRetryDelay{300};
// The table is polled again within about half a second when a read of it has failed.
constexpr Milliseconds unconfirmedRetryDelay{400};

TargetFeedback feedbackFor(const InboundResult &result)
{
    if (result.isTargetFull)
        return TargetFeedback::Full;
    switch (result.outcome) {
    case ForwardOutcome::Responded:
        return TargetFeedback::Served;
    case ForwardOutcome::Refused:
        if (result.refusal == InboundRefusal::Evacuated)
            return TargetFeedback::Evacuated;
        return isTargetGone(result.refusal) ? TargetFeedback::Leaving : TargetFeedback::Refused;
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

RegionRules regionRulesOf(const ProxyConfig &config)
{
    RegionRules rules;
    for (const auto &[key, stamped] : config.state->resources()) {
        if (stamped.resource && std::holds_alternative<Route>(*stamped.resource))
            rules.add(std::get<Route>(*stamped.resource));
    }
    for (const ClientAccount &account : config.accounts.accounts())
        rules.add(account);
    return rules;
}

bool isRefusedForLoad(InboundRefusal refusal)
{
    return refusal == InboundRefusal::Busy || refusal == InboundRefusal::Late || refusal == InboundRefusal::Displaced
           || refusal == InboundRefusal::LinkFull;
}

bool isClientError(int status)
{
    return status >= firstRedirection && status < firstServerError;
}

} // namespace

/// \brief One caller's request; keeps itself alive until the response is sent or the caller disconnects.
class Forwarder::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Forwarder &owner, HttpRequestContextPtr context) : m_owner(owner), m_context(std::move(context)) {}

    void start();

private:
    [[nodiscard]] bool readRequest();
    /// Whether the quota of the account admits the request; responds to it if not.
    [[nodiscard]] bool admitUnderQuota();
    void refundQuota();
    void prepareRequest();
    [[nodiscard]] std::optional<Microseconds> withheldFor(MonotonicTime now);
    void attempt();
    void sendToPeer(const InboundRequest &request);
    void handleResponse(AsyncCallResult callResult);
    void recordMissingResponse();
    void handleResult(InboundResult result);
    [[nodiscard]] bool keepFailure(HttpResponse &response);
    void respond(HttpResponse response);
    void fail();
    void logAttempt(const InboundResult &result, MonotonicTime now);
    void recordEnd(int status, absl::string_view reason);
    void refuse(absl::string_view reason, Microseconds retryHint);
    void rejectKey();
    /// Refuses a request that the configuration in force does not allow, finally if that is certainly the current one.
    void refuseByConfig(int status, absl::string_view reason);
    void respondWithStatus(int status, absl::string_view reason);
    void handleCancellation();
    [[nodiscard]] MetricsRegistry &metrics() { return *m_owner.m_dependencies.metrics; }

    Forwarder &m_owner;
    HttpRequestContextPtr m_context;
    ProxyConfigPtr m_config;
    RouteMatch m_match;
    Authentication m_authentication;
    InboundRequest m_request;
    BalancerRequest m_balancerRequest;
    std::optional<ForwardPlan> m_plan;
    std::optional<BalancerClaim> m_claim;
    std::optional<HttpResponse> m_targetFailure; ///< failure response of a target, kept while another target is tried
    std::shared_ptr<const void> m_failureCharge; ///< of m_targetFailure
    InboundJobPtr m_job;
    AsyncHttpCall m_call;
    std::optional<MonotonicTime> m_quotaAdmittedAt; ///< when the quota admitted the request, until it is refunded
    MonotonicTime m_sentAt; ///< when the attempt was sent to another proxy; epoch for attempts on the local target
    bool m_isTimedOut = false;
    bool m_isDone = false;
};

void Forwarder::Session::start()
{
    m_owner.m_counters.requests.add();
    m_config = m_owner.m_config;
    if (!m_config) {
        refuse("no_config", noConfigRetryDelay);
        return;
    }
    if (!readRequest())
        return;
    m_context->onCancelled([self = shared_from_this()] { self->handleCancellation(); });
    attempt();
}

bool Forwarder::Session::readRequest()
{
    HttpRequest &request = m_context->request();
    const HeaderNames &headerNames = m_owner.m_dependencies.headerNames;
    const auto id = request.headers.first(headerNames.requestId);
    if (!id || id->empty()) {
        respondWithStatus(badRequest, "no_request_id");
        return false;
    }
    m_request.id = RequestId(std::string(*id));
    useOriginForm(request);
    m_match = m_config->routes.match(request.headers.first("Host").value_or(""), request.target);
    if (m_match.route == nullptr) {
        refuseByConfig(notFound, "no_route");
        return false;
    }
    const Route &route = *m_match.route;
    m_request.route = route.name;
    m_authentication = m_owner.m_keyCheck.check(*m_config, route, request.headers);
    if (!m_authentication.isAdmitted()) {
        rejectKey();
        return false;
    }
    const MonotonicTime arrived = m_context->arrivedAt();
    const Deadline deadline =
            Deadline::fromHeader(request.headers.first(headerNames.timeBudget), route.timeout, arrived);
    m_request.service = m_owner.m_weightedChoice.choose(route);
    m_request.workClass = route.workClass;
    if (const ClientAccount *account = m_authentication.account) {
        m_request.account = account->name;
        m_request.workClass = account->workClass.value_or(route.workClass);
    }
    m_request.isIdempotent = route.idempotent;
    m_request.deadline = deadline.at();
    m_request.softDeadline = route.targetLatency.count() > 0
                                     ? std::min(deadline.at(), arrived + std::max(route.targetLatency, minQueueTimeout))
                                     : m_request.deadline;
    if (m_owner.m_endsAt && m_request.deadline > *m_owner.m_endsAt) {
        refuse("stopping", Microseconds{0});
        return false;
    }
    if (!admitUnderQuota())
        return false;
    RetryBudget &retries = m_owner.retriesFor(m_request.service).budget;
    retries.recordRequest(arrived);
    if (m_request.service != m_owner.m_dependencies.callerService)
        retries.recordUpstreamRetry(arrived, m_owner.m_dependencies.inbound->repeatShare());
    m_plan.emplace(ForwardPolicy{route.idempotent, route.attemptLimit == 0 ? maxAttempts : route.attemptLimit,
                                 m_request.deadline},
                   retries);
    m_balancerRequest.service = m_request.service;
    m_balancerRequest.version = m_owner.chooseVersionFor(m_request.service);
    m_balancerRequest.responseSize = m_owner.m_responseSizes.mean(route.name);
    m_balancerRequest.route = route.name;
    prepareRequest();
    return true;
}

bool Forwarder::Session::admitUnderQuota()
{
    if (m_request.account.value().empty() || !m_owner.m_dependencies.admitRequest)
        return true;
    const MonotonicTime now = EventLoop::now();
    const QuotaDecision decision = m_owner.m_dependencies.admitRequest(m_request.account, now);
    if (decision.isAdmitted) {
        m_quotaAdmittedAt = now;
        return true;
    }
    m_isDone = true;
    metrics().counter("refusals_total", "over_quota").add();
    recordEnd(tooManyRequests, "over_quota");
    HttpResponse response;
    response.status = tooManyRequests;
    response.headers.add("Retry-After",
                         absl::StrFormat("%.3f", std::chrono::duration<double>(decision.retryAfter).count()));
    m_context->respond(std::move(response));
    return false;
}

void Forwarder::Session::refundQuota()
{
    if (!m_quotaAdmittedAt || !m_owner.m_dependencies.requestDidNotRun)
        return;
    metrics().counter("quota_refunds_total").add();
    m_owner.m_dependencies.requestDidNotRun(m_request.account, *std::exchange(m_quotaAdmittedAt, std::nullopt));
}

void Forwarder::Session::prepareRequest()
{
    m_request.request = std::move(m_context->request());
    removeHopByHopHeaders(m_request.request.headers);
    m_request.request.headers.remove("Expect");
    m_request.request.headers.set(m_owner.m_dependencies.headerNames.callerService,
                                  m_owner.m_dependencies.callerService.value());
    m_request.request.headers.remove(m_owner.m_dependencies.headerNames.expectTarget);
    m_owner.m_keyCheck.rewriteHeaders(m_authentication, m_request.request.headers);
}

// Only further attempts are withheld: the first one tells whether there is room. A request that reached a target is not
// refused here, because its work there would be lost.
std::optional<Microseconds> Forwarder::Session::withheldFor(MonotonicTime now)
{
    if (m_balancerRequest.tried.empty() || m_plan->hasReachedTarget() || m_plan->giveUp() != ForwardStep::Refuse)
        return std::nullopt;
    const double random =
            static_cast<double>(uniformBelow(m_owner.m_dependencies.random, fullShare.value())) / fullShare.value();
    return m_owner.m_attemptGate.withhold(m_request.route, m_request.workClass, random, now);
}

void Forwarder::Session::attempt()
{
    const MonotonicTime now = EventLoop::now();
    // A configuration that arrived since the first attempt can restrict the regions further.
    m_balancerRequest.allowedRegions.restrictTo(m_owner.m_regionRules.allowedFor(m_request.route, m_request.account));
    if (const auto wait = withheldFor(now)) {
        refuse("withheld", *wait);
        return;
    }
    m_balancerRequest.timeLeft = m_request.softDeadline - now;
    m_claim = m_owner.m_balancer.choose(m_balancerRequest, now);
    if (!m_claim && m_balancerRequest.version.isNew) {
        // After a rollback the targets of the new version refuse requests, possibly before this proxy learns of it.
        m_balancerRequest.version = {m_owner.versions(m_balancerRequest.service)->current, false, fullShare};
        m_claim = m_owner.m_balancer.choose(m_balancerRequest, now);
    }
    if (!m_claim) {
        if (m_plan->giveUp() == ForwardStep::Refuse)
            refuse(m_balancerRequest.allowedRegions.isRestricted() ? "no_allowed_target" : "no_target",
                   m_owner.m_balancer.timeToColdTarget(m_balancerRequest, now));
        else
            fail();
        return;
    }
    const Endpoint &endpoint = m_claim->target->endpoint;
    m_request.target = endpoint.target;
    m_balancerRequest.tried.push_back(endpoint.target);
    m_request.isRepeat = m_plan->hasReachedTarget();
    const bool isFirst = m_balancerRequest.tried.size() == 1; // further attempts wait, or requests would move for ever
    m_request.maxWait = isFirst && m_owner.m_balancer.hasRoomElsewhere(m_balancerRequest, *m_claim, now)
                                ? m_match.route->targetLatency / maxWaitDivisor
                                : Milliseconds{0};
    m_plan->startAttempt();
    m_sentAt = MonotonicTime();
    if (endpoint.controlAddress == m_owner.m_dependencies.inboundAddress) {
        const auto job =
                m_owner.m_dependencies.inbound->handle(m_request, [self = shared_from_this()](InboundResult result) {
                    self->handleResult(std::move(result));
                });
        if (!m_isDone && m_claim)
            m_job = job;
        return;
    }
    sendToPeer(m_request);
}

void Forwarder::Session::sendToPeer(const InboundRequest &request)
{
    m_sentAt = EventLoop::now();
    AsyncCallOptions options;
    options.deadline = request.deadline + inboundResponseGrace;
    options.maxConnectionIdle = request.isIdempotent ? reuseIdleLimit : nonIdempotentReuseIdleLimit;
    m_call = m_owner.m_dependencies.client->send(
            m_claim->target->endpoint.controlAddress, encodeInboundRequest(request, EventLoop::now()), options,
            [self = shared_from_this()](AsyncCallResult callResult) { self->handleResponse(std::move(callResult)); });
}

void Forwarder::Session::handleResponse(AsyncCallResult callResult)
{
    InboundResult result;
    if (callResult.status.ok()) {
        auto decoded = decodeInboundResult(std::move(callResult.response));
        if (decoded.ok()) {
            const MonotonicTime now = EventLoop::now();
            m_owner.m_balancer.recordRoundTrip(*m_claim, now - m_sentAt - decoded->inboundTime, now);
            handleResult(*std::move(decoded));
            return;
        }
        result.outcome = ForwardOutcome::MayHaveRun;
        result.detail = std::string(errorDetail(decoded.status()));
    } else {
        result.detail = std::string(errorDetail(callResult.status));
        recordMissingResponse();
        if (!callResult.maybeSent)
            result.outcome = ForwardOutcome::NotSent;
        else
            result.outcome = errorKind(callResult.status) == ErrorKind::DeadlineExceeded ? ForwardOutcome::TimedOut
                                                                                         : ForwardOutcome::MayHaveRun;
    }
    handleResult(std::move(result));
}

// Without a response only a lower bound of the round trip is known: the time since sending minus the target latency of
// the route, which is the processing time assumed for a slow target.
void Forwarder::Session::recordMissingResponse()
{
    const MonotonicTime now = EventLoop::now();
    if (m_claim && m_sentAt != MonotonicTime() && now - m_sentAt > congestedRoundTrip + m_match.route->targetLatency)
        m_owner.m_balancer.recordRoundTrip(*m_claim, now - m_sentAt - m_match.route->targetLatency, now);
}

void Forwarder::Session::handleResult(InboundResult result)
{
    if (m_isDone)
        return;
    const MonotonicTime now = EventLoop::now();
    m_owner.m_balancer.finish(*m_claim, feedbackFor(result), result.load, now);
    m_owner.recordAdmission(m_request.route, result, now);
    m_claim.reset();
    m_job.reset();
    m_isTimedOut = m_isTimedOut || result.outcome == ForwardOutcome::TimedOut;
    const ForwardStep step = m_plan->conclude(result.outcome, now);
    if (m_plan->isBudgetSpent())
        m_owner.logBudgetSpent(m_request.service, now);
    if (!hasResponse(result.outcome)) {
        metrics().counter("attempts_unanswered_total", forwardOutcomeName(result.outcome)).add();
        logAttempt(result, now);
    }
    switch (step) {
    case ForwardStep::Send:
        if (result.outcome == ForwardOutcome::Failed && !keepFailure(result.response))
            respond(std::move(result.response));
        else
            attempt();
        return;
    case ForwardStep::Respond:
        respond(std::move(result.response));
        return;
    case ForwardStep::Refuse:
        refuse(result.outcome == ForwardOutcome::Refused ? inboundRefusalName(result.refusal)
                                                         : forwardOutcomeName(result.outcome),
               result.retryAfter);
        return;
    case ForwardStep::Fail:
        fail();
        return;
    }
}

// Moves the response if there is memory to keep it. Otherwise the caller gets it instead of another attempt.
bool Forwarder::Session::keepFailure(HttpResponse &response)
{
    m_targetFailure.reset();
    m_failureCharge.reset();
    if (m_owner.m_dependencies.keepResponse) {
        m_failureCharge = m_owner.m_dependencies.keepResponse(
                ByteCount(response.body.size() + response.headers.memory().value()));
        if (!m_failureCharge)
            return false;
    }
    m_targetFailure = std::move(response);
    return true;
}

void Forwarder::Session::logAttempt(const InboundResult &result, MonotonicTime now)
{
    if (!m_owner.m_attemptLogLimiter.allow(now, m_owner.m_dependencies.log))
        return;
    LogEvent(LogLevel::Info, "request.attempt_unanswered")
            .field("request", m_request.id)
            .field("route", m_request.route)
            .field("revision", m_config->state->revision())
            .field("target", m_request.target)
            .field("outcome", forwardOutcomeName(result.outcome))
            .field("refusal", inboundRefusalName(result.refusal))
            .field("left_ms", std::chrono::duration_cast<Milliseconds>(m_request.deadline - now).count())
            .field("detail", result.detail)
            .write(m_owner.m_dependencies.log);
}

void Forwarder::Session::recordEnd(int status, absl::string_view reason)
{
    if (isClientError(status) && m_config)
        m_owner.m_clientErrors.add(reason, status, m_config->state->revision());
    if (!m_owner.m_endLogLimiter.allow(EventLoop::now(), m_owner.m_dependencies.log))
        return;
    LogEvent event(LogLevel::Info, "request.ended");
    event.field("request", m_request.id).field("route", m_request.route).field("status", status);
    if (m_config)
        event.field("revision", m_config->state->revision());
    const auto confirmedAt = m_owner.m_refusalLease.confirmedAt();
    if (isClientError(status) && confirmedAt)
        event.field("confirmed_age_ms",
                    std::chrono::duration_cast<Milliseconds>(BootClock::now() - *confirmedAt).count());
    event.field("reason", reason).write(m_owner.m_dependencies.log);
}

void Forwarder::Session::respond(HttpResponse response)
{
    m_isDone = true;
    if (response.status >= firstServerError)
        m_owner.recordFailure(m_request.service);
    m_owner.m_responseSizes.record(m_request.route, response.body.size());
    m_owner.m_counters.latency.record(EventLoop::now() - m_context->arrivedAt());
    m_context->respond(std::move(response));
}

void Forwarder::Session::fail()
{
    if (m_targetFailure) {
        respond(*std::move(m_targetFailure));
        return;
    }
    const bool isLate = m_isTimedOut || EventLoop::now() >= m_request.deadline;
    respondWithStatus(isLate ? gatewayTimeout : badGateway, isLate ? "timed_out" : "may_have_run");
}

void Forwarder::Session::refuse(absl::string_view reason, Microseconds retryHint)
{
    m_isDone = true;
    refundQuota();
    m_owner.recordFailure(m_request.service);
    const Milliseconds wait = m_owner.retryAfter(retryHint);
    metrics().counter("refusals_total", reason).add();
    recordEnd(unavailable, reason);
    HttpResponse response;
    response.status = unavailable;
    response.headers.add("Retry-After", absl::StrFormat("%.3f", std::chrono::duration<double>(wait).count()));
    m_context->respond(std::move(response));
}

void Forwarder::Session::rejectKey()
{
    const char *reason = keyVerdictName(m_authentication.verdict);
    if (m_authentication.verdict == KeyVerdict::Unconfirmed)
        refuse(reason, unconfirmedRetryDelay);
    else
        refuseByConfig(unauthorized, reason);
}

void Forwarder::Session::refuseByConfig(int status, absl::string_view reason)
{
    if (m_owner.mayRefuseFinally())
        respondWithStatus(status, reason);
    else
        refuse("config_unconfirmed", unconfirmedRetryDelay);
}

void Forwarder::Session::respondWithStatus(int status, absl::string_view reason)
{
    m_isDone = true;
    if (status >= firstServerError)
        m_owner.recordFailure(m_request.service);
    metrics().counter("failures_total", reason).add();
    recordEnd(status, reason);
    HttpResponse response;
    response.status = status;
    if (status == unauthorized)
        response.headers.add("WWW-Authenticate", "Bearer");
    m_context->respond(std::move(response));
}

void Forwarder::Session::handleCancellation()
{
    if (std::exchange(m_isDone, true))
        return;
    m_owner.m_counters.callersDisconnected.add();
    if (m_job)
        m_owner.m_dependencies.inbound->cancel(m_job);
    m_job.reset();
    m_call.cancel();
    recordMissingResponse();
    if (m_claim)
        m_owner.m_balancer.finish(*m_claim, TargetFeedback::Inconclusive, std::nullopt, EventLoop::now());
    m_claim.reset();
}

Forwarder::Forwarder(ForwarderDependencies dependencies)
    : m_dependencies(std::move(dependencies)), m_counters(*m_dependencies.metrics), m_keyCheck(keyCheckDependencies()),
      m_refusalLease(m_dependencies.configApplyBound), m_balancer(m_dependencies.self, m_dependencies.random)
{
}

Forwarder::~Forwarder() = default;

void Forwarder::handle(const HttpRequestContextPtr &context)
{
    std::make_shared<Session>(*this, context)->start();
}

void Forwarder::setConfig(ProxyConfigPtr config)
{
    if (m_config && config->state->revision() <= m_config->state->revision())
        return;
    m_config = std::move(config);
    m_regionRules = regionRulesOf(*m_config);
    m_responseSizes.retain([this](const RouteName &route) { return m_config->state->route(route) != nullptr; });
}

KeyCheckDependencies Forwarder::keyCheckDependencies() const
{
    KeyCheckDependencies dependencies;
    dependencies.metrics = m_dependencies.metrics;
    dependencies.log = m_dependencies.log;
    dependencies.headerNames = m_dependencies.headerNames;
    dependencies.withdrawalBound = m_dependencies.keyWithdrawalBound;
    return dependencies;
}

void Forwarder::confirmConfig(const ConfigConfirmed &confirmed)
{
    if (!m_config || m_config->state->revision() < confirmed.revision)
        return;
    m_keyCheck.confirm(confirmed, *m_config);
    if (confirmed.isComplete)
        m_refusalLease.confirm(confirmed.at, BootClock::now());
}

bool Forwarder::mayRefuseFinally() const
{
    return m_refusalLease.isHeld(BootClock::now());
}

void Forwarder::setEvacuated(std::set<DataCentreName> dataCentres)
{
    m_balancer.setEvacuated(std::move(dataCentres), EventLoop::now());
}

bool Forwarder::isRegionAllowed(const InboundRequest &request) const
{
    return m_regionRules.allowedFor(request.route, request.account).allows(m_dependencies.self.region);
}

void Forwarder::setVersions(const ServiceVersions &versions)
{
    m_versions[versions.service] = versions;
    m_splits.clear();
}

void Forwarder::setEndpoint(const Endpoint &endpoint)
{
    m_balancer.apply(endpoint, EventLoop::now());
    m_splits.clear();
}

void Forwarder::removeEndpoint(const Address &inboundAddress)
{
    m_balancer.remove(inboundAddress);
    m_splits.clear();
}

const ServiceVersions *Forwarder::versions(const ServiceName &service) const
{
    const auto found = m_versions.find(service);
    return found == m_versions.end() ? nullptr : &found->second;
}

const std::optional<VersionSplit> &Forwarder::splitFor(const ServiceVersions &versions)
{
    const auto [cached, isNew] = m_splits.try_emplace(versions.service);
    if (isNew && versions.rollout) {
        const std::size_t targets = m_balancer.servingCount(versions.service, versions.rollout->target);
        cached->second = versionSplit(versions, static_cast<std::uint32_t>(targets));
    }
    return cached->second;
}

VersionChoice Forwarder::chooseVersionFor(const ServiceName &service)
{
    const ServiceVersions *known = versions(service);
    if (known == nullptr)
        return {};
    Service declared;
    declared.version = known->current;
    return chooseVersion(declared, splitFor(*known), uniformBelow(m_dependencies.random, fullShare.value()),
                         std::nullopt);
}

// Requests to the service of the local target are not calls made by that target: it does not call its own service. A
// request that was refused before its service was known says nothing about another service.
void Forwarder::recordFailure(const ServiceName &service)
{
    if (!service.value().empty() && service != m_dependencies.callerService)
        m_lastDependencyFailure = EventLoop::now();
}

Forwarder::ServiceRetries &Forwarder::retriesFor(const ServiceName &service)
{
    std::unique_ptr<ServiceRetries> &retries = m_retries[service];
    if (!retries)
        retries = std::make_unique<ServiceRetries>(m_dependencies.retries);
    return *retries;
}

void Forwarder::logBudgetSpent(const ServiceName &service, MonotonicTime now)
{
    ServiceRetries &retries = retriesFor(service);
    if (now - retries.loggedAt < retryBudgetLogInterval)
        return;
    retries.loggedAt = now;
    const RetryUsage usage = retries.budget.usage(now);
    LogEvent(LogLevel::Info, "retries.spent")
            .field("service", service)
            .field("requests", usage.requests)
            .field("taken", usage.extraAttempts)
            .field("inherited", usage.upstreamRetries)
            .write(m_dependencies.log);
}

void Forwarder::recordAdmission(const RouteName &route, const InboundResult &result, MonotonicTime now)
{
    if (hasResponse(result.outcome))
        m_attemptGate.recordAccepted(route, now);
    else if (result.outcome == ForwardOutcome::Refused && isRefusedForLoad(result.refusal))
        m_attemptGate.recordRefused(route, result.retryAfter, now);
}

Milliseconds Forwarder::retryAfter(Microseconds hint)
{
    const auto base = std::clamp(std::chrono::duration_cast<Milliseconds>(hint), shortestRetryAfter, longestRetryAfter);
    // Adds a random part of up to the base, so that callers refused together do not retry together.
    return base + Milliseconds(uniformBelow(m_dependencies.random, static_cast<std::uint64_t>(base.count())));
}

} // namespace dandeliondock
