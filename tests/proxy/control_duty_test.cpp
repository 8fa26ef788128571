#include "support/loop_thread.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/control_duty.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
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
    dependencies.table.pollChanges = [](const TableName &, RowVersion, Milliseconds, const TableReadHandler &) {};
    dependencies.table.commit = [&](const TableTransaction &transaction, const TableCommitHandler &handler) {
        thread.loop().post([&isDown, &writtenKeys, key = transaction.writes.front().row.key, handler] {
            if (isDown) {
                handler(makeError(ErrorKind::StoreUnavailable, "down"));
                return;
            }
            writtenKeys.push_back(key.value());
            handler(TableCommitResult{true, RowVersion(1)});
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
        result.asOfVersion = RowVersion(1);
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
    dependencies.table.pollChanges = [](const TableName &, RowVersion, Milliseconds, const TableReadHandler &) {};
    dependencies.table.commit = [&](const TableTransaction &transaction, const TableCommitHandler &handler) {
        if (transaction.writes.front().row.key == serviceRowKey(ServiceName("s")))
            isClaimed = true;
        thread.loop().post([handler] { handler(TableCommitResult{true, RowVersion(2)}); });
    };
    dependencies.documents.table = TableName("op");
    dependencies.documents.evacuatedDataCentre = [](const RowKey &) -> std::optional<DataCentreName> {
        return std::nullopt;
    };
    dependencies.documents.read = [](const TableRow &) -> absl::StatusOr<OperatorDocument> {
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

} // namespace dandeliondock::testing
