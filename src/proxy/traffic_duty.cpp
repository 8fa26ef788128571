#include "traffic_duty.h"

#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int payloadTooLarge = 413;
constexpr int unavailable = 503;

// Messages of a target have a few hundred bytes; their JSON takes up to 30 times its length when it is parsed. Requests
// for health and metrics have no body.
constexpr ByteCount maxLocalBodyBytes{65'536};

// A forwarded request has the headers of the callers' request, its id once more, and those of the protocol between
// proxies, whose names of routes, services and targets are short.
constexpr std::uint64_t addedHeaderBytes = 4'096;
// The proxy of the caller may have read a raised limit before this one. A connection reads this many bytes of a head in
// any case.
constexpr std::uint64_t minInboundHeaderBytes = 131'072;

ConnectionLimits inboundLimits(const ConnectionLimits &callers)
{
    ConnectionLimits limits;
    limits.idleTimeout = std::chrono::minutes(1); // keeps rarely used connections between proxies open
    limits.maxHeaderBytes =
            ByteCount(std::max(minInboundHeaderBytes, 2 * callers.maxHeaderBytes.value() + addedHeaderBytes));
    limits.maxBodyBytes = ByteCount(67'108'864);
    return limits;
}

// Nothing was sent when no connection could be opened, so a short timeout lets another target be tried soon.
AsyncClientLimits clientLimits()
{
    AsyncClientLimits limits;
    limits.connectTimeout = Milliseconds(400);
    return limits;
}

// Headers of a response for a request that was not read, so that another proxy takes it for a refusal.
HttpHeaders inboundRefusalHeaders()
{
    InboundResult result;
    result.refusal = InboundRefusal::Busy;
    return encodeInboundResult(std::move(result)).headers;
}

HttpResponse statusOnly(int status)
{
    HttpResponse response;
    response.status = status;
    return response;
}

} // namespace

TrafficDuty::TrafficDuty(EventLoop &loop, const ProxySettings &settings, const PlatformAdapter &adapter,
                         MetricsRegistry &metrics, LogSink log, std::function<void(TrafficUpdate)> publish)
    : m_loop(loop), m_settings(settings), m_adapter(adapter), m_metrics(metrics), m_log(std::move(log)),
      m_publish(std::move(publish)), m_receiveAccount(std::make_shared<ReceiveAccount>(
                                             loop, receiveLimitsFor(settings.memoryLimit, settings.descriptorLimit),
                                             [this](const ShedHolder &holder) { recordShed(holder); })),
      m_client(loop, clientLimits()), m_pacer(loop, settings.responseRate), m_inbound(inboundDependencies()),
      m_quotas(settings.quota, systemRandom()), m_forwarder(forwarderDependencies()),
      m_callerServer(loop, [this](const HttpRequestContextPtr &context) { m_forwarder.handle(context); }),
      m_inboundServer(loop, [this](const HttpRequestContextPtr &context) { handleInbound(context); }),
      m_healthServer(loop, [this](const HttpRequestContextPtr &context) { handleHealth(context); }),
      m_announcementServer(loop, [this](const HttpRequestContextPtr &context) { handleTargetMessage(context); }),
      m_metricsServer(loop, [this](const HttpRequestContextPtr &context) { handleMetrics(context); }),
      m_pipelinedRequests(metrics.counter("pipelined_requests_total")),
      m_droppedPipelines(metrics.counter("pipelines_dropped_total")),
      m_loopMonitor(loop, "traffic", metrics, m_log, [this](LogEvent &event) { addLoadFields(event); })
{
}

InboundHandlerDependencies TrafficDuty::inboundDependencies()
{
    InboundHandlerDependencies dependencies;
    dependencies.loop = &m_loop;
    dependencies.client = &m_client;
    dependencies.link = &m_pacer.schedule();
    dependencies.metrics = &m_metrics;
    dependencies.log = m_log;
    dependencies.headerNames = m_adapter.headerNames;
    dependencies.target = m_settings.target;
    dependencies.onAttempt = [this](const AttemptReport &report, TicketNumber rollout) {
        batchAttempt({report, rollout});
    };
    dependencies.versions = [this](const ServiceName &service) { return m_forwarder.versions(service); };
    dependencies.coldBounds = m_settings.cold;
    dependencies.isRegionAllowed = [this](const InboundRequest &request) {
        return m_forwarder.isRegionAllowed(request);
    };
    dependencies.lastDependencyFailure = [this] { return m_forwarder.lastDependencyFailure(); };
    return dependencies;
}

