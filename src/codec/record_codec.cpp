#include <dandeliondock/codec/record_codec.h>

#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace dandeliondock {

namespace {

absl::Status invalidMessage(absl::string_view detail)
{
    return makeError(ErrorKind::InvalidMessage, detail);
}

wire::EndpointRecord::State encodeEndpointState(EndpointState state)
{
    switch (state) {
    case EndpointState::Starting:
        return wire::EndpointRecord::STATE_STARTING;
    case EndpointState::Serving:
        return wire::EndpointRecord::STATE_SERVING;
    case EndpointState::Leaving:
        return wire::EndpointRecord::STATE_LEAVING;
    case EndpointState::Gone:
        return wire::EndpointRecord::STATE_GONE;
    }
    return wire::EndpointRecord::STATE_UNSPECIFIED;
}

absl::StatusOr<EndpointState> decodeEndpointState(wire::EndpointRecord::State state)
{
    switch (state) {
    case wire::EndpointRecord::STATE_STARTING:
        return EndpointState::Starting;
    case wire::EndpointRecord::STATE_SERVING:
        return EndpointState::Serving;
    case wire::EndpointRecord::STATE_LEAVING:
        return EndpointState::Leaving;
    case wire::EndpointRecord::STATE_GONE:
        return EndpointState::Gone;
    default:
        return invalidMessage("endpoint.state is missing or unknown");
    }
}

wire::RolloutRecord::State encodeRolloutState(RolloutState state)
{
    switch (state) {
    case RolloutState::Running:
        return wire::RolloutRecord::STATE_RUNNING;
    case RolloutState::Completed:
        return wire::RolloutRecord::STATE_COMPLETED;
    case RolloutState::RolledBack:
        return wire::RolloutRecord::STATE_ROLLED_BACK;
    }
    return wire::RolloutRecord::STATE_UNSPECIFIED;
}

absl::StatusOr<RolloutState> decodeRolloutState(wire::RolloutRecord::State state)
{
    switch (state) {
    case wire::RolloutRecord::STATE_RUNNING:
        return RolloutState::Running;
    case wire::RolloutRecord::STATE_COMPLETED:
        return RolloutState::Completed;
    case wire::RolloutRecord::STATE_ROLLED_BACK:
        return RolloutState::RolledBack;
    default:
        return invalidMessage("rollout.state is missing or unknown");
    }
}

// Leaves out the latency buckets after the last one that is not 0.
void encodeSummary(const OutcomeSummary &summary, wire::OutcomeSummary &message)
{
    message.set_requests(summary.requests);
    message.set_failures(summary.failures);
    const auto lastNonZero = std::find_if(summary.latencyBuckets.rbegin(), summary.latencyBuckets.rend(),
                                          [](std::uint32_t count) { return count != 0; });
    message.mutable_latency_buckets()->Add(summary.latencyBuckets.begin(), lastNonZero.base());
}

absl::StatusOr<OutcomeSummary> decodeSummary(const wire::OutcomeSummary &message, absl::string_view field)
{
    OutcomeSummary summary;
    summary.requests = message.requests();
    summary.failures = message.failures();
    if (summary.failures > summary.requests)
        return invalidMessage(absl::StrCat(field, ".failures is greater than its requests"));
    if (message.latency_buckets_size() > static_cast<int>(outcomeLatencyBuckets))
        return invalidMessage(absl::StrCat(field, ".latency_buckets has too many entries"));
    std::copy(message.latency_buckets().begin(), message.latency_buckets().end(), summary.latencyBuckets.begin());
    return summary;
}

} // namespace

