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

/// \brief Endpoint records that changed, with the cursor from which the next changes are read.
struct EndpointChanges
{
    std::vector<Endpoint> records;
    ChangeCursor cursor;
};

/// \brief Hooks through which the control threads use the other modules of the node.
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
    /// Changes after the cursor, for a node in the given region: every record within this node's own region, and only
    /// a summary of it for another region, which is reached over a metered link.
    std::function<EndpointChanges(ChangeCursor, const RegionName &)> endpointChanges;
    std::function<std::vector<Endpoint>(const RegionName &)> allEndpoints;
    std::function<bool(const std::vector<Endpoint> &)> mergeEndpoints; ///< true when something changed
    std::function<std::vector<Address>()> controlAddresses;            ///< a sample of the nodes in the own region
    std::function<void(const LostChild &)> childLost;
    std::function<std::vector<RegionName>()> reachableRegions;
    std::function<void(const std::vector<RegionName> &)> recordRegionContact; ///< updates of these regions arrived
    std::function<void()> upstreamResponded; ///< a poll of the parent, or as root a read of the store, succeeded

    std::function<std::vector<RolloutRecord>()> rollouts;
    std::function<bool(const std::vector<RolloutRecord> &)> mergeRollouts; ///< true when something changed

    /// Returns the same batch until outcomesAcknowledged().
    std::function<std::optional<OutcomeBatch>()> pendingOutcomes;
    std::function<void(SequenceNumber)> outcomesAcknowledged;
    /// Called once for each batch of a child.
    std::function<void(const ChildId &, const OutcomeBatch &)> acceptOutcomes;
    std::function<void()> onParentChanged; ///< called before the first batch is sent to the new parent

    std::function<void(bool)> readyChanged; ///< called with whether the data of this node is confirmed as current
    std::function<void()> onLivenessTick;   ///< called every 500 ms after the check for a process pause

    std::function<void()> headAdvanced; ///< called when the store holds a revision that is not applied here

    StoreHooks store;
    std::function<SendResult(const Address &, const HttpRequest &, const SendOptions &)> send;
    TimeSource time;
    std::function<RandomSource()> random; ///< returns a random source for the calling thread
    LogSink log;
    MetricsRegistry *metrics = nullptr; ///< must outlive the threads
};

/// \brief Returns hooks whose endpoint, rollout, outcome and state callbacks do nothing; the other members stay empty.
[[nodiscard]] ControlHooks noopControlHooks();

/// \brief Identity of a node in the relay tree, its configured peers and the limits of its polls.
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
