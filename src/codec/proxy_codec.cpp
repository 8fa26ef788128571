#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/codec/proxy_codec.h>
#include <dandeliondock/codec/record_codec.h>
#include <dandeliondock/core/checked_number.h>
#include <dandeliondock/settings/ip_address.h>

#include <proxy.pb.h>

namespace dandeliondock {

namespace {

std::int64_t encodeTime(WallTime time)
{
    return time.time_since_epoch().count();
}

absl::Status invalidRow(absl::string_view reason)
{
    return makeError(ErrorKind::InvalidRow, reason);
}

} // namespace

std::string encodeTargetRow(const Endpoint &endpoint)
{
    return encodeEndpoint(endpoint).SerializeAsString();
}

absl::StatusOr<Endpoint> decodeTargetRow(const Address &inboundAddress, absl::string_view bytes)
{
    const auto message = parseMessage<wire::EndpointRecord>(bytes, ErrorKind::InvalidRow, "the row of a target");
    if (!message.ok())
        return message.status();
    auto endpoint = decodeEndpoint(*message);
    if (!endpoint.ok())
        return endpoint.status();
    if (endpoint->controlAddress != inboundAddress || !parseIpEndpoint(inboundAddress.value()))
        return invalidRow("the inbound address must be the one of the row's key, with a port from 1 to 65535");
    if (!checkedCount(endpoint->slots.value()))
        return invalidRow("the number of slots is out of range");
    return endpoint;
}

std::string encodeServiceVersions(const ServiceVersions &versions)
{
    wire::ServiceVersionRow row;
    row.set_current(versions.current.value());
    if (versions.rollout) {
        const wire::RolloutRecord record = encodeRollout(versions.rollout->record);
        row.set_rollout(record.ticket());
        row.set_target(versions.rollout->target.value());
        row.set_started_ms(encodeTime(versions.rollout->startedAt));
        row.set_deadline_ms(encodeTime(versions.rollout->deadline));
        row.set_stage_since_ms(encodeTime(versions.rollout->stageStartedAt));
        row.set_stage(record.stage());
        row.set_state(record.state());
        row.set_reason(record.reason());
        row.set_driver(versions.rollout->driver.value());
        row.set_fence(versions.rollout->fence.value());
        row.set_notified(versions.rollout->isNotified);
    }
    return row.SerializeAsString();
}

absl::StatusOr<ServiceVersions> decodeServiceVersions(const ServiceName &service, absl::string_view bytes)
{
    const auto row = parseMessage<wire::ServiceVersionRow>(bytes, ErrorKind::InvalidRow, "the row of a service");
    if (!row.ok())
        return row.status();
    ServiceVersions versions{service, VersionName(row->current()), std::nullopt};
    if (row->rollout() == 0)
        return versions;
    wire::RolloutRecord message;
    message.set_ticket(row->rollout());
    message.set_service(service.value());
    message.set_stage(row->stage());
    message.set_state(row->state());
    message.set_reason(row->reason());
    const auto record = decodeRollout(message);
    if (!record.ok())
        return record.status();
    const auto startedAt = checkedTime(row->started_ms());
    const auto deadline = checkedTime(row->deadline_ms());
    const auto stageStartedAt = checkedTime(row->stage_since_ms());
    if (!startedAt || !deadline || !stageStartedAt)
        return invalidRow("a time of the rollout is out of range");
    versions.rollout = RolloutProgress{*record,
                                       VersionName(row->target()),
                                       *startedAt,
                                       *deadline,
                                       *stageStartedAt,
                                       Address(row->driver()),
                                       FencingToken(row->fence()),
                                       row->notified()};
    return versions;
}

std::string encodeOutcomeReport(const OutcomeReport &report)
{
    wire::OutcomeReport message;
    message.set_node(report.sender.node.value());
    message.set_incarnation(report.sender.incarnation.value());
    if (report.batch)
        *message.mutable_batch() = encodeOutcomes(*report.batch);
    return message.SerializeAsString();
}

absl::StatusOr<OutcomeReport> decodeOutcomeReport(absl::string_view bytes)
{
    const auto message = parseMessage<wire::OutcomeReport>(bytes, ErrorKind::InvalidMessage, "an outcome report");
    if (!message.ok())
        return message.status();
    OutcomeReport report{{NodeId(message->node()), Incarnation(message->incarnation())}, std::nullopt};
    if (!message->has_batch())
        return report;
    auto batch = decodeOutcomes(message->batch());
    if (!batch.ok())
        return batch.status();
    report.batch = *std::move(batch);
    return report;
}

} // namespace dandeliondock
