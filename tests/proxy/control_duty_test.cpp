#include "support/loop_thread.h"
#include "support/table_versions.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/control_duty.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace dandeliondock::testing {
namespace {

Endpoint localTarget()
{
    Endpoint endpoint;
    endpoint.target = TargetId("t");
    endpoint.stamp = {Incarnation(1), SequenceNumber(1), EndpointState::Serving};
    endpoint.controlAddress = Address("127.0.0.1:1");
    endpoint.service = ServiceName("s");
    endpoint.version = VersionName("v1");
    endpoint.region = RegionName("east");
    return endpoint;
}

} // namespace

// Guards against a target that stays unknown to the other proxies because the retry of the service's row replaced the
// retry of the target's row.
TEST_CASE("writes of the target's row and of its service's row are both retried after an outage", "[proxy]")
{
    LoopThread thread;
    bool isDown = true;
    std::vector<std::string> writtenKeys;
    ControlDutyDependencies dependencies;
    dependencies.table.read = [&](const TableName &, const RowKey &, const TableReadHandler &handler) {
        thread.loop().post([handler] { handler(TableReadResult()); });
    };
    dependencies.table.list = [&](const TableName &, const TableReadHandler &handler) {
        thread.loop().post([handler] { handler(TableReadResult()); });
    };
    dependencies.table.pollChanges = [](const TableName &, const TableVersion &, Milliseconds,
                                        const TableReadHandler &) {};
    dependencies.table.commit = [&](const TableTransaction &transaction, const TableCommitHandler &handler) {
        thread.loop().post([&isDown, &writtenKeys, key = transaction.writes.front().row.key, handler] {
            if (isDown) {
                handler(makeError(ErrorKind::StoreUnavailable, "down"));
                return;
            }
            writtenKeys.push_back(key.value());
            handler(TableCommitResult{true, tableVersion(1)});
        });
    };
    dependencies.documents.table = TableName("op");
    dependencies.random = seededRandom(1);
    dependencies.inboundAddress = Address("127.0.0.1:1");
    dependencies.region = RegionName("east");
    dependencies.service = ServiceName("s");
    dependencies.publish = [](const ControlUpdate &) {};
    MetricsRegistry metrics;
    std::unique_ptr<AsyncHttpClient> client;
    std::unique_ptr<ControlDuty> duty;
    thread.run([&] {
        client = std::make_unique<AsyncHttpClient>(thread.loop());
        dependencies.loop = &thread.loop();
        dependencies.client = client.get();
        dependencies.metrics = &metrics;
        duty = std::make_unique<ControlDuty>(dependencies);
        duty->start();
    });
    std::this_thread::sleep_for(Milliseconds(50));
    thread.run([&] { duty->announce(localTarget()); });
    std::this_thread::sleep_for(Milliseconds(50));
    thread.run([&] { isDown = false; });
    std::this_thread::sleep_for(rowWriteRetryDelay * 2);
    thread.run([&] {
        duty.reset();
        client.reset();
    });
    CHECK(std::count(writtenKeys.begin(), writtenKeys.end(), "target/127.0.0.1:1") == 1);
    CHECK(std::count(writtenKeys.begin(), writtenKeys.end(), "service/s") >= 1);
}

// Guards against a rollout that nobody drives for seconds: each target that had been replaced made every proxy wait
// longer before it claimed.
TEST_CASE("targets that are gone do not delay the claim of a rollout", "[proxy]")
{
    constexpr unsigned goneTargets = 20;
    LoopThread thread;
    std::atomic<bool> isClaimed{false};
    ControlDutyDependencies dependencies;
    dependencies.table.read = [&](const TableName &, const RowKey &, const TableReadHandler &handler) {
        thread.loop().post([handler] { handler(TableReadResult()); });
    };
    dependencies.table.list = [&](const TableName &table, const TableReadHandler &handler) {
        TableReadResult result;
        result.asOfVersion = tableVersion(1);
        if (table == TableName("op")) {
            result.put({RowKey("rollout/s"), RowVersion(1), ""});
        } else {
            result.put({serviceRowKey(ServiceName("s")), RowVersion(1),
                        encodeServiceVersions({ServiceName("s"), VersionName("v1"), std::nullopt})});
            for (unsigned number = 0; number < goneTargets; ++number) {
                Endpoint gone = localTarget();
                gone.stamp.state = EndpointState::Gone;
                gone.controlAddress = Address("127.0.0.0:" + std::to_string(100 + number));
                result.put({TargetRow::keyOf(gone.controlAddress), RowVersion(1), encodeTargetRow(gone)});
            }
        }
        thread.loop().post([handler, result] { handler(result); });
    };
    dependencies.table.pollChanges = [](const TableName &, const TableVersion &, Milliseconds,
                                        const TableReadHandler &) {};
    dependencies.table.commit = [&](const TableTransaction &transaction, const TableCommitHandler &handler) {
        if (transaction.writes.front().row.key == serviceRowKey(ServiceName("s")))
            isClaimed = true;
        thread.loop().post([handler] { handler(TableCommitResult{true, tableVersion(2)}); });
    };
    dependencies.documents.table = TableName("op");
    dependencies.documents.evacuatedDataCentre = [](const RowKey &) -> std::optional<DataCentreName> {
        return std::nullopt;
    };
    dependencies.documents.read = [](const TableRow &, StoreEra) -> absl::StatusOr<OperatorDocument> {
        return RolloutOrder{TicketNumber(7), ServiceName("s"), VersionName("v2"), Seconds(16)};
    };
    dependencies.documents.status = [](const ServiceName &, const VersionName &, RolloutState) {
        return TableWrite{TableName("status"), {RowKey("status"), "running"}};
    };
    dependencies.random = seededRandom(1);
    dependencies.inboundAddress = Address("127.0.0.1:1");
    dependencies.region = RegionName("east");
    dependencies.service = ServiceName("s");
    dependencies.publish = [](const ControlUpdate &) {};
    MetricsRegistry metrics;
    std::unique_ptr<AsyncHttpClient> client;
    std::unique_ptr<ControlDuty> duty;
    thread.run([&] {
        client = std::make_unique<AsyncHttpClient>(thread.loop());
        dependencies.loop = &thread.loop();
        dependencies.client = client.get();
        dependencies.metrics = &metrics;
        duty = std::make_unique<ControlDuty>(dependencies);
        duty->start();
    });
    std::this_thread::sleep_for(coldStartSpread + rolloutInterval * 2);
    CHECK(isClaimed);
    thread.run([&] {
        duty.reset();
        client.reset();
    });
}

