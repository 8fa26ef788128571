#include <dandeliondock/codec/control_codec.h>

#include <dandeliondock/codec/config_codec.h>
#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

#include <store.pb.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr std::uint32_t maxHoldMs = 60'000;

absl::Status invalidMessage(absl::string_view detail)
{
    return makeError(ErrorKind::InvalidMessage, detail);
}

absl::Status checkDeployment(const std::string &received, const DeploymentName &expected)
{
    if (received == expected.value())
        return absl::OkStatus();
    return makeError(ErrorKind::WrongDeployment, absl::StrCat("the message is of deployment '", received,
                                                              "', this node of '", expected.value(), "'"));
}

wire::PollAnswer::Result encodeResult(PollResult result)
{
    switch (result) {
    case PollResult::Attached:
        return wire::PollAnswer::RESULT_ATTACHED;
    case PollResult::Full:
        return wire::PollAnswer::RESULT_FULL;
    case PollResult::NoPath:
        return wire::PollAnswer::RESULT_NO_PATH;
    case PollResult::WrongDeployment:
        return wire::PollAnswer::RESULT_WRONG_DEPLOYMENT;
    case PollResult::Leaving:
        return wire::PollAnswer::RESULT_LEAVING;
    }
    return wire::PollAnswer::RESULT_UNSPECIFIED;
}

absl::StatusOr<PollResult> decodeResult(wire::PollAnswer::Result result)
{
    switch (result) {
    case wire::PollAnswer::RESULT_ATTACHED:
        return PollResult::Attached;
    case wire::PollAnswer::RESULT_FULL:
        return PollResult::Full;
    case wire::PollAnswer::RESULT_NO_PATH:
        return PollResult::NoPath;
    case wire::PollAnswer::RESULT_WRONG_DEPLOYMENT:
        return PollResult::WrongDeployment;
    case wire::PollAnswer::RESULT_LEAVING:
        return PollResult::Leaving;
    default:
        return invalidMessage("poll answer: result is missing or unknown");
    }
}

void encodeAcknowledgementSum(const AcknowledgementSum &sum, wire::AcknowledgementSum &message)
{
    message.set_lowest_revision(sum.lowest.value());
    message.set_nodes(sum.nodes.value());
}

AcknowledgementSum decodeAcknowledgementSum(const wire::AcknowledgementSum &message)
{
    return {RevisionNumber(message.lowest_revision()), NodeCount(message.nodes())};
}

// Appends each decoded entry of a repeated field to a list; returns the first error.
template <typename Messages, typename Item, typename Decode>
absl::Status decodeList(const Messages &messages, std::vector<Item> &items, Decode decode)
{
    for (const auto &message : messages) {
        absl::StatusOr<Item> item = decode(message);
        if (!item.ok())
            return item.status();
        items.push_back(*std::move(item));
    }
    return absl::OkStatus();
}

absl::Status checkPollRequest(const wire::PollRequest &message)
{
    if (message.node().empty())
        return invalidMessage("poll: node is missing");
    if (message.region().empty())
        return invalidMessage("poll: region is missing");
    if (message.data_centre().empty())
        return invalidMessage("poll: data_centre is missing");
    if (message.control_address().empty())
        return invalidMessage("poll: control_address is missing");
    if (message.acknowledgement().nodes() == 0)
        return invalidMessage("poll: acknowledgement.nodes is 0 and must count the sender");
    if (message.acknowledgement().lowest_revision() > message.revision())
        return invalidMessage("poll: acknowledgement.lowest_revision is greater than revision");
    if (message.hold_ms() > maxHoldMs)
        return invalidMessage("poll: hold_ms is greater than 60000");
    return absl::OkStatus();
}

// Copies the fields whose decoding cannot fail.
PollRequest copyPollRequestFields(const wire::PollRequest &message)
{
    PollRequest request;
    request.deployment = DeploymentName(message.deployment());
    request.node = NodeId(message.node());
    request.incarnation = Incarnation(message.incarnation());
    request.region = RegionName(message.region());
    request.dataCentre = DataCentreName(message.data_centre());
    request.controlAddress = Address(message.control_address());
    request.revision = RevisionNumber(message.revision());
    request.directoryDigest = DirectoryDigest(message.directory_digest());
    request.acknowledgement = decodeAcknowledgementSum(message.acknowledgement());
    request.leaving = message.leaving();
    request.hold = Milliseconds(message.hold_ms());
    request.fullEndpoints = message.full_endpoints();
    request.resynchronise = message.resynchronise();
    request.knownHead = RevisionNumber(message.known_head());
    return request;
}

// Copies the fields whose decoding cannot fail.
PollAnswer copyPollAnswerFields(const wire::PollAnswer &message)
{
    PollAnswer response;
    for (const std::string &node : message.path())
        response.path.emplace_back(node);
    for (const std::string &address : message.redirects())
        response.redirects.emplace_back(address);
    response.snapshotNeeded = message.snapshot_needed();
    response.revision = RevisionNumber(message.revision());
    response.outcomeSequence = SequenceNumber(message.outcome_sequence());
    response.directoryDigest = DirectoryDigest(message.directory_digest());
    response.retryAfter = Milliseconds(message.retry_after_ms());
    response.grandparent = Address(message.grandparent());
    response.region = RegionName(message.region());
    for (const std::string &region : message.contacts())
        response.recentRegions.emplace_back(region);
    if (message.has_acknowledgement())
        response.acknowledgement = decodeAcknowledgementSum(message.acknowledgement());
    return response;
}

