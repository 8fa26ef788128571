#include "node_components.h"

#include <dandeliondock/codec/control_codec.h>

#include <utility>

namespace dandeliondock::impl {

ControlHooks NodeComponents::controlHooks()
{
    ControlHooks hooks = noopControlHooks();
    hooks.config = [this] { return config.current(); };
    hooks.applyRevision = [this](const Revision &revision) {
        absl::Status status = config.apply(revision);
        onConfigChange();
        return status;
    };
    hooks.applySnapshot = [this](ConfigState state) {
        config.applySnapshot(std::move(state));
        onConfigChange();
    };
    hooks.directoryDigest = [this] { return endpoints.digest(); };
    hooks.endpointCursor = [this] { return endpoints.cursor(); };
    hooks.endpointChanges = [this](ChangeCursor after, const RegionName &receiver) {
        return endpoints.changes(after, receiver);
    };
    hooks.allEndpoints = [this](const RegionName &receiver) { return endpoints.all(receiver); };
    hooks.mergeEndpoints = [this](const std::vector<Endpoint> &records) { return endpoints.merge(records); };
    hooks.controlAddresses = [this] { return endpoints.sampleControlAddresses(); };
    hooks.childLost = [this](const LostChild &child) { endpoints.markLost(child.controlAddress); };
    hooks.reachableRegions = [this] { return endpoints.reachableRegions(); };
    hooks.recordRegionContact = [this](const std::vector<RegionName> &regions) {
        endpoints.recordRegionContact(regions);
    };
    hooks.upstreamResponded = [this] { router->recordParentContact(); };
    hooks.rollouts = [this] { return rolloutRecords.records(); };
    hooks.mergeRollouts = [this](const std::vector<RolloutRecord> &records) {
        const std::vector<RolloutRecord> changed = rolloutRecords.merge(records);
        publishRollouts(changed);
        return !changed.empty();
    };
    hooks.pendingOutcomes = [this] { return rolloutRecords.outcomes(); };
    hooks.outcomesAcknowledged = [this](SequenceNumber sequence) {
        if (rolloutDuty->acknowledge(sequence))
            rolloutRecords.outcomesAcknowledged(sequence);
    };
    hooks.acceptOutcomes = [this](const ChildId &child, const OutcomeBatch &batch) {
        if (!rolloutDuty->addChildBatch(child, batch))
            metrics->counter("dandeliondock_outcome_batches_dropped_total").add();
    };
    hooks.onParentChanged = [this] {
        rolloutRecords.dropOutcomes();
        (void)rolloutDuty->onParentChanged();
    };
    hooks.readyChanged = [this](bool ready) { router->setReady(ready); };
    hooks.onLivenessTick = [this] { router->recordHeartbeat(); };
    hooks.headAdvanced = [this] {
        if (leaseManager)
            leaseManager->requestHeadRead();
    };
    hooks.store = store;
    hooks.send = [this](const Address &to, const HttpRequest &request, const SendOptions &options) {
        return client->send(to, request, options);
    };
    hooks.time = time;
    hooks.random = systemRandom;
    hooks.log = log;
    hooks.metrics = metrics.get();
    return hooks;
}

// The duty's ring rejects records when it is full. The record cache keeps them, and they are passed to the duty when a
// later merge changes them.
void NodeComponents::publishRollouts(const std::vector<RolloutRecord> &records)
{
    for (const RolloutRecord &record : records) {
        if (!rolloutDuty->merge(record))
            metrics->counter("dandeliondock_rollout_records_delayed_total").add();
    }
}

OperatorHooks NodeComponents::operatorHooks()
{
    OperatorHooks hooks;
    hooks.file = [this](const Ticket &ticket) {
        absl::StatusOr<FiledTicket> filed = tickets.file(ticket);
        if (filed.ok())
            coordinator->recordStoreHead(filed->revision);
        return filed;
    };
    hooks.accepted = [this](TicketNumber number) { return tickets.accepted(number); };
    hooks.list = [this](TicketNumber from, std::size_t limit) { return tickets.list(from, limit); };
    hooks.statusInput = [this](const std::vector<TicketNumber> &numbers) { return ticketStatusInput(numbers); };
    hooks.status = [this] { return status(); };
    hooks.metricsText = [this] { return metrics->renderPrometheus(); };
    hooks.keyMatches = [this](absl::string_view key) { return equalInConstantTime(key, settings.operatorKey); };
    hooks.log = log;
    return hooks;
}

Share NodeComponents::shareOf(const RolloutRecord &record) const
{
    if (record.state == RolloutState::RolledBack)
        return noShare;
    if (record.state == RolloutState::Completed)
        return fullShare;
    const ConfigStatePtr state = config.current();
    const Service *service = state->service(record.service);
    const std::optional<VersionSplit> split = service == nullptr ? std::nullopt : rolloutDuty->split(*service);
    return split && split->rollout == record.ticket ? split->newShare : noShare;
}

// Merges the rollout rows of the store with the records of the relay tree, because a rollback may reach the tree before
// the store.
TicketStatusInput NodeComponents::ticketStatusInput(const std::vector<TicketNumber> &numbers)
{
    TicketStatusInput input;
    input.now = time.wall();
    const AcknowledgementSum sum = coordinator->treeAcknowledgement();
    input.acknowledged = {sum.lowest, sum.nodes.value()};
    if (storePoller)
        input.acknowledged = {config.current()->revision(), 1};
    const auto rows = readRolloutRows(store, numbers);
    input.storeAvailable = rows.ok();
    std::vector<RolloutRecord> records = rolloutRecords.records();
    for (const RolloutRow &row : rows.ok() ? *rows : std::vector<RolloutRow>()) {
        bool known = false;
        for (RolloutRecord &record : records) {
            if (record.ticket != row.record.ticket || record.service != row.record.service)
                continue;
            record = mergeRecords(record, row.record);
            known = true;
        }
        if (!known)
            records.push_back(row.record);
    }
    for (const RolloutRecord &record : records)
        input.rollouts.push_back({record, shareOf(record)});
    return input;
}

wire::NodeStatus NodeComponents::status()
{
    wire::NodeStatus message;
    message.set_node(settings.node.value());
    message.set_deployment(settings.deployment.value());
    message.set_region(settings.region.value());
    message.set_data_centre(settings.dataCentre.value());
    message.set_revision(config.current()->revision().value());
    message.set_revision_applied_unix_ms(appliedUnixMs);
    message.set_ready(storePoller != nullptr || coordinator->ready());
    for (const NodeId &node : coordinator->path())
        message.add_path(node.value());
    message.set_children(static_cast<std::uint32_t>(coordinator->children()));
    if (leaseManager) {
        for (const RowKey &key : leaseManager->heldLeases())
            message.add_leases(key.value());
    }
    const AcknowledgementSum sum = coordinator->treeAcknowledgement();
    message.mutable_acknowledgement()->set_lowest_revision(sum.lowest.value());
    message.mutable_acknowledgement()->set_nodes(sum.nodes.value());
    for (const Endpoint &endpoint : endpoints.all(settings.region))
        *message.add_endpoints() = encodeEndpoint(endpoint);
    for (const RolloutRecord &record : rolloutRecords.records())
        *message.add_rollouts() = encodeRollout(record);
    return message;
}

} // namespace dandeliondock::impl
