#include "traffic_duty.h"

#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

#include <utility>

namespace dandeliondock {

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int unavailable = 503;

// Nothing was sent when no connection could be made, so that another target can be tried soon.
AsyncClientLimits clientLimits()
{
    AsyncClientLimits limits;
    limits.connectTimeout = Milliseconds(400);
    return limits;
}

HttpResponse statusOnly(int status)
{
    HttpResponse response;
    response.status = status;
    return response;
}

} // namespace

TrafficDuty::TrafficDuty(EventLoop &loop, const ProxySettings &settings, const PlatformAdapter &adapter,
                         MetricsRegistry &metrics, LogSink log, std::function<void(TrafficUpdate)> tell)
    : m_loop(loop), m_settings(settings), m_adapter(adapter), m_metrics(metrics), m_log(std::move(log)),
      m_tell(std::move(tell)), m_client(loop, clientLimits()), m_door(doorParts()), m_forwarder(forwarderParts()),
      m_callers(loop, [this](const HttpRequestContextPtr &exchange) { m_forwarder.handle(exchange); }),
      m_doorServer(loop, [this](const HttpRequestContextPtr &exchange) { handleDoor(exchange); }),
      m_health(loop, [this](const HttpRequestContextPtr &exchange) { handleHealth(exchange); }),
      m_announcements(loop, [this](const HttpRequestContextPtr &exchange) { handleTargetMessage(exchange); }),
      m_metricsServer(loop, [this](const HttpRequestContextPtr &exchange) { handleMetrics(exchange); }),
      m_loopWatch(loop, "traffic", metrics, m_log, [this](LogEvent &event) { addOpenWork(event); })
{
}

InboundHandlerDependencies TrafficDuty::doorParts()
{
    InboundHandlerDependencies parts;
    parts.loop = &m_loop;
    parts.client = &m_client;
    parts.metrics = &m_metrics;
    parts.log = m_log;
    parts.protocol = m_adapter.protocol;
    parts.target = m_settings.target;
    parts.onAttempt = [this](const AttemptReport &report, TicketNumber rollout) { gather({report, rollout}); };
    parts.versions = [this](const ServiceName &service) { return m_forwarder.versions(service); };
    parts.lastDependencyFailure = [this] { return m_forwarder.lastDependencyFailure(); };
    return parts;
}

ForwarderDependencies TrafficDuty::forwarderParts()
{
    ForwarderDependencies parts;
    parts.loop = &m_loop;
    parts.client = &m_client;
    parts.inbound = &m_door;
    parts.inboundAddress = m_settings.inbound;
    parts.metrics = &m_metrics;
    parts.log = m_log;
    parts.random = systemRandom();
    parts.protocol = m_adapter.protocol;
    parts.self = {m_settings.region, m_settings.dataCentre};
    parts.callerService = m_settings.service;
    parts.retries = m_settings.retries;
    return parts;
}

absl::Status TrafficDuty::listen()
{
    const std::pair<AsyncHttpServer *, Address> listeners[] = {{&m_callers, m_settings.callers},
                                                               {&m_doorServer, m_settings.inbound},
                                                               {&m_health, m_settings.health},
                                                               {&m_announcements, m_settings.announcements},
                                                               {&m_metricsServer, m_settings.metrics}};
    for (const auto &[server, address] : listeners) {
        if (absl::Status status = server->listen(address); !status.ok())
            return status;
    }
    m_loopWatch.start();
    // Connections between proxies stay open while they are used now and then.
    ConnectionLimits limits;
    limits.idleTimeout = std::chrono::minutes(1);
    limits.maxBodyBytes = ByteCount(67'108'864);
    m_doorServer.setLimits(limits);
    return absl::OkStatus();
}

void TrafficDuty::apply(ControlUpdate news)
{
    if (auto *config = std::get_if<ProxyConfigPtr>(&news)) {
        m_callers.setLimits((*config)->limits);
        m_forwarder.setConfig(std::move(*config));
    } else if (auto *versions = std::get_if<ServiceVersions>(&news)) {
        m_forwarder.setVersions(*versions);
    } else if (auto *endpoint = std::get_if<Endpoint>(&news)) {
        m_forwarder.setEndpoint(*endpoint);
    } else if (auto *removed = std::get_if<EndpointRemoved>(&news)) {
        m_forwarder.removeEndpoint(removed->address);
    } else if (!std::exchange(m_isComplete, true)) {
        LogEvent(LogLevel::Info, "proxy.ready").field("node", m_settings.node).write(m_log);
    }
}

void TrafficDuty::handleHealth(const HttpRequestContextPtr &exchange)
{
    exchange->respond(statusOnly(m_isComplete && !m_isDraining ? ok : unavailable));
}

