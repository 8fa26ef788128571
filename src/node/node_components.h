#pragma once

#include <dandeliondock/config/config_store.h>
#include <dandeliondock/core/bounded_ring.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/core/time_source.h>
#include <dandeliondock/http/client.h>
#include <dandeliondock/http/server.h>
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

namespace dandeliondock::impl {

/// \brief The parts of a node in the order in which they are made; each uses only parts above it, but through hooks.
///
/// \remark Threads that begin in one part call hooks of parts above it, which outlive them: stop() ends every thread
/// before the parts are destroyed.
struct NodeComponents
{
    NodeComponents(NodeSettings givenSettings, LogSink givenLog);

    NodeSettings settings;
    LogSink log;
    TimeSource time = systemTime();
    std::shared_ptr<MetricsRegistry> metrics = std::make_shared<MetricsRegistry>();
    std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>();
    StoreHooks store;
    TicketService tickets;
    ConfigStore config;
    std::atomic<std::int64_t> appliedUnixMs{0};
    std::shared_ptr<Router> router;
    EndpointRegistry endpoints;
    RolloutRecordCache rolloutBoard;
    std::shared_ptr<RelayCoordinator> hub;
    std::shared_ptr<LeaseManager> leaseKeeper;
    std::unique_ptr<StorePoller> poller; ///< in place of the tree, for measurements
    RolloutStore rolloutStore;
    std::unique_ptr<RolloutDuty> rolloutDuty;
    std::unique_ptr<ControlListener> controlListener;
    std::unique_ptr<ParentPoller> uplink;
    std::shared_ptr<BoundedRing<AttemptReport>> attemptReports;
    std::unique_ptr<TargetHealthMonitor> targetWatch;
    std::unique_ptr<OutcomeDispatcher> dispatcher;
    std::unique_ptr<Ingress> ingress;
    OperatorApi operatorApi;
    std::unique_ptr<HttpServer> operators;

    /// \brief Opens the listeners and starts the threads.
    [[nodiscard]] absl::Status start();

    /// \brief Graceful shutdown; true when no request was cut.
    bool stop();

    /// \brief The hooks through which the control threads reach the other parts.
    [[nodiscard]] ControlHooks controlHooks();

    /// \brief The hooks of the operators' listener.
    [[nodiscard]] OperatorHooks operatorHooks();

    /// \brief Called after every change of the configuration in force.
    void onConfigChange();

private:
    [[nodiscard]] ControlIdentity identity() const;
    [[nodiscard]] Endpoint localEndpoint() const;
    [[nodiscard]] RouterHooks routerHooks();
    [[nodiscard]] RolloutHooks rolloutHooks();
    [[nodiscard]] absl::Status startDistribution();
    [[nodiscard]] absl::Status startIngress();
    void startTargetWatch();
    void startDispatcher();
    void publishRollouts(const std::vector<RolloutRecord> &records);
    [[nodiscard]] TicketStatusInput ticketView(const std::vector<TicketNumber> &tickets);
    [[nodiscard]] Share shareOf(const RolloutRecord &record) const;
    [[nodiscard]] wire::NodeStatus status();
    void announceLeaving();
};

} // namespace dandeliondock::impl