ForwarderDependencies TrafficDuty::forwarderDependencies()
{
    ForwarderDependencies dependencies;
    dependencies.loop = &m_loop;
    dependencies.client = &m_client;
    dependencies.inbound = &m_inbound;
    dependencies.inboundAddress = m_settings.inbound;
    dependencies.metrics = &m_metrics;
    dependencies.log = m_log;
    dependencies.random = systemRandom();
    dependencies.headerNames = m_adapter.headerNames;
    dependencies.self = {m_settings.region, m_settings.dataCentre};
    dependencies.callerService = m_settings.service;
    dependencies.retries = m_settings.retries;
    dependencies.keyWithdrawalBound = m_settings.keyWithdrawalBound;
    dependencies.configApplyBound = m_settings.configApplyBound;
    dependencies.admitRequest = [this](const AccountName &account, MonotonicTime now) {
        return m_quotas.admit(account, now);
    };
    dependencies.requestDidNotRun = [this](const AccountName &account, MonotonicTime admittedAt) {
        m_quotas.refund(account, admittedAt, EventLoop::now());
    };
    dependencies.keepResponse = [this](ByteCount bytes) { return m_receiveAccount->chargeIfFits(bytes); };
    return dependencies;
}

absl::Status TrafficDuty::listen()
{
    struct Listener
    {
        AsyncHttpServer *server;
        Address address;
        const char *name;
    };
    const Listener listeners[] = {{&m_callerServer, m_settings.callers, "callers"},
                                  {&m_inboundServer, m_settings.inbound, "inbound"},
                                  {&m_healthServer, m_settings.health, "health"},
                                  {&m_announcementServer, m_settings.announcements, "announcements"},
                                  {&m_metricsServer, m_settings.metrics, "metrics"}};
    for (const auto &[server, address, name] : listeners) {
        server->onRejected(
                [this, name = name](const RequestRejection &rejection) { recordRejection(name, rejection); });
        if (absl::Status status = server->listen(address); !status.ok())
            return status;
    }
    m_loopMonitor.start();
    m_callerServer.setLimitsConfirmed([this] { return m_forwarder.mayRefuseFinally(); });
    m_inboundServer.setLimits(inboundLimits({}));
    ConnectionLimits localLimits;
    localLimits.maxBodyBytes = maxLocalBodyBytes;
    for (AsyncHttpServer *server : {&m_healthServer, &m_announcementServer, &m_metricsServer})
        server->setLimits(localLimits);
    m_callerServer.setConcurrency([this](const HttpRequest &request) { return isConcurrent(request); });
    m_callerServer.onConcurrencyEvent([this](ConcurrencyEvent event) { recordConcurrencyEvent(event); });
    m_client.setReceiveAccount(m_receiveAccount);
    for (AsyncHttpServer *server : {&m_callerServer, &m_healthServer, &m_announcementServer, &m_metricsServer})
        server->setReceiveAccount(m_receiveAccount);
    m_inboundServer.setReceiveAccount(m_receiveAccount, inboundRefusalHeaders());
    m_callerServer.setTransferHooks(m_pacer.hooks());
    m_inboundServer.setTransferHooks(m_pacer.hooks());
    return absl::OkStatus();
}

void TrafficDuty::apply(ControlUpdate update)
{
    if (auto *config = std::get_if<ProxyConfigPtr>(&update)) {
        const ProxyConfigPtr inForce = m_forwarder.config();
        m_forwarder.setConfig(std::move(*config));
        if (m_forwarder.config() == inForce)
            return; // an older one, such as that of an older copy of the table
        m_callerServer.setLimits(m_forwarder.config()->limits);
        m_inboundServer.setLimits(inboundLimits(m_forwarder.config()->limits));
        const Service *service = m_forwarder.config()->state->service(m_settings.service);
        m_inbound.refuseDisallowed();
        m_inbound.setService(service != nullptr ? *service : Service());
        setQuotas();
    } else if (auto *versions = std::get_if<ServiceVersions>(&update)) {
        m_forwarder.setVersions(*versions);
    } else if (auto *endpoint = std::get_if<Endpoint>(&update)) {
        m_forwarder.setEndpoint(*endpoint);
    } else if (auto *removed = std::get_if<EndpointRemoved>(&update)) {
        m_forwarder.removeEndpoint(removed->address);
    } else if (const auto *read = std::get_if<TargetRecordRead>(&update)) {
        applyTargetRecord(read->record);
    } else if (const auto *recorded = std::get_if<TargetRecorded>(&update)) {
        handleTargetRecorded(recorded->record);
    } else if (const auto *confirmed = std::get_if<ConfigConfirmed>(&update)) {
        m_forwarder.confirmConfig(*confirmed);
    } else if (auto *evacuations = std::get_if<EvacuationsUpdate>(&update)) {
        m_inbound.setEvacuated(evacuations->dataCentres.contains(m_settings.dataCentre));
        m_forwarder.setEvacuated(std::move(evacuations->dataCentres));
    } else if (const auto *grants = std::get_if<QuotaGrants>(&update)) {
        m_quotas.apply(*grants, EventLoop::now());
    } else if (!std::exchange(m_isSynced, true)) {
        LogEvent(LogLevel::Info, "proxy.ready").field("node", m_settings.node).write(m_log);
    }
}

