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

/// \brief How a router reaches the rest of the node. Hooks must be callable from any thread.
struct RouterHooks
{
    TimeSource time;
    VersionSplitSource split;             ///< null: no rollout ever divides traffic
    std::function<RandomSource()> random; ///< a source of its own for each service
    /// Asks a target, within a bound, whether it takes work; null: with a stale view only proved targets are used.
    std::function<ProbeResult(const Endpoint &)> probe;
};

/// \brief Joins the routing decisions behind RoutingHooks.
///
/// \remark Every method is thread-safe. State is sharded by service: two services never wait for one lock.
class Router : public std::enable_shared_from_this<Router>
{
public:
    /// \param metrics must outlive the router and its sessions.
    [[nodiscard]] static std::shared_ptr<Router> create(PoolCaller self, RouterHooks hooks, MetricsRegistry &metrics);

    /// \brief Puts a configuration in force for later matches.
    /// \pre \c state is not null.
    void applyConfig(ConfigStatePtr state);

    /// \brief Whether requests are routed; false after a pause, until the parent has answered.
    void setReady(bool ready) noexcept { m_ready.store(ready); }

    /// \brief Takes over records of the endpoint directory.
    void applyEndpoints(absl::Span<const Endpoint> records);

    /// \brief Takes targets out that the directory dropped without a record.
    void removeEndpoints(absl::Span<const TargetId> targets);

    /// \brief Sets how many nodes of the region share its targets, from the endpoint directory.
    void setCallers(std::size_t callers);

    /// \brief Notes that this process runs and that setReady() reflects its last pause. Once called, requests are
    /// refused when the last call is older than pauseThreshold: a request may be the first to run after a pause.
    void recordHeartbeat();

    /// \brief Notes a whole exchange with the parent.
    void recordParentContact();

    /// \brief The route of a request; NotReady or NotFound when it cannot be routed.
    [[nodiscard]] absl::StatusOr<RouteMatch> match(absl::string_view host, absl::string_view path) const;

    /// \brief A claim on a target; waits at most until the deadline.
    /// \pre \c request.match came from match().
    [[nodiscard]] absl::StatusOr<std::shared_ptr<TargetSession>> select(const SelectionRequest &request);

    /// \brief The hooks of the request path; they keep the router alive.
    [[nodiscard]] RoutingHooks hooks();

private:
    Router(PoolCaller self, RouterHooks hooks, MetricsRegistry &metrics);

    [[nodiscard]] std::shared_ptr<ServiceDispatcher> gate(const ServiceName &service) const;
    [[nodiscard]] std::shared_ptr<ServiceDispatcher> gateToFill(const ServiceName &service);
    [[nodiscard]] std::shared_ptr<const RouteTable> table() const;
    [[nodiscard]] bool isCurrent() const;
    [[nodiscard]] ClaimRequest gateRequest(const SelectionRequest &request) const;
    [[nodiscard]] bool isStillInSplit(const TargetClaim &claim, const Service &service) const;
    [[nodiscard]] bool isProved(ServiceDispatcher &gate, const TargetClaim &claim);
    [[nodiscard]] std::shared_ptr<TargetSession> session(const std::shared_ptr<ServiceDispatcher> &gate,
                                                         TargetClaim claim);
    void applyEndpoint(const Endpoint &record);
    void countProbe(ProbeResult result);

    PoolCaller m_self;
    RouterHooks m_hooks;
    RoutingCounters m_counters;
    std::atomic<bool> m_ready{true};
    std::atomic<MonotonicTime> m_alive{MonotonicTime::max()}; ///< the last recordHeartbeat(); max before the first
    std::atomic<ViewFreshness> m_freshness{};
    mutable std::shared_mutex m_mutex; ///< guards the table and the map of gates, not the gates
    std::shared_ptr<const RouteTable> m_table;
    absl::flat_hash_map<ServiceName, std::shared_ptr<ServiceDispatcher>> m_gates;
    std::mutex m_updates; ///< held by the writers of endpoints
    absl::flat_hash_map<TargetId, ServiceName> m_services;
};

} // namespace dandeliondock
