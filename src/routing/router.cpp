#include <dandeliondock/routing/router.h>

#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

#include <utility>

namespace dandeliondock {

namespace {

// Bounds the probes of one request in addition to its deadline. A target that a probe finds draining is excluded for
// all requests, so the next request continues with the remaining targets.
constexpr int maxSelectionAttempts = 16;
constexpr SlotCount slotsOfUnknownService{1};

} // namespace

std::shared_ptr<Router> Router::create(PoolCaller caller, RouterHooks hooks, MetricsRegistry &metrics)
{
    return std::shared_ptr<Router>(new Router(std::move(caller), std::move(hooks), metrics));
}

Router::Router(PoolCaller caller, RouterHooks hooks, MetricsRegistry &metrics)
    : m_caller(std::move(caller)), m_hooks(std::move(hooks)), m_counters(metrics)
{
}

void Router::applyConfig(ConfigStatePtr state)
{
    auto table = std::make_shared<const RouteTable>(std::move(state));
    const std::unique_lock lock(m_mutex);
    m_routeTable = std::move(table);
}

void Router::applyEndpoints(absl::Span<const Endpoint> records)
{
    const std::scoped_lock lock(m_endpointMutex);
    for (const Endpoint &record : records)
        applyEndpoint(record);
}

void Router::removeEndpoints(absl::Span<const TargetId> targets)
{
    const std::scoped_lock lock(m_endpointMutex);
    for (const TargetId &target : targets) {
        const auto service = m_targetServices.find(target);
        if (service == m_targetServices.end())
            continue;
        findOrCreateDispatcher(service->second)->remove(target);
        m_targetServices.erase(service);
    }
}

void Router::setCallers(std::size_t callers)
{
    const std::scoped_lock lock(m_endpointMutex);
    m_caller.callers = callers;
    const std::shared_lock dispatchersLock(m_mutex);
    for (const auto &[service, dispatcher] : m_dispatchers)
        dispatcher->setCallers(callers);
}

void Router::recordParentContact()
{
    ViewFreshness freshness;
    freshness.recordContact(m_hooks.time.monotonic());
    m_freshness.store(freshness);
}

void Router::recordHeartbeat()
{
    m_lastHeartbeat.store(m_hooks.time.monotonic());
}

bool Router::isCurrent() const
{
    const MonotonicTime lastHeartbeat = m_lastHeartbeat.load();
    const bool isHeartbeatRecent =
            lastHeartbeat == MonotonicTime::max() || m_hooks.time.monotonic() - lastHeartbeat <= pauseThreshold;
    return isHeartbeatRecent && m_ready.load();
}

absl::StatusOr<RouteMatch> Router::match(absl::string_view host, absl::string_view path) const
{
    const std::shared_ptr<const RouteTable> routes = routeTable();
    if (routes == nullptr || !isCurrent()) {
        m_counters.notReady.add();
        return makeError(ErrorKind::NotReady, "the node holds no current configuration");
    }
    RouteMatch match = routes->match(host, path);
    if (match.route == nullptr && m_freshness.load().isStale(m_hooks.time.monotonic())) {
        m_counters.notReady.add();
        return makeError(ErrorKind::NotReady, "no route matches the request, and the configuration may be out of date");
    }
    if (match.route == nullptr) {
        m_counters.noRoute.add();
        return makeError(ErrorKind::NotFound, "no route matches the request");
    }
    return match;
}

absl::StatusOr<std::shared_ptr<TargetSession>> Router::select(const SelectionRequest &request)
{
    const std::shared_ptr<ServiceDispatcher> dispatcher = findDispatcher(request.match.service->name);
    if (dispatcher == nullptr) {
        m_counters.noTarget.add();
        return makeError(ErrorKind::NoTarget,
                         absl::StrCat("no target of ", request.match.service->name.value(), " is known"));
    }
    ClaimRequest claimRequest = makeClaimRequest(request);
    for (int attempt = 0; attempt < maxSelectionAttempts; ++attempt) {
        absl::StatusOr<TargetClaim> claim = dispatcher->acquire(claimRequest);
        if (!claim.ok())
            return claim.status();
        if (matchesCurrentSplit(*claim, *request.match.service) && verifyTarget(*dispatcher, *claim))
            return makeSession(dispatcher, *std::move(claim));
        claimRequest.tried.push_back(claim->endpoint.target);
        dispatcher->release(claim->pick, std::nullopt);
        claimRequest.split = makeClaimRequest(request).split;
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

std::shared_ptr<ServiceDispatcher> Router::findDispatcher(const ServiceName &service) const
{
    const std::shared_lock lock(m_mutex);
    const auto found = m_dispatchers.find(service);
    return found == m_dispatchers.end() ? nullptr : found->second;
}

std::shared_ptr<ServiceDispatcher> Router::findOrCreateDispatcher(const ServiceName &service)
{
    if (std::shared_ptr<ServiceDispatcher> existing = findDispatcher(service))
        return existing;
    auto created = std::make_shared<ServiceDispatcher>(m_caller, m_hooks.random(), m_hooks.time, m_counters);
    const std::unique_lock lock(m_mutex);
    return m_dispatchers.try_emplace(service, std::move(created)).first->second;
}

std::shared_ptr<const RouteTable> Router::routeTable() const
{
    const std::shared_lock lock(m_mutex);
    return m_routeTable;
}

ClaimRequest Router::makeClaimRequest(const SelectionRequest &request) const
{
    ClaimRequest claimRequest;
    claimRequest.service = request.match.service;
    if (m_hooks.split)
        claimRequest.split = m_hooks.split(*request.match.service);
    claimRequest.pinnedNewVersion = request.pinnedNewVersion;
    claimRequest.workClass = request.match.route->workClass;
    claimRequest.tried = request.tried;
    claimRequest.deadline = request.deadline;
    return claimRequest;
}

// Checks a claim on the new version again if the request waited in the queue, because the rollout may have been rolled
// back in the meantime.
bool Router::matchesCurrentSplit(const TargetClaim &claim, const Service &service) const
{
    if (!claim.waited || !claim.version.isNew)
        return true;
    const std::optional<VersionSplit> split = m_hooks.split(service);
    return split && split->newVersion == claim.version.version && split->newShare > noShare
           && split->newTargetShare >= claim.version.targetShare;
}

bool Router::verifyTarget(ServiceDispatcher &dispatcher, const TargetClaim &claim)
{
    if (!m_freshness.load().needsProbe(claim.lastVerified, m_hooks.time.monotonic()))
        return true;
    if (!m_hooks.probe)
        return false;
    const ProbeResult result = m_hooks.probe(claim.endpoint);
    countProbe(result);
    dispatcher.recordProbe(claim.pick, result);
    return result == ProbeResult::AcceptsRequests;
}

std::shared_ptr<TargetSession> Router::makeSession(const std::shared_ptr<ServiceDispatcher> &dispatcher,
                                                   TargetClaim claim)
{
    m_counters.selections.at(static_cast<std::size_t>(claim.pick.target->tier))->add();
    auto release = [self = shared_from_this(), dispatcher, pick = claim.pick](
                           const std::optional<AttemptOutcome> &outcome) { dispatcher->release(pick, outcome); };
    return std::make_shared<TargetSession>(std::move(claim.endpoint), claim.version.isNew, std::move(release),
                                           claim.connections, claim.servingSince);
}

void Router::applyEndpoint(const Endpoint &record)
{
    const auto known = m_targetServices.find(record.target);
    if (known != m_targetServices.end() && known->second != record.service)
        findOrCreateDispatcher(known->second)->remove(record.target);
    if (record.stamp.state != EndpointState::Serving) {
        if (known != m_targetServices.end())
            findOrCreateDispatcher(known->second)->remove(record.target);
        m_targetServices.erase(record.target);
        return;
    }
    m_targetServices[record.target] = record.service;
    const std::shared_ptr<const RouteTable> routes = routeTable();
    const Service *service = routes == nullptr ? nullptr : routes->state()->service(record.service);
    findOrCreateDispatcher(record.service)
            ->apply(record, service == nullptr ? slotsOfUnknownService : service->slotsPerTarget);
}

void Router::countProbe(ProbeResult result)
{
    switch (result) {
    case ProbeResult::AcceptsRequests:
        return m_counters.probesAcceptRequests.add();
    case ProbeResult::Draining:
        return m_counters.probesDraining.add();
    case ProbeResult::Unreachable:
        return m_counters.probesUnreachable.add();
    }
}

} // namespace dandeliondock