void TrafficDuty::handleHealth(const HttpRequestContextPtr &context)
{
    context->respond(statusOnly(m_isSynced && !m_isDraining ? ok : unavailable));
}

void TrafficDuty::handleTargetMessage(const HttpRequestContextPtr &context)
{
    const auto message = m_adapter.readTargetMessage(context->request());
    if (!message.ok()) {
        m_metrics.counter("target_messages_refused_total").add();
        LogEvent(LogLevel::Warn, "target.message_refused").error(message.status()).write(m_log);
        context->respond(statusOnly(errorKind(message.status()) == ErrorKind::NotFound ? notFound : badRequest));
        return;
    }
    const auto *announcement = std::get_if<TargetAnnouncement>(&*message);
    if (announcement && (announcement->address != m_settings.target || announcement->service != m_settings.service)) {
        LogEvent(LogLevel::Warn, "target.announcement_of_another")
                .field("target", announcement->target)
                .field("address", announcement->address)
                .field("service", announcement->service)
                .write(m_log);
        context->respond(statusOnly(badRequest));
        return;
    }
    const bool isDeparture = announcement == nullptr || announcement->state != EndpointState::Serving;
    const AnnouncementEffect effect = applyTargetMessage(*message);
    if (effect == AnnouncementEffect::Changed)
        publishTarget();
    // A stale departure is of an earlier start, which is not in use.
    if (isDeparture && effect != AnnouncementEffect::Stale)
        acknowledgeWhenRecorded(context);
    else
        context->respond(statusOnly(ok));
}

AnnouncementEffect TrafficDuty::applyTargetMessage(const TargetMessage &message)
{
    if (const auto *announcement = std::get_if<TargetAnnouncement>(&message))
        return m_inbound.announce(*announcement);
    const auto &departure = std::get<TargetDeparture>(message);
    const auto now = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    return m_inbound.handleDeparture(departure.target, departure.startedAt,
                                     Incarnation(static_cast<std::uint64_t>(now.count())));
}

void TrafficDuty::applyTargetRecord(const std::optional<Endpoint> &record)
{
    m_recorded = record;
    std::optional<TargetAnnouncement> state;
    if (record) {
        state.emplace();
        state->target = record->target;
        state->startedAt = record->stamp.incarnation;
        state->sequence = record->stamp.sequence;
        state->state = record->stamp.state;
        state->address = record->address;
        state->service = record->service;
        state->version = record->version;
        state->slots = record->slots;
    }
    const bool wasKnown = m_inbound.target().isRecordKnown();
    const AnnouncementEffect effect = m_inbound.applyRecord(state);
    if (m_inbound.target().isAnnounced() && (!wasKnown || effect == AnnouncementEffect::Changed))
        publishTarget();
}

// The other proxies learn of the target only when it is known what an earlier process acknowledged to it.
void TrafficDuty::publishTarget()
{
    if (!m_inbound.target().isRecordKnown())
        return;
    const Endpoint endpoint = localEndpoint();
    LogEvent(LogLevel::Info, "target.announced")
            .field("target", endpoint.target)
            .field("incarnation", endpoint.stamp.incarnation)
            .field("sequence", endpoint.stamp.sequence)
            .field("state", static_cast<int>(endpoint.stamp.state))
            .field("version", endpoint.version)
            .write(m_log);
    m_forwarder.setEndpoint(endpoint);
    m_publish(endpoint);
}

bool TrafficDuty::covers(const Endpoint &record, const Endpoint &departure)
{
    if (record.stamp.incarnation != departure.stamp.incarnation)
        return record.stamp.incarnation > departure.stamp.incarnation;
    return record.target == departure.target && record.stamp.state >= departure.stamp.state;
}