// Guards against targets that get no requests, or get them although they are leaving, because the table came back from
// a copy that is older than their rows; and against lost targets that stay in use.
TEST_CASE("a later era of the table neither removes targets at once nor makes a leaving one serve", "[proxy]")
{
    const auto other = [](const char *address, EndpointState state, std::uint64_t sequence) {
        Endpoint endpoint = localTarget();
        endpoint.address = Address("127.0.0.9:1");
        endpoint.dataCentre = DataCentreName("a");
        endpoint.slots = SlotCount(4);
        endpoint.controlAddress = Address(address);
        endpoint.stamp = {Incarnation(1), SequenceNumber(sequence), state};
        return endpoint;
    };
    const Endpoint added = other("127.0.0.2:1", EndpointState::Serving, 1);
    const Endpoint leaving = other("127.0.0.3:1", EndpointState::Leaving, 2);
    const Endpoint leavingBefore = other("127.0.0.3:1", EndpointState::Serving, 1);
    LoopThread thread;
    std::vector<ControlUpdate> updates;
    std::vector<TableReadHandler> heldPolls;
    std::optional<MonotonicTime> copyReadAt;
    bool isCopy = false;
    ControlDutyDependencies dependencies;
    dependencies.table.read = [&](const TableName &, const RowKey &, const TableReadHandler &handler) {
        thread.loop().post([handler] { handler(TableReadResult()); });
    };
    dependencies.table.list = [&](const TableName &table, const TableReadHandler &handler) {
        TableReadResult result;
        result.asOfVersion = isCopy ? tableVersion(5, 2) : tableVersion(9, 1);
        if (table == TableName(std::string(sharedTableName))) {
            const Endpoint &known = isCopy ? leavingBefore : leaving;
            result.put({TargetRow::keyOf(known.controlAddress), RowVersion(5), encodeTargetRow(known)});
            if (isCopy && !copyReadAt)
                copyReadAt = EventLoop::now();
            if (!isCopy)
                result.put({TargetRow::keyOf(added.controlAddress), RowVersion(9), encodeTargetRow(added)});
        }
        thread.loop().post([handler, result] { handler(result); });
    };
    dependencies.table.pollChanges = [&](const TableName &, const TableVersion &, Milliseconds,
                                         const TableReadHandler &handler) { heldPolls.push_back(handler); };
    dependencies.documents.table = TableName("op");
    dependencies.random = seededRandom(1);
    dependencies.inboundAddress = Address("127.0.0.1:1");
    dependencies.region = RegionName("east");
    dependencies.service = ServiceName("s");
    dependencies.publish = [&updates](const ControlUpdate &update) { updates.push_back(update); };
    MetricsRegistry metrics;
    std::unique_ptr<AsyncHttpClient> client;
    std::unique_ptr<ControlDuty> duty;
    thread.run([&] {
        client = std::make_unique<AsyncHttpClient>(thread.loop());
        dependencies.loop = &thread.loop();
        dependencies.client = client.get();
        dependencies.metrics = &metrics;
        duty = std::make_unique<ControlDuty>(dependencies);
        duty->start();
    });
    std::this_thread::sleep_for(Milliseconds(200));
    thread.run([&] {
        REQUIRE(std::count_if(updates.begin(), updates.end(),
                              [](const ControlUpdate &update) { return std::holds_alternative<Endpoint>(update); })
                == 2);
        updates.clear();
        isCopy = true;
        for (const TableReadHandler &handler : std::exchange(heldPolls, {}))
            handler(makeError(ErrorKind::RevisionGap, "not reached again"));
    });
    // The first update after the read of the copy is the removal of the target whose row is not written again.
    bool isRemoved = false;
    for (int attempt = 0; attempt < 200 && !isRemoved; ++attempt) {
        std::this_thread::sleep_for(Milliseconds(50));
        thread.run([&] {
            isRemoved = std::any_of(updates.begin(), updates.end(), [&](const ControlUpdate &update) {
                const auto *removed = std::get_if<EndpointRemoved>(&update);
                return removed != nullptr && removed->address == added.controlAddress;
            });
            if (isRemoved) {
                REQUIRE(copyReadAt);
                CHECK(EventLoop::now() - *copyReadAt >= rowRewriteTime);
            }
            CHECK(std::none_of(updates.begin(), updates.end(),
                               [](const ControlUpdate &update) { return std::holds_alternative<Endpoint>(update); }));
        });
    }
    CHECK(isRemoved);
    thread.run([&] {
        duty.reset();
        client.reset();
    });
}

} // namespace dandeliondock::testing
