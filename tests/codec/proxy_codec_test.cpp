#include <dandeliondock/codec/proxy_codec.h>
#include <dandeliondock/core/checked_number.h>
#include <dandeliondock/core/error.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <proxy.pb.h>

#include <limits>
#include <string>

namespace dandeliondock {
namespace {

const Address inboundAddress("10.0.0.1:8624");

Endpoint endpoint()
{
    Endpoint item;
    item.target = TargetId("i-1");
    item.stamp = {Incarnation(5), SequenceNumber(2), EndpointState::Serving};
    item.address = Address("10.0.0.1:8628");
    item.controlAddress = inboundAddress;
    item.service = ServiceName("s");
    item.version = VersionName("v1");
    item.region = RegionName("east");
    item.dataCentre = DataCentreName("a");
    item.slots = SlotCount(16);
    return item;
}

wire::ServiceVersionRow versionRow()
{
    wire::ServiceVersionRow row;
    row.set_current("v1");
    row.set_rollout(7);
    row.set_target("v2");
    row.set_state(wire::RolloutRecord::STATE_RUNNING);
    row.set_started_ms(1'000);
    row.set_deadline_ms(17'000);
    row.set_stage_since_ms(1'000);
    return row;
}

} // namespace

// Guards against an entry of another writer that proxies try to connect to, or that hides the entry of a target.
TEST_CASE("the row of a target must name the address of its key and numbers in range", "[codec]")
{
    REQUIRE(decodeTargetRow(inboundAddress, encodeTargetRow(endpoint())).ok());
    for (const char *address : {"10.0.0.1:70000", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1", "", "host:1"}) {
        Endpoint odd = endpoint();
        odd.controlAddress = Address(address);
        CHECK_FALSE(decodeTargetRow(odd.controlAddress, encodeTargetRow(odd)).ok());
    }
    CHECK_FALSE(decodeTargetRow(Address("10.0.0.2:8624"), encodeTargetRow(endpoint())).ok());
    Endpoint wide = endpoint();
    wide.slots = SlotCount(std::numeric_limits<std::uint32_t>::max());
    CHECK_FALSE(decodeTargetRow(inboundAddress, encodeTargetRow(wide)).ok());
}

// Guards against times whose sums overflow, after which a rollout never ends or ends at once.
TEST_CASE("the row of a service with a time out of range is refused", "[codec]")
{
    const ServiceName service("s");
    REQUIRE(decodeServiceVersions(service, versionRow().SerializeAsString()).ok());
    for (const std::int64_t time : {std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min(),
                                    std::int64_t{-1}, maxMessageTime.time_since_epoch().count() + 1}) {
        wire::ServiceVersionRow row = versionRow();
        row.set_deadline_ms(time);
        const auto decoded = decodeServiceVersions(service, row.SerializeAsString());
        REQUIRE_FALSE(decoded.ok());
        CHECK(errorKind(decoded.status()) == ErrorKind::InvalidRow);
    }
}

// Guards against bytes of another writer that end the process that reads them.
TEST_CASE("arbitrary bytes and damaged rows are decoded or refused", "[codec]")
{
    rc::prop("rows and messages between proxies", [] {
        std::string bytes = *rc::gen::element(encodeTargetRow(endpoint()), versionRow().SerializeAsString(),
                                              std::string(*rc::gen::inRange(0, 200), '\x0a'));
        for (int edits = *rc::gen::inRange(0, 6); edits > 0 && !bytes.empty(); --edits)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        static_cast<void>(decodeTargetRow(inboundAddress, bytes));
        static_cast<void>(decodeServiceVersions(ServiceName("s"), bytes));
        static_cast<void>(decodeOutcomeReport(bytes));
    });
}

} // namespace dandeliondock
