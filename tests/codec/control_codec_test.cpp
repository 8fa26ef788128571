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

Endpoint makeEndpoint(std::uint64_t number)
{
    Endpoint endpoint;
    endpoint.target = TargetId("t" + std::to_string(number));
    endpoint.stamp = {Incarnation(number), SequenceNumber(number + 1), static_cast<EndpointState>(number % 4)};
    endpoint.address = Address("127.0.0.1:1");
    endpoint.service = ServiceName("ledger");
    endpoint.slots = SlotCount(20);
    return endpoint;
}

RolloutRecord makeRolloutRecord(std::uint64_t number)
{
    return {TicketNumber(number + 1), ServiceName("ledger"), StageIndex(2), static_cast<RolloutState>(number % 3),
            "slow"};
}

OutcomeBatch makeOutcomeBatch(std::uint64_t number)
{
    OutcomeSummary summary;
    summary.requests = number + 2;
    summary.failures = number;
    summary.latencyBuckets[number % outcomeLatencyBuckets] = 3;
    return {SequenceNumber(number + 1), {{TicketNumber(1), RouteName("orders"), summary, OutcomeSummary()}}};
}

PollRequest makePollRequest(std::uint64_t number)
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
    request.outcomes = makeOutcomeBatch(number);
    request.endpoints = {makeEndpoint(number)};
    request.rollouts = {makeRolloutRecord(number)};
    request.hold = Milliseconds(1'500);
    return request;
}

PollAnswer makePollAnswer(std::uint64_t number)
{
    PollAnswer response;
    response.result = PollResult::Attached;
    response.path = {NodeId("root"), NodeId("n1")};
    response.redirects = {Address("127.0.0.1:3")};
    response.revisions = {{RevisionNumber(number + 1), {}, WallTime()}, {RevisionNumber(number + 2), {}, WallTime()}};
    response.revision = RevisionNumber(number + 2);
    response.endpoints = {makeEndpoint(number)};
    response.rollouts = {makeRolloutRecord(number)};
    response.acknowledgement = AcknowledgementSum{RevisionNumber(number), NodeCount(9)};
    response.grandparent = Address("127.0.0.1:4");
    return response;
}

ConfigState makeConfigState(std::uint64_t number)
{
    Ticket ticket;
    ticket.number = TicketNumber(1);
    Service service;
    service.name = ServiceName("ledger");
    service.version = VersionName("v" + std::to_string(number));
    ticket.resources = {Version{service.name, service.version}, service};
    return *ConfigState().apply({RevisionNumber(1), ticket, WallTime()});
}

std::string corrupt(std::string bytes, const std::vector<std::pair<std::uint16_t, std::uint8_t>> &changes,
                    bool isTruncated)
{
    for (const auto &[position, value] : changes) {
        if (!bytes.empty())
            bytes[position % bytes.size()] = static_cast<char>(value);
    }
    if (isTruncated && !changes.empty())
        bytes.resize(changes.front().first % (bytes.size() + 1));
    return bytes;
}

using ByteChanges = std::vector<std::pair<std::uint16_t, std::uint8_t>>;

template <typename Result>
bool isValidOrTypedError(const Result &result)
{
    if (result.ok())
        return true;
    const ErrorKind kind = errorKind(result.status());
    return kind != ErrorKind::Internal && !result.status().message().empty();
}

} // namespace

// Guards against a field that the encoder writes and the decoder does not read.
TEST_CASE("messages between nodes round-trip", "[codec]")
{
    rc::prop("decoding returns the encoded message", [](std::uint32_t number) {
        RC_ASSERT(*decodePollRequest(encodePollRequest(makePollRequest(number)), deployment)
                  == makePollRequest(number));
        RC_ASSERT(*decodePollAnswer(encodePollAnswer(makePollAnswer(number))) == makePollAnswer(number));
        const SnapshotRequest request{deployment, NodeId("n1"), RevisionNumber(number), RegionName("east")};
        RC_ASSERT(*decodeSnapshotRequest(encodeSnapshotRequest(request), deployment) == request);
        const LeaseRow lease{NodeId("n1"), Address("a"), FencingToken(number + 1), WallTime(Milliseconds(number))};
        RC_ASSERT(*decodeLeaseRow({RowKey("lease/root/0"), RowVersion(1), encodeLeaseRow(lease)}) == lease);
        RC_ASSERT(*decodeSnapshot(encodeSnapshot(makeConfigState(number))) == makeConfigState(number));
    });
}