wire::EndpointRecord encodeEndpoint(const Endpoint &endpoint)
{
    wire::EndpointRecord message;
    message.set_target(endpoint.target.value());
    message.set_incarnation(endpoint.stamp.incarnation.value());
    message.set_sequence(endpoint.stamp.sequence.value());
    message.set_state(encodeEndpointState(endpoint.stamp.state));
    message.set_address(endpoint.address.value());
    message.set_control_address(endpoint.controlAddress.value());
    message.set_service(endpoint.service.value());
    message.set_version(endpoint.version.value());
    message.set_region(endpoint.region.value());
    message.set_data_centre(endpoint.dataCentre.value());
    message.set_slots(endpoint.slots.value());
    return message;
}

absl::StatusOr<Endpoint> decodeEndpoint(const wire::EndpointRecord &message)
{
    if (message.target().empty())
        return invalidMessage("endpoint.target is missing");
    if (message.service().empty())
        return invalidMessage("endpoint.service is missing");
    const absl::StatusOr<EndpointState> state = decodeEndpointState(message.state());
    if (!state.ok())
        return state.status();
    Endpoint endpoint;
    endpoint.target = TargetId(message.target());
    endpoint.stamp = {Incarnation(message.incarnation()), SequenceNumber(message.sequence()), *state};
    endpoint.address = Address(message.address());
    endpoint.controlAddress = Address(message.control_address());
    endpoint.service = ServiceName(message.service());
    endpoint.version = VersionName(message.version());
    endpoint.region = RegionName(message.region());
    endpoint.dataCentre = DataCentreName(message.data_centre());
    endpoint.slots = SlotCount(message.slots());
    return endpoint;
}

wire::RolloutRecord encodeRollout(const RolloutRecord &record)
{
    wire::RolloutRecord message;
    message.set_ticket(record.ticket.value());
    message.set_service(record.service.value());
    message.set_stage(record.stage.value());
    message.set_state(encodeRolloutState(record.state));
    message.set_reason(record.reason);
    return message;
}

absl::StatusOr<RolloutRecord> decodeRollout(const wire::RolloutRecord &message)
{
    if (message.ticket() == 0)
        return invalidMessage("rollout.ticket is missing");
    const absl::StatusOr<RolloutState> state = decodeRolloutState(message.state());
    if (!state.ok())
        return state.status();
    return RolloutRecord{TicketNumber(message.ticket()), ServiceName(message.service()), StageIndex(message.stage()),
                         *state, message.reason()};
}

wire::OutcomeBatch encodeOutcomes(const OutcomeBatch &batch)
{
    wire::OutcomeBatch message;
    message.set_sequence(batch.sequence.value());
    for (const RouteOutcomes &outcomes : batch.routes) {
        wire::RouteOutcomes *entry = message.add_routes();
        entry->set_ticket(outcomes.rollout.value());
        entry->set_route(outcomes.route.value());
        encodeSummary(outcomes.oldVersion, *entry->mutable_old_version());
        encodeSummary(outcomes.newVersion, *entry->mutable_new_version());
        entry->set_guard_stops(outcomes.guardStops);
    }
    return message;
}

absl::StatusOr<OutcomeBatch> decodeOutcomes(const wire::OutcomeBatch &message)
{
    if (message.sequence() == 0)
        return invalidMessage("outcomes.sequence is missing");
    OutcomeBatch batch;
    batch.sequence = SequenceNumber(message.sequence());
    for (const wire::RouteOutcomes &entry : message.routes()) {
        if (entry.route().empty())
            return invalidMessage("outcomes.routes.route is missing");
        const absl::StatusOr<OutcomeSummary> oldVersion = decodeSummary(entry.old_version(), "outcomes.old_version");
        if (!oldVersion.ok())
            return oldVersion.status();
        const absl::StatusOr<OutcomeSummary> newVersion = decodeSummary(entry.new_version(), "outcomes.new_version");
        if (!newVersion.ok())
            return newVersion.status();
        batch.routes.push_back({TicketNumber(entry.ticket()), RouteName(entry.route()), *oldVersion, *newVersion,
                                entry.guard_stops()});
    }
    return batch;
}

} // namespace dandeliondock
