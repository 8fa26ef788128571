#pragma once

#include <dandeliondock/core/random_source.h>
#include <dandeliondock/distribution/pause_detector.h>
#include <dandeliondock/routing/route_table.h>
#include <dandeliondock/routing/service_dispatcher.h>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <shared_mutex>

namespace dandeliondock {

/// \brief Hooks through which the router uses the rest of the node. They must be callable from any thread.
struct RouterHooks
{
    TimeSource time;
    VersionSplitSource split;             ///< null: no rollout splits traffic
    std::function<RandomSource()> random; ///< creates the random source of a service
    /// Probes, with a timeout, whether a target accepts requests. If null, only recently verified targets are used
    /// while the endpoint directory is stale.
    std::function<ProbeResult(const Endpoint &)> probe;
};

/// \brief Matches requests to routes and selects targets for them; the implementation behind RoutingHooks.
///
/// \remark Every method is thread-safe. State is sharded by service: services do not share a lock for target selection.
class Router : public std::enable_shared_from_this<Router>
{
public:
    /// \brief Creates a router without configuration and targets.
    /// \param metrics must outlive the router and its sessions.
    [[nodiscard]] static std::shared_ptr<Router> create(PoolCaller caller, RouterHooks hooks, MetricsRegistry &metrics);

    /// \brief Uses a configuration for later calls of match().
    /// \pre \c state is not null.
    void applyConfig(ConfigStatePtr state);

    /// \brief Sets whether requests are routed; false after a pause of the process until the parent has responded.
    void setReady(bool ready) noexcept { m_ready.store(ready); }

    /// \brief Applies records of the endpoint directory; targets that are not serving are removed.
    void applyEndpoints(absl::Span<const Endpoint> records);

    /// \brief Removes targets that the endpoint directory dropped without a final record.
    void removeEndpoints(absl::Span<const TargetId> targets);

    /// \brief Sets the number of nodes in the region, which share its targets.
    void setCallers(std::size_t callers);

    /// \brief Records that the process is running and that setReady() reflects its last pause. After the first call,
    /// requests are refused while the last call is older than pauseThreshold, since a request may be the first thing
    /// that runs after a pause.
    void recordHeartbeat();

    /// \brief Records a complete exchange with the parent.
    void recordParentContact();

    /// \brief Returns the route of a request.
    /// \return NotReady without a current configuration, or when no route matches and the last contact with the parent
    /// is so old that a route may have been added since; NotFound when no route matches otherwise.
    [[nodiscard]] absl::StatusOr<RouteMatch> match(absl::string_view host, absl::string_view path) const;

    /// \brief Selects a target and reserves a slot on it; may block until the deadline.
    /// \pre \c request.match came from match().
    /// \return NoTarget, Overloaded or DeadlineExceeded when no target is available.
    [[nodiscard]] absl::StatusOr<std::shared_ptr<TargetSession>> select(const SelectionRequest &request);

    /// \brief Returns the hooks of the request path; they keep the router alive.
    [[nodiscard]] RoutingHooks hooks();

private:
    Router(PoolCaller caller, RouterHooks hooks, MetricsRegistry &metrics);

    [[nodiscard]] std::shared_ptr<ServiceDispatcher> findDispatcher(const ServiceName &service) const;
    [[nodiscard]] std::shared_ptr<ServiceDispatcher> findOrCreateDispatcher(const ServiceName &service);
    [[nodiscard]] std::shared_ptr<const RouteTable> routeTable() const;
    [[nodiscard]] bool isCurrent() const;
    [[nodiscard]] ClaimRequest makeClaimRequest(const SelectionRequest &request) const;
    [[nodiscard]] bool matchesCurrentSplit(const TargetClaim &claim, const Service &service) const;
    [[nodiscard]] bool verifyTarget(ServiceDispatcher &dispatcher, const TargetClaim &claim);
    [[nodiscard]] std::shared_ptr<TargetSession> makeSession(const std::shared_ptr<ServiceDispatcher> &dispatcher,
                                                             TargetClaim claim);
    void applyEndpoint(const Endpoint &record);
    void countProbe(ProbeResult result);

    PoolCaller m_caller;
    RouterHooks m_hooks;
    RoutingCounters m_counters;
    std::atomic<bool> m_ready{true};
    std::atomic<MonotonicTime> m_lastHeartbeat{MonotonicTime::max()}; ///< max before the first recordHeartbeat()
    std::atomic<ViewFreshness> m_freshness{};
    mutable std::shared_mutex m_mutex; ///< guards m_routeTable and the map m_dispatchers, not the dispatchers
    std::shared_ptr<const RouteTable> m_routeTable;
    absl::flat_hash_map<ServiceName, std::shared_ptr<ServiceDispatcher>> m_dispatchers;
    std::mutex m_endpointMutex; ///< serialises changes of endpoints; guards m_targetServices
    absl::flat_hash_map<TargetId, ServiceName> m_targetServices;
};

} // namespace dandeliondock