// Guards against damaged bytes that crash a node, are accepted for another deployment or cause an untyped error.
TEST_CASE("damaged bytes decode to a valid message or a typed error", "[codec]")
{
    rc::prop("encoded messages with changed or missing bytes", [](std::uint32_t number, const ByteChanges &changes,
                                                                  bool isTruncated) {
        const auto request = decodePollRequest(
                corrupt(encodePollRequest(makePollRequest(number)), changes, isTruncated), deployment);
        RC_ASSERT(isValidOrTypedError(request));
        if (request.ok()) {
            RC_ASSERT(request->deployment == deployment);
            RC_ASSERT(request->acknowledgement.lowest <= request->revision);
        }
        const auto response = decodePollAnswer(corrupt(encodePollAnswer(makePollAnswer(number)), changes, isTruncated));
        RC_ASSERT(isValidOrTypedError(response));
        const auto snapshot = decodeSnapshot(corrupt(encodeSnapshot(makeConfigState(number)), changes, isTruncated));
        RC_ASSERT(isValidOrTypedError(snapshot));
        const LeaseRow lease{NodeId("n1"), Address("a"), FencingToken(number + 1), WallTime()};
        const auto row = decodeLeaseRow(
                {RowKey("lease/root/0"), RowVersion(1), corrupt(encodeLeaseRow(lease), changes, isTruncated)});
        RC_ASSERT(isValidOrTypedError(row));
    });
    rc::prop("arbitrary bytes", [](const std::string &bytes) {
        const auto request = decodePollRequest(bytes, deployment);
        RC_ASSERT(isValidOrTypedError(request));
        const auto response = decodePollAnswer(bytes);
        RC_ASSERT(isValidOrTypedError(response));
        const auto snapshot = decodeSnapshot(bytes);
        RC_ASSERT(isValidOrTypedError(snapshot));
    });
}

// Guards against error texts that do not tell the operator which field or deployment is wrong.
TEST_CASE("the error of a rejected message names the field or the deployment", "[codec]")
{
    PollRequest request = makePollRequest(1);
    request.deployment = DeploymentName("other");
    const absl::Status wrongDeployment = decodePollRequest(encodePollRequest(request), deployment).status();
    CHECK(errorKind(wrongDeployment) == ErrorKind::WrongDeployment);
    CHECK(absl::StrContains(wrongDeployment.message(), "other"));
    CHECK(absl::StrContains(wrongDeployment.message(), "test"));

    request = makePollRequest(1);
    request.node = NodeId();
    CHECK(absl::StrContains(decodePollRequest(encodePollRequest(request), deployment).status().message(), "node"));
    request = makePollRequest(1);
    request.endpoints.front().target = TargetId();
    CHECK(absl::StrContains(decodePollRequest(encodePollRequest(request), deployment).status().message(),
                            "endpoint.target"));
    request = makePollRequest(1);
    request.outcomes->routes.front().oldVersion.failures = 1'000;
    CHECK(absl::StrContains(decodePollRequest(encodePollRequest(request), deployment).status().message(),
                            "outcomes.old_version.failures"));
    PollAnswer response = makePollAnswer(1);
    response.revisions.back().number = RevisionNumber(9);
    CHECK(absl::StrContains(decodePollAnswer(encodePollAnswer(response)).status().message(), "consecutive"));
}

// Guards against compressing a snapshot again for each node when many nodes start at once.
TEST_CASE("requests for the same revision share one encoded snapshot", "[codec]")
{
    SnapshotCache cache;
    const auto state = std::make_shared<const ConfigState>(makeConfigState(1));
    const auto first = cache.encodedSnapshot(state);
    const auto second = cache.encodedSnapshot(state);
    REQUIRE(first != nullptr);
    REQUIRE(second != nullptr);
    CHECK(first == second);
}

} // namespace dandeliondock
