#include "support/loop_thread.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/control_duty.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
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

} // namespace dandeliondock::testing