absl::Status checkRevisionOrder(const std::vector<Revision> &revisions)
{
    for (std::size_t i = 1; i < revisions.size(); ++i) {
        if (revisions[i].number.value() != revisions[i - 1].number.value() + 1)
            return invalidMessage("poll answer: revisions are not consecutive");
    }
    return absl::OkStatus();
}

} // namespace

std::string encodePollRequest(const PollRequest &request)
{
    wire::PollRequest message;
    message.set_deployment(request.deployment.value());
    message.set_node(request.node.value());
    message.set_incarnation(request.incarnation.value());
    message.set_region(request.region.value());
    message.set_data_centre(request.dataCentre.value());
    message.set_control_address(request.controlAddress.value());
    message.set_revision(request.revision.value());
    message.set_directory_digest(request.directoryDigest.value());
    encodeAcknowledgementSum(request.acknowledgement, *message.mutable_acknowledgement());
    if (request.outcomes)
        *message.mutable_outcomes() = encodeOutcomes(*request.outcomes);
    for (const Endpoint &endpoint : request.endpoints)
        *message.add_endpoints() = encodeEndpoint(endpoint);
    for (const RolloutRecord &record : request.rollouts)
        *message.add_rollouts() = encodeRollout(record);
    message.set_leaving(request.leaving);
    message.set_hold_ms(static_cast<std::uint32_t>(request.hold.count()));
    message.set_full_endpoints(request.fullEndpoints);
    message.set_resynchronise(request.resynchronise);
    message.set_known_head(request.knownHead.value());
    return message.SerializeAsString();
}

absl::StatusOr<PollRequest> decodePollRequest(absl::string_view bytes, const DeploymentName &deployment)
{
    const auto message = parseMessage<wire::PollRequest>(bytes, ErrorKind::InvalidMessage, "the body of the poll");
    if (!message.ok())
        return message.status();
    if (absl::Status status = checkDeployment(message->deployment(), deployment); !status.ok())
        return status;
    if (absl::Status status = checkPollRequest(*message); !status.ok())
        return status;
    PollRequest request = copyPollRequestFields(*message);
    if (message->has_outcomes()) {
        absl::StatusOr<OutcomeBatch> outcomes = decodeOutcomes(message->outcomes());
        if (!outcomes.ok())
            return outcomes.status();
        request.outcomes = *std::move(outcomes);
    }
    absl::Status status = decodeList(message->endpoints(), request.endpoints, decodeEndpoint);
    if (status.ok())
        status = decodeList(message->rollouts(), request.rollouts, decodeRollout);
    if (!status.ok())
        return status;
    return request;
}

std::string encodePollAnswer(const PollAnswer &response)
{
    wire::PollAnswer message;
    message.set_result(encodeResult(response.result));
    for (const NodeId &node : response.path)
        message.add_path(node.value());
    for (const Address &address : response.redirects)
        message.add_redirects(address.value());
    for (const Revision &revision : response.revisions)
        *message.add_revisions() = encodeRevision(revision);
    message.set_snapshot_needed(response.snapshotNeeded);
    message.set_revision(response.revision.value());
    message.set_outcome_sequence(response.outcomeSequence.value());
    message.set_directory_digest(response.directoryDigest.value());
    for (const Endpoint &endpoint : response.endpoints)
        *message.add_endpoints() = encodeEndpoint(endpoint);
    for (const RolloutRecord &record : response.rollouts)
        *message.add_rollouts() = encodeRollout(record);
    message.set_retry_after_ms(static_cast<std::uint32_t>(response.retryAfter.count()));
    if (response.acknowledgement)
        encodeAcknowledgementSum(*response.acknowledgement, *message.mutable_acknowledgement());
    message.set_grandparent(response.grandparent.value());
    message.set_region(response.region.value());
    for (const RegionName &region : response.recentRegions)
        message.add_contacts(region.value());
    return message.SerializeAsString();
}

absl::StatusOr<PollAnswer> decodePollAnswer(absl::string_view bytes)
{
    const auto message = parseMessage<wire::PollAnswer>(bytes, ErrorKind::InvalidMessage, "the answer to the poll");
    if (!message.ok())
        return message.status();
    const absl::StatusOr<PollResult> result = decodeResult(message->result());
    if (!result.ok())
        return result.status();
    PollAnswer response = copyPollAnswerFields(*message);
    response.result = *result;
    absl::Status status = decodeList(message->revisions(), response.revisions, decodeRevision);
    if (status.ok())
        status = checkRevisionOrder(response.revisions);
    if (status.ok())
        status = decodeList(message->endpoints(), response.endpoints, decodeEndpoint);
    if (status.ok())
        status = decodeList(message->rollouts(), response.rollouts, decodeRollout);
    if (!status.ok())
        return status;
    return response;
}

std::string encodeSnapshotRequest(const SnapshotRequest &request)
{
    wire::SnapshotRequest message;
    message.set_deployment(request.deployment.value());
    message.set_node(request.node.value());
    message.set_revision(request.revision.value());
    message.set_region(request.region.value());
    return message.SerializeAsString();
}

absl::StatusOr<SnapshotRequest> decodeSnapshotRequest(absl::string_view bytes, const DeploymentName &deployment)
{
    const auto message = parseMessage<wire::SnapshotRequest>(bytes, ErrorKind::InvalidMessage, "the snapshot request");
    if (!message.ok())
        return message.status();
    if (absl::Status status = checkDeployment(message->deployment(), deployment); !status.ok())
        return status;
    if (message->node().empty())
        return invalidMessage("snapshot request: node is missing");
    return SnapshotRequest{DeploymentName(message->deployment()), NodeId(message->node()),
                           RevisionNumber(message->revision()), RegionName(message->region())};
}

} // namespace dandeliondock
