#include "node_components.h"

#include <dandeliondock/node/target_probe.h>
#include <dandeliondock/rollout/stage_plan.h>
#include <dandeliondock/store/http_store.h>

#include <absl/strings/str_cat.h>

#include <array>
#include <utility>

namespace dandeliondock::impl {

namespace {

constexpr Milliseconds storeTimeout{2'000};
constexpr Milliseconds targetPollInterval{500};
constexpr Milliseconds announcementTimeout{2'000};
constexpr Milliseconds operatorDrainTimeout{10'000};
constexpr std::size_t attemptReportCapacity = 8'192;
// The platform's table takes rows of 64 KiB, and a ticket is one row.
constexpr ByteCount maxOperatorBodyBytes{1U << 20U};
// A request uses the descriptors of its connection and of its call: a socket and two for waking libcurl.
constexpr std::uint32_t descriptorsPerConnection = 5;
// Connections of a listener beyond those of the account, which are being closed.
constexpr std::uint32_t closingConnections = 16;

PassiveHealthSignal healthSignalOf(const AttemptOutcome &outcome)
{
    if (outcome.draining)
        return PassiveHealthSignal::Draining;
    return outcome.result == AttemptResult::NotSent ? PassiveHealthSignal::Refused : PassiveHealthSignal::Responded;
}

} // namespace

NodeComponents::NodeComponents(NodeSettings givenSettings, LogSink givenLog)
    : settings(std::move(givenSettings)), log(std::move(givenLog)),
      receiveAccount(std::make_shared<SharedReceiveAccount>(
              receiveLimits(),
              [this](const ShedHolder &holder, const ReceiveTotals &totals) { recordShed(holder, totals); })),
      store(makeHttpStore(client, settings.store, storeTimeout)), tickets(store, time),
      router(Router::create({settings.node, {settings.region, settings.dataCentre}, 1}, routerHooks(), *metrics)),
      endpoints(settings.region, router, {time, [this] { coordinator->notifyParent(); }}),
      coordinator(std::make_shared<RelayCoordinator>(identity(), controlHooks())),
      rolloutStore({store, time, log, metrics.get(), rootLeaseKey()}),
      attemptReports(std::make_shared<BoundedRing<AttemptReport>>(attemptReportCapacity, OverflowPolicy::DropOldest)),
      operatorApi(operatorHooks())
{
    router->setReady(false);
    if (settings.target)
        endpoints.setLocalTarget(localEndpoint());
}

absl::Status NodeComponents::start()
{
    if (absl::Status status = startDistribution(); !status.ok())
        return status;
    startTargetHealthMonitor();
    startDispatcher();
    if (absl::Status status = startIngress(); !status.ok())
        return status;
    auto server = OperatorServerBuilder()
                          .listen(settings.operators.address, settings.operators.port)
                          .maxBody(maxOperatorBodyBytes)
                          .maxConnections(maxConnections())
                          .account(receiveAccount)
                          .handler([this](const HttpRequest &request) { return operatorApi.serve(request); })
                          .start();
    if (!server.ok())
        return server.status();
    operatorServer = *std::move(server);
    return absl::OkStatus();
}

absl::Status NodeComponents::startDistribution()
{
    const bool polling = settings.distribution == DistributionMode::Polling;
    if (!polling)
        leaseManager = std::make_shared<LeaseManager>(coordinator);
    rolloutDuty = RolloutDutyBuilder().hooks(rolloutHooks()).metrics(*metrics).start();
    if (polling) {
        const auto onPolled = [this] {
            onConfigChange();
            router->recordParentContact();
            router->setReady(true);
        };
        storePoller = std::make_unique<StorePoller>(store, config, onPolled, *metrics, log);
        return absl::OkStatus();
    }
    auto listener = ControlListenerBuilder()
                            .listen(settings.nodes.address, settings.nodes.port)
                            .coordinator(coordinator)
                            .maxConnections(maxConnections())
                            .account(receiveAccount)
                            .start();
    if (!listener.ok())
        return listener.status();
    controlListener = *std::move(listener);
    parentPoller = std::make_unique<ParentPoller>(coordinator, leaseManager);
    return absl::OkStatus();
}

absl::Status NodeComponents::startIngress()
{
    auto started = IngressBuilder()
                           .listen(settings.callers.address, settings.callers.port)
                           .routing(router->hooks())
                           .client(client)
                           .attemptReports(attemptReports)
                           .metrics(metrics)
                           .time(time)
                           .log(log)
                           .maxBody(settings.maxBody)
                           .maxConnections(maxConnections())
                           .account(receiveAccount)
                           .start();
    if (!started.ok())
        return started.status();
    ingress = *std::move(started);
    return absl::OkStatus();
}

void NodeComponents::startTargetHealthMonitor()
{
    if (!settings.target)
        return;
    TargetHealthMonitorHooks hooks;
    hooks.time = time;
    hooks.probe = [this] {
        const ConfigStatePtr state = config.current();
        const Service *service = state->service(settings.target->service);
        const std::string drainHeader = service == nullptr ? std::string() : service->drainHeader;
        return probeTarget(*client, {settings.target->address, settings.target->healthPath, drainHeader});
    };
    hooks.onChange = [this](EndpointState state) { endpoints.announce(state); };
    targetHealthMonitor = std::make_unique<TargetHealthMonitor>(std::move(hooks), targetPollInterval);
}

void NodeComponents::startDispatcher()
{
    OutcomeConsumers consumers;
    consumers.onAttempt = [this](const AttemptReport &report) { rolloutDuty->report(report); };
    if (targetHealthMonitor) {
        consumers.localTargetId = settings.target->id;
        consumers.onLocalAttempt = [this](const AttemptReport &report) {
            targetHealthMonitor->recordResponse(healthSignalOf(report.outcome));
        };
    }
    dispatcher = std::make_unique<OutcomeDispatcher>(attemptReports, std::move(consumers), *metrics);
}

void NodeComponents::onConfigChange()
{
    const ConfigStatePtr state = config.current();
    Gauge &revision = metrics->gauge("dandeliondock_revision");
    if (static_cast<std::int64_t>(state->revision().value()) == revision.value())
        return;
    revision.set(static_cast<std::int64_t>(state->revision().value()));
    appliedUnixMs = time.wall().time_since_epoch().count();
    router->applyConfig(state);
}

ControlIdentity NodeComponents::identity() const
{
    ControlIdentity self;
    self.deployment = settings.deployment;
    self.node = settings.node;
    self.incarnation = Incarnation(static_cast<std::uint64_t>(time.wall().time_since_epoch().count()));
    self.region = settings.region;
    self.dataCentre = settings.dataCentre;
    self.storeRegion = settings.storeRegion;
    self.controlAddress = Address(absl::StrCat(settings.nodes.address, ":", settings.nodes.port));
    self.peers = settings.peers;
    self.fanOut = settings.fanOut;
    self.hold = settings.pollHold;
    return self;
}

Endpoint NodeComponents::localEndpoint() const
{
    const ControlIdentity &self = coordinator->identity();
    Endpoint endpoint;
    endpoint.target = settings.target->id;
    endpoint.stamp.incarnation = self.incarnation;
    endpoint.address = settings.target->address;
    endpoint.controlAddress = self.controlAddress;
    endpoint.service = settings.target->service;
    endpoint.version = settings.target->version;
    endpoint.region = settings.region;
    endpoint.dataCentre = settings.dataCentre;
    endpoint.slots = settings.target->slots;
    return endpoint;
}

RouterHooks NodeComponents::routerHooks()
{
    RouterHooks hooks;
    hooks.time = time;
    hooks.split = [this](const Service &service) { return rolloutDuty->split(service); };
    hooks.random = systemRandom;
    hooks.probe = [this](const Endpoint &endpoint) {
        const ConfigStatePtr state = config.current();
        const Service *service = state->service(endpoint.service);
        if (service == nullptr)
            return probeResultOf(probeTarget(*client, {endpoint.address, {}, {}}));
        return probeResultOf(probeTarget(*client, {endpoint.address, service->healthPath, service->drainHeader}));
    };
    return hooks;
}

RolloutHooks NodeComponents::rolloutHooks()
{
    RolloutHooks hooks;
    hooks.config = [this] { return config.current(); };
    hooks.servingCount = [this](const ServiceName &service, const VersionName &version) {
        return endpoints.servingCount(service, version);
    };
    hooks.lease = [this] { return leaseManager ? leaseManager->rootFence() : std::nullopt; };
    hooks.row = [this](TicketNumber ticket) { return rolloutStore.row(ticket); };
    hooks.requestWrite = [this](const RolloutRow &row, const std::optional<RolloutRow> &expected) {
        rolloutStore.write(row, expected);
    };
    hooks.sendBatch = [this](const OutcomeBatch &batch) { rolloutRecords.setOutcomes(batch); };
    hooks.publish = [this](const std::vector<RolloutRecord> &records) {
        if (!rolloutRecords.merge(records).empty())
            coordinator->notifyParent();
    };
    hooks.time = time;
    hooks.log = log;
    return hooks;
}

ReceiveLimits NodeComponents::receiveLimits() const
{
    return {receiveLimitsFor(settings.memoryLimit, settings.descriptorLimit).memory,
            ConnectionCount(settings.descriptorLimit.value() / descriptorsPerConnection)};
}

ConnectionCount NodeComponents::maxConnections() const
{
    return ConnectionCount(receiveLimits().connections.value() + closingConnections);
}

void NodeComponents::recordShed(const ShedHolder &holder, const ReceiveTotals &totals)
{
    const char *activity = holderActivityName(holder.status.activity);
    metrics->counter("connections_shed_total", activity).add();
    const std::scoped_lock lock(shedLogMutex);
    if (!shedLogLimiter.allow(time.monotonic(), log))
        return;
    LogEvent(LogLevel::Warn, "connection.shed")
            .field("activity", activity)
            .field("bytes", holder.status.bytes.value())
            .field("held_bytes", totals.held.value())
            .field("connections", totals.connections.value())
            .write(log);
}

void NodeComponents::announceLeaving()
{
    if (!settings.target)
        return;
    targetHealthMonitor->stop();
    endpoints.announce(EndpointState::Leaving);
    const bool hasNoParent = coordinator->leases().startsPath || !parentPoller;
    if (!hasNoParent && !parentPoller->waitAcknowledged(endpoints.cursor(), announcementTimeout))
        LogEvent(LogLevel::Warn, "node.leaving_not_announced").write(log);
}

bool NodeComponents::stop()
{
    announceLeaving();
    const bool drained = ingress->drain(settings.drainTimeout);
    ingress->stop();
    dispatcher->stop();
    operatorServer->startDraining();
    const bool operatorsDrained = operatorServer->waitForRequests(operatorDrainTimeout);
    operatorServer->stop();
    rolloutDuty->stop();
    rolloutStore.stop();
    if (storePoller)
        storePoller->stop();
    if (parentPoller)
        parentPoller->stop();
    if (controlListener)
        controlListener->stop();
    if (leaseManager)
        leaseManager->stop();
    return drained && operatorsDrained;
}

} // namespace dandeliondock::impl