void TrafficDuty::handleTargetMessage(const HttpRequestContextPtr &exchange)
{
    const auto message = m_adapter.readTargetMessage(exchange->request());
    if (!message.ok()) {
        m_metrics.counter("target_messages_refused_total").add();
        LogEvent(LogLevel::Warn, "target.message_refused").error(message.status()).write(m_log);
        exchange->respond(statusOnly(errorKind(message.status()) == ErrorKind::NotFound ? notFound : badRequest));
        return;
    }
    if (const auto *announcement = std::get_if<TargetAnnouncement>(&*message)) {
        if (announcement->address != m_settings.target || announcement->service != m_settings.service) {
            LogEvent(LogLevel::Warn, "target.announcement_of_another")
                    .field("target", announcement->target)
                    .field("address", announcement->address)
                    .field("service", announcement->service)
                    .write(m_log);
            exchange->respond(statusOnly(badRequest));
            return;
        }
        announced(m_door.announce(*announcement));
    } else {
        const auto &departure = std::get<TargetDeparture>(*message);
        announced(m_door.leave(departure.target, departure.startedAt));
    }
    exchange->respond(statusOnly(ok));
}

void TrafficDuty::announced(AnnouncementEffect effect)
{
    if (effect != AnnouncementEffect::Changed)
        return;
    const Endpoint endpoint = ownEndpoint();
    LogEvent(LogLevel::Info, "target.announced")
            .field("target", endpoint.target)
            .field("incarnation", endpoint.stamp.incarnation)
            .field("sequence", endpoint.stamp.sequence)
            .field("state", static_cast<int>(endpoint.stamp.state))
            .field("version", endpoint.version)
            .write(m_log);
    m_forwarder.setEndpoint(endpoint);
    m_tell(endpoint);
}

Endpoint TrafficDuty::ownEndpoint() const
{
    const TargetAnnouncement &target = *m_door.target().current();
    Endpoint endpoint;
    endpoint.target = target.target;
    endpoint.stamp = {target.startedAt, target.sequence, target.state};
    endpoint.address = m_settings.target;
    endpoint.controlAddress = m_settings.inbound;
    endpoint.service = target.service;
    endpoint.version = target.version;
    endpoint.region = m_settings.region;
    endpoint.dataCentre = m_settings.dataCentre;
    endpoint.slots = target.slots;
    return endpoint;
}

void TrafficDuty::handleDoor(const HttpRequestContextPtr &exchange)
{
    const std::string &path = exchange->request().target;
    if (path == outcomesPath || path == relayTablePath) {
        m_tell(PeerCall{path, std::move(exchange->request().body), [this, exchange](int status, std::string body) {
                            m_loop.post([exchange, status, body = std::move(body)]() mutable {
                                HttpResponse response;
                                response.status = status;
                                response.body = std::move(body);
                                exchange->respond(std::move(response));
                            });
                        }});
        return;
    }
    auto request = decodeInboundRequest(std::move(exchange->request()), exchange->arrivedAt());
    if (!request.ok()) {
        LogEvent(LogLevel::Warn, "door.request_refused").error(request.status()).write(m_log);
        exchange->respond(statusOnly(badRequest));
        return;
    }
    const InboundJobPtr job = m_door.handle(*std::move(request), [exchange](InboundResult reply) {
        exchange->respond(encodeInboundResult(std::move(reply)));
    });
    exchange->onCancelled([this, job] { m_door.cancel(job); });
}

void TrafficDuty::gather(RolloutAttempt attempt)
{
    if (m_attempts.empty()) {
        m_attemptsTimer = m_loop.after(attemptBatchDelay, [this] { m_tell(std::exchange(m_attempts, {})); });
    }
    if (m_attempts.size() < maxBatchedAttempts)
        m_attempts.push_back(std::move(attempt));
}

void TrafficDuty::addOpenWork(LogEvent &event)
{
    event.field("requests", m_metrics.counter("requests_total").value())
            .field("callers", m_callers.connections())
            .field("open", m_callers.activeRequests())
            .field("jobs", m_door.openJobs());
}

void TrafficDuty::handleMetrics(const HttpRequestContextPtr &exchange)
{
    HttpResponse response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = m_metrics.renderPrometheus();
    exchange->respond(std::move(response));
}

void TrafficDuty::drain(std::function<void()> onEnded)
{
    LogEvent(LogLevel::Info, "proxy.draining")
            .field("callers", m_callers.connections())
            .field("open", m_callers.activeRequests())
            .field("jobs", m_door.openJobs())
            .write(m_log);
    m_isDraining = true;
    m_onEnded = std::move(onEnded);
    m_drainSince = EventLoop::now();
    m_door.stop();
    m_callers.setDraining();
    m_doorServer.setDraining();
    checkDrained();
}

void TrafficDuty::checkDrained()
{
    const MonotonicTime::duration passed = EventLoop::now() - m_drainSince;
    if (passed >= minDrainTime && !std::exchange(m_isClosed, true))
        m_callers.stopAccepting();
    const bool isIdle = m_callers.activeRequests() == 0 && m_door.openJobs() == 0;
    if ((isIdle && passed >= minDrainTime) || passed >= m_settings.grace - graceReserve) {
        LogEvent(LogLevel::Info, "proxy.drained")
                .field("open", m_callers.activeRequests())
                .field("jobs", m_door.openJobs())
                .write(m_log);
        m_onEnded();
        return;
    }
    m_drainTimer = m_loop.after(drainCheck, [this] { checkDrained(); });
}

} // namespace dandeliondock
