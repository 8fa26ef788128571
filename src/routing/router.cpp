#include <dandeliondock/routing/router.h>

#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

#include <utility>

namespace dandeliondock {

namespace {

// Bounds the probes of one request besides its deadline. A probe that finds a target draining takes it out for all
// requests, so that the next request goes on from there.
constexpr int selectionAttempts = 16;
constexpr SlotCount slotsWithoutService{1};

} // namespace

std::shared_ptr<Router> Router::create(PoolCaller self, RouterHooks hooks, MetricsRegistry &metrics)
{
    return std::shared_ptr<Router>(new Router(std::move(self), std::move(hooks), metrics));
}

Router::Router(PoolCaller self, RouterHooks hooks, MetricsRegistry &metrics)
    : m_self(std::move(self)), m_hooks(std::move(hooks)), m_counters(metrics)
{
}

void Router::applyConfig(ConfigStatePtr state)
{
    auto table = std::make_shared<const RouteTable>(std::move(state));
    const std::unique_lock lock(m_mutex);
    m_table = std::move(table);
}

void Router::applyEndpoints(absl::Span<const Endpoint> records)
{
    const std::scoped_lock lock(m_updates);
    for (const Endpoint &record : records)
        applyEndpoint(record);
}

void Router::removeEndpoints(absl::Span<const TargetId> targets)
{
    const std::scoped_lock lock(m_updates);
    for (const TargetId &target : targets) {
        const auto service = m_services.find(target);
        if (service == m_services.end())
            continue;
        gateToFill(service->second)->remove(target);
        m_services.erase(service);
    }
}

void Router::setCallers(std::size_t callers)
{
    const std::scoped_lock lock(m_updates);
    m_self.callers = callers;
    const std::shared_lock gates(m_mutex);
    for (const auto &[service, gate] : m_gates)
        gate->setCallers(callers);
}

void Router::recordParentContact()
{
    ViewFreshness freshness;
    freshness.contact(m_hooks.time.monotonic());
    m_freshness.store(freshness);
}

void Router::recordHeartbeat()
{
    m_alive.store(m_hooks.time.monotonic());
}

bool Router::isCurrent() const
{
    const MonotonicTime alive = m_alive.load();
    const bool ran = alive == MonotonicTime::max() || m_hooks.time.monotonic() - alive <= pauseThreshold;
    return ran && m_ready.load();
}

absl::StatusOr<RouteMatch> Router::match(absl::string_view host, absl::string_view path) const
{
    const std::shared_ptr<const RouteTable> routes = table();
    if (routes == nullptr || !isCurrent()) {
        m_counters.notReady.add();
        return makeError(ErrorKind::NotReady, "the node holds no current configuration");
    }
    RouteMatch match = routes->match(host, path);
    if (match.route == nullptr) {
        m_counters.noRoute.add();
        return makeError(ErrorKind::NotFound, "no route matches the request");
    }
    return match;
}

absl::StatusOr<std::shared_ptr<TargetSession>> Router::select(const SelectionRequest &request)
{
    const std::shared_ptr<ServiceDispatcher> service = gate(request.match.service->name);
    if (service == nullptr) {
        m_counters.noTarget.add();
        return makeError(ErrorKind::NoTarget,
                         absl::StrCat("no target of ", request.match.service->name.value(), " is known"));
    }
    ClaimRequest wanted = gateRequest(request);
    for (int attempt = 0; attempt < selectionAttempts; ++attempt) {
        absl::StatusOr<TargetClaim> claim = service->acquire(wanted);
        if (!claim.ok())
            return claim.status();
        if (isStillInSplit(*claim, *request.match.service) && isProved(*service, *claim))
            return session(service, *std::move(claim));
        wanted.tried.push_back(claim->endpoint.target);
        service->release(claim->pick, std::nullopt);
        wanted.split = gateRequest(request).split;
    }
    m_counters.noTarget.add();
    return makeError(ErrorKind::NoTarget, "no target proved that it takes work");
}

RoutingHooks Router::hooks()
{
    auto self = shared_from_this();
    return {[self](absl::string_view host, absl::string_view path) { return self->match(host, path); },
            [self](const SelectionRequest &request) { return self->select(request); }};
}

std::shared_ptr<ServiceDispatcher> Router::gate(const ServiceName &service) const
{
    const std::shared_lock lock(m_mutex);
    const auto found = m_gates.find(service);
    return found == m_gates.end() ? nullptr : found->second;
}

std::shared_ptr<ServiceDispatcher> Router::gateToFill(const ServiceName &service)
{
    if (std::shared_ptr<ServiceDispatcher> held = gate(service))
        return held;
    auto made = std::make_shared<ServiceDispatcher>(m_self, m_hooks.random(), m_hooks.time, m_counters);
    const std::unique_lock lock(m_mutex);
    return m_gates.try_emplace(service, std::move(made)).first->second;
}

std::shared_ptr<const RouteTable> Router::table() const
{
    const std::shared_lock lock(m_mutex);
    return m_table;
}

ClaimRequest Router::gateRequest(const SelectionRequest &request) const
{
    ClaimRequest wanted;
    wanted.service = request.match.service;
    if (m_hooks.split)
        wanted.split = m_hooks.split(*request.match.service);
    wanted.newVersion = request.pinnedNewVersion;
    wanted.workClass = request.match.route->workClass;
    wanted.tried = request.tried;
    wanted.deadline = request.deadline;
    return wanted;
}

// A rollback may come while a request waits in the queue.
bool Router::isStillInSplit(const TargetClaim &claim, const Service &service) const
{
    if (!claim.waited || !claim.version.isNew)
        return true;
    const std::optional<VersionSplit> split = m_hooks.split(service);
    return split && split->newVersion == claim.version.version && split->newShare > noShare
           && split->newTargetShare >= claim.version.targetShare;
}

bool Router::isProved(ServiceDispatcher &gate, const TargetClaim &claim)
{
    if (!m_freshness.load().needsProbe(claim.proof, m_hooks.time.monotonic()))
        return true;
    if (!m_hooks.probe)
        return false;
    const ProbeResult result = m_hooks.probe(claim.endpoint);
    countProbe(result);
    gate.probed(claim.pick, result);
    return result == ProbeResult::TakesWork;
}

std::shared_ptr<TargetSession> Router::session(const std::shared_ptr<ServiceDispatcher> &gate, TargetClaim claim)
{
    m_counters.selections.at(static_cast<std::size_t>(claim.pick.target->tier))->add();
    auto release = [self = shared_from_this(), gate, pick = claim.pick](const std::optional<AttemptOutcome> &outcome) {
        gate->release(pick, outcome);
    };
    return std::make_shared<TargetSession>(std::move(claim.endpoint), claim.version.isNew, std::move(release),
                                           claim.connections, claim.servingSince);
}

void Router::applyEndpoint(const Endpoint &record)
{
    const auto known = m_services.find(record.target);
    if (known != m_services.end() && known->second != record.service)
        gateToFill(known->second)->remove(record.target);
    if (record.stamp.state != EndpointState::Serving) {
        if (known != m_services.end())
            gateToFill(known->second)->remove(record.target);
        m_services.erase(record.target);
        return;
    }
    m_services[record.target] = record.service;
    const std::shared_ptr<const RouteTable> routes = table();
    const Service *service = routes == nullptr ? nullptr : routes->state()->service(record.service);
    gateToFill(record.service)->apply(record, service == nullptr ? slotsWithoutService : service->slotsPerTarget);
}

void Router::countProbe(ProbeResult result)
{
    switch (result) {
    case ProbeResult::TakesWork:
        return m_counters.probesTakeWork.add();
    case ProbeResult::Draining:
        return m_counters.probesDraining.add();
    case ProbeResult::Unreachable:
        return m_counters.probesUnreachable.add();
    }
}

} // namespace dandeliondock
