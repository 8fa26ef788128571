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

Endpoint ownTarget()
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

// Guards against a target that no other proxy hears of: the retry of its row was replaced by that of its service's row.
TEST_CASE("the rows of a target and of its service are both written again after an outage", "[proxy]")
{
    LoopThread thread;
    bool isDown = true;
    std::vector<std::string> written;
    ControlDutyDependencies parts;
    parts.table.list = [&](const TableName &, const TableReadHandler &handler) {
        thread.loop().post([handler] { handler(TableReadResult()); });
    };
    parts.table.pollChanges = [](const TableName &, RowVersion, Milliseconds, const TableReadHandler &) {};
    parts.table.commit = [&](const TableTransaction &transaction, const TableCommitHandler &handler) {
        thread.loop().post([&isDown, &written, key = transaction.writes.front().row.key, handler] {
            if (isDown) {
                handler(makeError(ErrorKind::StoreUnavailable, "down"));
                return;
            }
            written.push_back(key.value());
            handler(TableCommitResult{true, RowVersion(1)});
        });
    };
    parts.documents.table = TableName("op");
    parts.random = seededRandom(1);
    parts.inboundAddress = Address("127.0.0.1:1");
    parts.region = RegionName("east");
    parts.service = ServiceName("s");
    parts.publish = [](const ControlUpdate &) {};
    MetricsRegistry metrics;
    std::unique_ptr<AsyncHttpClient> client;
    std::unique_ptr<ControlDuty> duty;
    thread.run([&] {
        client = std::make_unique<AsyncHttpClient>(thread.loop());
        parts.loop = &thread.loop();
        parts.client = client.get();
        parts.metrics = &metrics;
        duty = std::make_unique<ControlDuty>(parts);
        duty->start();
    });
    std::this_thread::sleep_for(Milliseconds(50));
    thread.run([&] { duty->announce(ownTarget()); });
    std::this_thread::sleep_for(Milliseconds(50));
    thread.run([&] { isDown = false; });
    std::this_thread::sleep_for(rowRetry * 2);
    thread.run([&] {
        duty.reset();
        client.reset();
    });
    CHECK(std::count(written.begin(), written.end(), "target/127.0.0.1:1") == 1);
    CHECK(std::count(written.begin(), written.end(), "service/s") >= 1);
}

} // namespace dandeliondock::testing
