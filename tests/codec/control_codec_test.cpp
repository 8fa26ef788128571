#include <dandeliondock/codec/control_codec.h>
#include <dandeliondock/codec/row_codec.h>
#include <dandeliondock/codec/snapshot_cache.h>
#include <dandeliondock/codec/snapshot_codec.h>
#include <dandeliondock/core/error.h>

#include <absl/strings/match.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

const DeploymentName deployment("test");

Endpoint endpointOf(std::uint64_t number)
{
    Endpoint endpoint;
    endpoint.target = TargetId("t" + std::to_string(number));
    endpoint.stamp = {Incarnation(number), SequenceNumber(number + 1), static_cast<EndpointState>(number % 4)};
    endpoint.address = Address("127.0.0.1:1");
    endpoint.service = ServiceName("ledger");
    endpoint.slots = SlotCount(20);
    return endpoint;
}

RolloutRecord recordOf(std::uint64_t number)
{
    return {TicketNumber(number + 1), ServiceName("ledger"), StageIndex(2), static_cast<RolloutState>(number % 3),
            "slow"};
}

OutcomeBatch batchOf(std::uint64_t number)
{
    OutcomeSummary summary;
    summary.requests = number + 2;
    summary.failures = number;
    summary.latencyBuckets[number % outcomeLatencyBuckets] = 3;
    return {SequenceNumber(number + 1), {{TicketNumber(1), RouteName("orders"), summary, OutcomeSummary()}}};
}

PollRequest requestOf(std::uint64_t number)
{
    PollRequest request;
    request.deployment = deployment;
    request.node = NodeId("n1");
    request.incarnation = Incarnation(number);
    request.region = RegionName("east");
    request.dataCentre = DataCentreName("e1");
    request.controlAddress = Address("127.0.0.1:2");
    request.revision = RevisionNumber(number);
    request.directoryDigest = DirectoryDigest(number * 7);
    request.acknowledgement = {RevisionNumber(number), NodeCount(3)};
    request.outcomes = batchOf(number);
    request.endpoints = {endpointOf(number)};
    request.rollouts = {recordOf(number)};
    request.hold = Milliseconds(1'500);
    return request;
}

PollAnswer answerOf(std::uint64_t number)
{
    PollAnswer answer;
    answer.result = PollResult::Attached;
    answer.path = {NodeId("root"), NodeId("n1")};
    answer.redirects = {Address("127.0.0.1:3")};
    answer.revisions = {{RevisionNumber(number + 1), {}, WallTime()}, {RevisionNumber(number + 2), {}, WallTime()}};
    answer.revision = RevisionNumber(number + 2);
    answer.endpoints = {endpointOf(number)};
    answer.rollouts = {recordOf(number)};
    answer.acknowledgement = AcknowledgementSum{RevisionNumber(number), NodeCount(9)};
    answer.grandparent = Address("127.0.0.1:4");
    return answer;
}

ConfigState stateOf(std::uint64_t number)
{
    Ticket ticket;
    ticket.number = TicketNumber(1);
    Service service;
    service.name = ServiceName("ledger");
    service.version = VersionName("v" + std::to_string(number));
    ticket.resources = {Version{service.name, service.version}, service};
    return *ConfigState().apply({RevisionNumber(1), ticket, WallTime()});
}

std::string damage(std::string bytes, const std::vector<std::pair<std::uint16_t, std::uint8_t>> &changes, bool cut)
{
    for (const auto &[position, value] : changes) {
        if (!bytes.empty())
            bytes[position % bytes.size()] = static_cast<char>(value);
    }
    if (cut && !changes.empty())
        bytes.resize(changes.front().first % (bytes.size() + 1));
    return bytes;
}

using Changes = std::vector<std::pair<std::uint16_t, std::uint8_t>>;

template <typename Decoded>
bool decodesOrFailsWell(const Decoded &decoded)
{
    if (decoded.ok())
        return true;
    const ErrorKind kind = errorKind(decoded.status());
    return kind != ErrorKind::Internal && !decoded.status().message().empty();
}

} // namespace

