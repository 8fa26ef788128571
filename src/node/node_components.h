#pragma once

#include <dandeliondock/config/config_store.h>
#include <dandeliondock/core/bounded_ring.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/log_rate_limiter.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/core/time_source.h>
#include <dandeliondock/http/client.h>
#include <dandeliondock/http/operator_server.h>
#include <dandeliondock/http/shared_receive_account.h>
#include <dandeliondock/node/control_listener.h>
#include <dandeliondock/node/endpoint_registry.h>
#include <dandeliondock/node/ingress.h>
#include <dandeliondock/node/lease_manager.h>
#include <dandeliondock/node/operator_api.h>
#include <dandeliondock/node/outcome_dispatcher.h>
#include <dandeliondock/node/parent_poller.h>
#include <dandeliondock/node/relay_coordinator.h>
#include <dandeliondock/node/rollout_duty.h>
#include <dandeliondock/node/rollout_record_cache.h>
#include <dandeliondock/node/rollout_store.h>
#include <dandeliondock/node/store_poller.h>
#include <dandeliondock/node/target_health_monitor.h>
#include <dandeliondock/node/ticket_service.h>
#include <dandeliondock/routing/router.h>
#include <dandeliondock/settings/node_settings.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace dandeliondock::impl {

/// \brief Components of a node in construction order; each directly uses only components declared before it, and calls
/// later ones through hooks.
///
/// \remark Threads of one component call hooks that use other components. stop() ends every thread before the
/// components are destroyed.
struct NodeComponents
{
    NodeComponents(NodeSettings givenSettings, LogSink givenLog);

    NodeSettings settings;
    LogSink log;
    TimeSource time = systemTime();
    std::shared_ptr<MetricsRegistry> metrics = std::make_shared<MetricsRegistry>();
    std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>();
    std::mutex shedLogMutex; ///< of shedLogLimiter
    LogRateLimiter shedLogLimiter;
    std::shared_ptr<SharedReceiveAccount> receiveAccount; ///< of all listeners
    StoreHooks store;
    TicketService tickets;
    ConfigStore config;
    std::atomic<std::int64_t> appliedUnixMs{0};
    std::shared_ptr<Router> router;
    EndpointRegistry endpoints;
    RolloutRecordCache rolloutRecords;
    std::shared_ptr<RelayCoordinator> coordinator;
    std::shared_ptr<LeaseManager> leaseManager;
    /// Replaces the relay tree in polling mode, which serves as a baseline for measurements.
    std::unique_ptr<StorePoller> storePoller;
    RolloutStore rolloutStore;
    std::unique_ptr<RolloutDuty> rolloutDuty;
    std::unique_ptr<ControlListener> controlListener;
    std::unique_ptr<ParentPoller> parentPoller;
    std::shared_ptr<BoundedRing<AttemptReport>> attemptReports;
    std::unique_ptr<TargetHealthMonitor> targetHealthMonitor;
    std::unique_ptr<OutcomeDispatcher> dispatcher;
    std::unique_ptr<Ingress> ingress;
    OperatorApi operatorApi;
    std::unique_ptr<OperatorServer> operatorServer;

    /// \brief Opens the listeners and starts the threads; returns an error when a listener cannot be opened.
    [[nodiscard]] absl::Status start();

    /// \brief Shuts down gracefully.
    /// \return True when every request in progress was completed.
    bool stop();

    /// \brief Returns the hooks through which the control threads use the other components.
    [[nodiscard]] ControlHooks controlHooks();

    /// \brief Returns the hooks of the operators' API.
    [[nodiscard]] OperatorHooks operatorHooks();

    /// \brief Applies the current configuration to the router; called after every change of the configuration.
    void onConfigChange();

private:
    [[nodiscard]] ControlIdentity identity() const;
    [[nodiscard]] Endpoint localEndpoint() const;
    [[nodiscard]] RouterHooks routerHooks();
    [[nodiscard]] RolloutHooks rolloutHooks();
    [[nodiscard]] absl::Status startDistribution();
    [[nodiscard]] absl::Status startIngress();
    void startTargetHealthMonitor();
    void startDispatcher();
    void publishRollouts(const std::vector<RolloutRecord> &records);
    [[nodiscard]] TicketStatusInput ticketStatusInput(const std::vector<TicketNumber> &tickets);
    [[nodiscard]] Share shareOf(const RolloutRecord &record) const;
    [[nodiscard]] wire::NodeStatus status();
    void announceLeaving();
    [[nodiscard]] ReceiveLimits receiveLimits() const;
    [[nodiscard]] ConnectionCount maxConnections() const;
    void recordShed(const ShedHolder &holder, const ReceiveTotals &totals);
};

} // namespace dandeliondock::impl