void TrafficDuty::acknowledgeWhenRecorded(const HttpRequestContextPtr &context)
{
    const Endpoint endpoint = localEndpoint();
    if (m_recorded && covers(*m_recorded, endpoint)) {
        context->respond(statusOnly(ok));
        return;
    }
    const auto position = m_unrecordedDepartures.insert(m_unrecordedDepartures.end(), {context, endpoint, {}});
    position->timeout = m_loop.after(departureRecordTimeout, [this, position] {
        const HttpRequestContextPtr late = position->context;
        LogEvent(LogLevel::Warn, "target.departure_not_recorded")
                .field("target", position->endpoint.target)
                .write(m_log);
        m_unrecordedDepartures.erase(position);
        late->respond(statusOnly(unavailable));
    });
}

void TrafficDuty::handleTargetRecorded(const Endpoint &record)
{
    m_recorded = record;
    for (auto departure = m_unrecordedDepartures.begin(); departure != m_unrecordedDepartures.end();) {
        if (!covers(record, departure->endpoint)) {
            ++departure;
            continue;
        }
        departure->context->respond(statusOnly(ok));
        departure = m_unrecordedDepartures.erase(departure);
    }
}

Endpoint TrafficDuty::localEndpoint() const
{
    const TargetAnnouncement &target = *m_inbound.target().current();
    Endpoint endpoint;
    endpoint.target = target.target;
    endpoint.stamp = {target.startedAt, target.sequence, target.state};
    endpoint.address = m_settings.target;
    endpoint.controlAddress = m_settings.inbound;
    endpoint.service = m_settings.service;
    endpoint.version = target.version;
    endpoint.region = m_settings.region;
    endpoint.dataCentre = m_settings.dataCentre;
    endpoint.slots = target.slots;
    return endpoint;
}

void TrafficDuty::handleInbound(const HttpRequestContextPtr &context)
{
    const auto messageKind = peerMessageKind(context->request());
    if (!messageKind.ok()) {
        LogEvent(LogLevel::Warn, "peer.message_refused").error(messageKind.status()).write(m_log);
        context->respond(statusOnly(badRequest));
        return;
    }
    if (*messageKind && context->request().body.size() > maxPeerMessageSize.value()) {
        m_metrics.counter("peer_messages_refused_total").add();
        context->respond(statusOnly(payloadTooLarge));
        return;
    }
    if (*messageKind) {
        m_publish(PeerCall{**messageKind, context->request().body, [this, context](int status, std::string body) {
                               m_loop.post([context, status, body = std::move(body)]() mutable {
                                   HttpResponse response;
                                   response.status = status;
                                   response.body = std::move(body);
                                   response.isUrgent = true; // configuration does not wait for downloads
                                   context->respond(std::move(response));
                               });
                           }});
        return;
    }
    auto request = decodeInboundRequest(std::move(context->request()), context->arrivedAt());
    if (!request.ok()) {
        LogEvent(LogLevel::Warn, "door.request_refused").error(request.status()).write(m_log);
        context->respond(statusOnly(badRequest));
        return;
    }
    const InboundJobPtr job = m_inbound.handle(*std::move(request), [context](InboundResult result) {
        context->respond(encodeInboundResult(std::move(result)));
    });
    context->onCancelled([this, job] { m_inbound.cancel(job); });
}

void TrafficDuty::batchAttempt(RolloutAttempt attempt)
{
    if (m_batchedAttempts.empty()) {
        m_batchTimer = m_loop.after(attemptBatchDelay, [this] { m_publish(std::exchange(m_batchedAttempts, {})); });
    }
    if (m_batchedAttempts.size() < maxBatchedAttempts)
        m_batchedAttempts.push_back(std::move(attempt));
}

void TrafficDuty::setQuotas()
{
    const bool wasEmpty = m_quotas.isEmpty();
    m_quotas.setQuotas(m_forwarder.config()->accounts.accounts());
    if (wasEmpty && !m_quotas.isEmpty())
        scheduleUsageReport();
}

void TrafficDuty::scheduleUsageReport()
{
    m_usageTimer = m_loop.after(m_quotas.reportInterval(), [this] { reportUsage(); });
}

void TrafficDuty::reportUsage()
{
    if (m_quotas.isEmpty())
        return;
    if (auto usage = m_quotas.report(EventLoop::now()))
        m_publish(*std::move(usage));
    scheduleUsageReport();
}

