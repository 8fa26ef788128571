#pragma once

#include <dandeliondock/config/config_state.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/time_source.h>
#include <dandeliondock/distribution/child_registry.h>
#include <dandeliondock/distribution/poll.h>
#include <dandeliondock/http/client.h>
#include <dandeliondock/rollout/outcome_aggregator.h>
#include <dandeliondock/store/store_hooks.h>

#include <functional>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Endpoint records that changed, up to a position.
struct EndpointChanges
{
    std::vector<Endpoint> records;
    ChangeCursor cursor;
};

/// \brief What the control threads need of the other modules.
///
/// \remark Every hook must be set and callable from any thread. A hook must not call RelayCoordinator::wakeHeldPolls()
/// while it holds a lock that another hook takes.
struct ControlHooks
{
    std::function<ConfigStatePtr()> config;
    std::function<absl::Status(const Revision &)> applyRevision;
    std::function<void(ConfigState)> applySnapshot;

    std::function<DirectoryDigest()> directoryDigest;
    std::function<ChangeCursor()> endpointCursor;
    /// For a node of the region: everything in the own region, a summary across the metered link.
    std::function<EndpointChanges(ChangeCursor, const RegionName &)> endpointChanges;
    std::function<std::vector<Endpoint>(const RegionName &)> allEndpoints;
    std::function<bool(const std::vector<Endpoint> &)> mergeEndpoints; ///< true when something changed
    std::function<std::vector<Address>()> controlAddresses;            ///< of nodes in the own region
    std::function<void(const LostChild &)> childLost;
    std::function<std::vector<RegionName>()> reachableRegions;
    std::function<void(const std::vector<RegionName> &)> recordRegionContact; ///< news of these regions arrived
    std::function<void()> upstreamResponded;                                  ///< a whole exchange with the parent

    std::function<std::vector<RolloutRecord>()> rollouts;
    std::function<bool(const std::vector<RolloutRecord> &)> mergeRollouts; ///< true when something changed

    std::function<std::optional<OutcomeBatch>()> pendingOutcomes; ///< the same batch until outcomesAcknowledged()
    std::function<void(SequenceNumber)> outcomesAcknowledged;
    std::function<void(const ChildId &, const OutcomeBatch &)> takeOutcomes; ///< a child's batch, once
    std::function<void()> parentChanged;                                     ///< before the next batch is sent

    std::function<void(bool)> readyChanged; ///< whether what this node holds counts as current
    std::function<void()> onLivenessTick;   ///< this process runs and has noticed its last pause, if any

    std::function<void()> headAdvanced; ///< the store holds a revision that this node lacks

    StoreHooks store;
    std::function<SendResult(const Address &, const HttpRequest &, const SendOptions &)> send;
    TimeSource time;
    std::function<RandomSource()> random; ///< a source for the calling thread
    LogSink log;
    MetricsRegistry *metrics = nullptr; ///< outlives the threads
};

/// \brief Hooks of a node without endpoints, rollouts and outcomes: those members do nothing; the others stay empty.
[[nodiscard]] ControlHooks noopControlHooks();

/// \brief What a node says of itself and its limits.
struct ControlIdentity
{
    DeploymentName deployment;
    NodeId node;
    Incarnation incarnation;
    RegionName region;
    DataCentreName dataCentre;
    RegionName storeRegion;
    Address controlAddress;
    std::vector<Address> peers;
    std::size_t fanOut = defaultFanOut;
    Milliseconds hold{1'500};
};

} // namespace dandeliondock