// Guards against a field that one side writes and the other does not read.
TEST_CASE("messages between nodes survive encoding and decoding", "[codec]")
{
    rc::prop("poll request and answer are unchanged", [](std::uint32_t number) {
        RC_ASSERT(*decodePollRequest(encodePollRequest(requestOf(number)), deployment) == requestOf(number));
        RC_ASSERT(*decodePollAnswer(encodePollAnswer(answerOf(number))) == answerOf(number));
        const SnapshotRequest request{deployment, NodeId("n1"), RevisionNumber(number), RegionName("east")};
        RC_ASSERT(*decodeSnapshotRequest(encodeSnapshotRequest(request), deployment) == request);
        const LeaseRow lease{NodeId("n1"), Address("a"), FencingToken(number + 1), WallTime(Milliseconds(number))};
        RC_ASSERT(*decodeLeaseRow({RowKey("lease/root/0"), RowVersion(1), encodeLeaseRow(lease)}) == lease);
        RC_ASSERT(*decodeSnapshot(encodeSnapshot(stateOf(number))) == stateOf(number));
    });
}

// Guards against damaged bytes that crash a node, pass as a message of another deployment or lack a typed error.
TEST_CASE("damaged messages decode to a valid message or a typed error", "[codec]")
{
    rc::prop("every decoder", [](std::uint32_t number, const Changes &changes, bool cut) {
        const auto request = decodePollRequest(damage(encodePollRequest(requestOf(number)), changes, cut), deployment);
        RC_ASSERT(decodesOrFailsWell(request));
        if (request.ok()) {
            RC_ASSERT(request->deployment == deployment);
            RC_ASSERT(request->acknowledgement.lowest <= request->revision);
        }
        const auto answer = decodePollAnswer(damage(encodePollAnswer(answerOf(number)), changes, cut));
        RC_ASSERT(decodesOrFailsWell(answer));
        const auto snapshot = decodeSnapshot(damage(encodeSnapshot(stateOf(number)), changes, cut));
        RC_ASSERT(decodesOrFailsWell(snapshot));
        const LeaseRow lease{NodeId("n1"), Address("a"), FencingToken(number + 1), WallTime()};
        const auto row =
                decodeLeaseRow({RowKey("lease/root/0"), RowVersion(1), damage(encodeLeaseRow(lease), changes, cut)});
        RC_ASSERT(decodesOrFailsWell(row));
    });
    rc::prop("arbitrary bytes", [](const std::string &bytes) {
        const auto request = decodePollRequest(bytes, deployment);
        RC_ASSERT(decodesOrFailsWell(request));
        const auto answer = decodePollAnswer(bytes);
        RC_ASSERT(decodesOrFailsWell(answer));
        const auto snapshot = decodeSnapshot(bytes);
        RC_ASSERT(decodesOrFailsWell(snapshot));
    });
}

// Guards against refusals that leave the operator to guess the field or the deployment.
TEST_CASE("a refused message names the field or the deployment", "[codec]")
{
    PollRequest request = requestOf(1);
    request.deployment = DeploymentName("other");
    const absl::Status foreign = decodePollRequest(encodePollRequest(request), deployment).status();
    CHECK(errorKind(foreign) == ErrorKind::WrongDeployment);
    CHECK(absl::StrContains(foreign.message(), "other"));
    CHECK(absl::StrContains(foreign.message(), "test"));

    request = requestOf(1);
    request.node = NodeId();
    CHECK(absl::StrContains(decodePollRequest(encodePollRequest(request), deployment).status().message(), "node"));
    request = requestOf(1);
    request.endpoints.front().target = TargetId();
    CHECK(absl::StrContains(decodePollRequest(encodePollRequest(request), deployment).status().message(),
                            "endpoint.target"));
    request = requestOf(1);
    request.outcomes->routes.front().oldVersion.failures = 1'000;
    CHECK(absl::StrContains(decodePollRequest(encodePollRequest(request), deployment).status().message(),
                            "outcomes.old_version.failures"));
    PollAnswer answer = answerOf(1);
    answer.revisions.back().number = RevisionNumber(9);
    CHECK(absl::StrContains(decodePollAnswer(encodePollAnswer(answer)).status().message(), "consecutive"));
}

// Guards against a snapshot that is compressed again for every newcomer of a storm.
TEST_CASE("a snapshot is encoded once for each revision and shared", "[codec]")
{
    SnapshotCache cache;
    const auto state = std::make_shared<const ConfigState>(stateOf(1));
    const auto first = cache.encoded(state);
    const auto second = cache.encoded(state);
    REQUIRE(first != nullptr);
    REQUIRE(second != nullptr);
    CHECK(first == second);
}

} // namespace dandeliondock