void TrafficDuty::addLoadFields(LogEvent &event)
{
    event.field("requests", m_metrics.counter("requests_total").value())
            .field("callers", m_callerServer.connections())
            .field("open", m_callerServer.activeRequests())
            .field("jobs", m_inbound.openJobs())
            .field("held_bytes", m_receiveAccount->budget().held().value());
}

void TrafficDuty::recordShed(const ShedHolder &holder)
{
    const char *activity = holderActivityName(holder.status.activity);
    m_metrics.counter("connections_shed_total", activity).add();
    if (!m_shedLogLimiter.allow(EventLoop::now(), m_log))
        return;
    LogEvent(LogLevel::Warn, "connection.shed")
            .field("activity", activity)
            .field("bytes", holder.status.bytes.value())
            .field("held_bytes", m_receiveAccount->budget().held().value())
            .field("connections", m_receiveAccount->budget().connections().value())
            .write(m_log);
}

void TrafficDuty::recordRejection(const char *listener, const RequestRejection &rejection)
{
    m_metrics.counter("http_rejections_total", absl::StrCat(listener, "_", rejection.status)).add();
    if (!m_rejectionLogLimiter.allow(EventLoop::now(), m_log))
        return;
    LogEvent event(LogLevel::Info, "http.request_rejected");
    event.field("listener", listener).field("status", rejection.status);
    if (!rejection.error.empty())
        event.field("error", rejection.error);
    event.field("earlier_requests", rejection.earlierRequests).write(m_log);
}

void TrafficDuty::handleMetrics(const HttpRequestContextPtr &context)
{
    HttpResponse response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = m_metrics.renderPrometheus();
    m_forwarder.clientErrors().renderPrometheus(response.body);
    context->respond(std::move(response));
}

bool TrafficDuty::isConcurrent(const HttpRequest &request) const
{
    const ProxyConfigPtr &config = m_forwarder.config();
    if (!config)
        return false;
    const RouteMatch match = config->routes.match(request.headers.first("Host").value_or(""), request.target);
    return match.route != nullptr && match.route->idempotent;
}

void TrafficDuty::recordConcurrencyEvent(ConcurrencyEvent event)
{
    if (event == ConcurrencyEvent::RunsBesideOthers) {
        m_pipelinedRequests.add();
        return;
    }
    m_droppedPipelines.add();
    if (m_concurrencyLogLimiter.allow(EventLoop::now(), m_log)) {
        LogEvent(LogLevel::Warn, "caller.responses_dropped")
                .field("callers", m_callerServer.connections())
                .field("open", m_callerServer.activeRequests())
                .write(m_log);
    }
}

void TrafficDuty::drain(std::function<void()> onDrained)
{
    LogEvent(LogLevel::Info, "proxy.draining")
            .field("callers", m_callerServer.connections())
            .field("open", m_callerServer.activeRequests())
            .field("jobs", m_inbound.openJobs())
            .write(m_log);
    m_isDraining = true;
    m_onDrained = std::move(onDrained);
    m_drainStartedAt = EventLoop::now();
    m_inbound.stop();
    m_callerServer.setDraining();
    m_inboundServer.setDraining();
    checkDrained();
}

bool TrafficDuty::isIdle() const
{
    return m_callerServer.activeRequests() == 0 && m_callerServer.unwrittenResponses() == 0 && m_inbound.openJobs() == 0
           && m_inboundServer.unwrittenResponses() == 0 && m_unrecordedDepartures.empty();
}

void TrafficDuty::checkDrained()
{
    const MonotonicTime now = EventLoop::now();
    const MonotonicTime::duration elapsed = now - m_drainStartedAt;
    const MonotonicTime::duration drainTime = m_settings.grace - graceReserve;
    if (elapsed >= std::min<MonotonicTime::duration>(minDrainTime, drainTime * 2 / 3))
        m_forwarder.setEnd(m_drainStartedAt + drainTime);
    if (elapsed >= minDrainTime && !m_listenerClosedAt) {
        m_callerServer.stopAccepting();
        m_listenerClosedAt = now;
    }
    const bool hasClosedListener = m_listenerClosedAt && now - *m_listenerClosedAt >= lastRequestsTime;
    if ((hasClosedListener && isIdle()) || elapsed >= drainTime) {
        LogEvent(LogLevel::Info, "proxy.drained")
                .field("open", m_callerServer.activeRequests())
                .field("unwritten", m_callerServer.unwrittenResponses())
                .field("jobs", m_inbound.openJobs())
                .write(m_log);
        m_onDrained();
        return;
    }
    m_drainTimer = m_loop.after(drainCheckInterval, [this] { checkDrained(); });
}

} // namespace dandeliondock
