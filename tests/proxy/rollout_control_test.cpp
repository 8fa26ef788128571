#include "support/child_process.h"
#include "support/loop_thread.h"
#include "support/table_versions.h"

#include <dandeliondock/codec/proxy_codec.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/rollout_control.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

const ServiceName service("s");
const VersionName oldVersion("v1");
const VersionName newVersion("v2");

/// A RolloutControl on its own event loop, with a table that accepts every write.
class TestControl
{
public:
    explicit TestControl(const char *inboundAddress, std::size_t rank = 0)
    {
        m_table.commit = [this](const TableTransaction &transaction, TableCommitHandler handler) {
            commits.push_back(transaction);
            // In the era of the condition, as the hooks of the control duty ensure.
            const std::uint64_t era = transaction.conditions.front().version.era.value();
            m_thread.loop().post([this, handler, era] {
                handler(TableCommitResult{true, tableVersion(++m_version, era)});
            });
        };
        m_documents.status = [](const ServiceName &, const VersionName &, RolloutState state) {
            return TableWrite{TableName("status"), {RowKey("status"), std::to_string(static_cast<int>(state))}};
        };
        m_thread.run([&] {
            m_client = std::make_unique<AsyncHttpClient>(m_thread.loop());
            RolloutControlDependencies dependencies;
            dependencies.loop = &m_thread.loop();
            dependencies.client = m_client.get();
            dependencies.table = &m_table;
            dependencies.documents = &m_documents;
            dependencies.sharedTable = TableName("shared");
            dependencies.inboundAddress = Address(inboundAddress);
            dependencies.service = service;
            dependencies.onVersions = [this](const ServiceVersions &versions) { knownVersions = versions; };
            dependencies.servingCount = [](const VersionName &) { return 4U; };
            dependencies.rank = [rank] { return rank; };
            dependencies.isTableCurrent = [] { return true; };
            dependencies.tableTime = [] {
                return WallTime(std::chrono::duration_cast<Milliseconds>(EventLoop::now().time_since_epoch()));
            };
            m_control = std::make_unique<RolloutControl>(std::move(dependencies));
        });
    }

    ~TestControl()
    {
        m_thread.run([this] {
            m_control.reset();
            m_client.reset();
        });
    }

    void run(const std::function<void(RolloutControl &)> &work)
    {
        m_thread.run([&] { work(*m_control); });
    }

    std::vector<TableTransaction> committed()
    {
        std::vector<TableTransaction> copy;
        m_thread.run([&] { copy = commits; });
        return copy;
    }

    std::vector<TableTransaction> commits;
    ServiceVersions knownVersions;

private:
    LoopThread m_thread;
    AsyncTableHooks m_table;
    OperatorTableCodec m_documents;
    std::unique_ptr<AsyncHttpClient> m_client;
    std::unique_ptr<RolloutControl> m_control;
    std::uint64_t m_version = 100;
};

ServiceVersions makeRow(RolloutState state, const char *driver)
{
    ServiceVersions row{service, state == RolloutState::Completed ? newVersion : oldVersion, RolloutProgress{}};
    row.rollout->record = {TicketNumber(7), service, StageIndex(0), state, {}};
    row.rollout->target = newVersion;
    row.rollout->deadline = WallTime(std::chrono::hours(1));
    row.rollout->driver = Address(driver);
    row.rollout->fence = FencingToken(1);
    return row;
}

/// A driver that responds to reports after a delay, or never.
class SlowDriver
{
public:
    explicit SlowDriver(std::optional<Milliseconds> responseDelay) : address(absl::StrCat("127.0.0.1:", freePort()))
    {
        m_thread.run([&] {
            m_server = std::make_unique<AsyncHttpServer>(
                    m_thread.loop(), [this, responseDelay](const HttpRequestContextPtr &request) {
                        ++reports;
                        if (!responseDelay)
                            return;
                        m_timers.push_back(m_thread.loop().after(*responseDelay, [this, request] {
                            HttpResponse response;
                            response.body = encodeServiceVersions(makeRow(RolloutState::Running, address.c_str()));
                            request->respond(std::move(response));
                        }));
                    });
            REQUIRE(m_server->listen(Address(address)).ok());
        });
    }

    ~SlowDriver()
    {
        m_thread.run([this] {
            m_timers.clear();
            m_server.reset();
        });
    }

    const std::string address;
    std::atomic<int> reports{0};

private:
    LoopThread m_thread;
    std::vector<LoopTimer> m_timers;
    std::unique_ptr<AsyncHttpServer> m_server;
};

bool notifiesCompletion(const std::vector<TableTransaction> &commits)
{
    const std::string completed = std::to_string(static_cast<int>(RolloutState::Completed));
    for (const TableTransaction &commit : commits) {
        for (const TableWrite &write : commit.writes) {
            if (write.table == TableName("status") && write.row.value == completed)
                return true;
        }
    }
    return false;
}

} // namespace

// Guards against requests to old targets that stopped when the operator was notified of the completion, and against a
// completion that is never reported because its driver stopped before the notice.
TEST_CASE("the completion notice is sent after the traffic has moved, by another proxy when the driver is gone",
          "[proxy]")
{
    TestControl driver("127.0.0.1:1");
    TestControl other("127.0.0.1:2");
    for (TestControl *control : {&driver, &other})
        control->run([](RolloutControl &rolloutControl) {
            rolloutControl.setRow(makeRow(RolloutState::Completed, "127.0.0.1:1"), tableVersion(5));
        });
    std::this_thread::sleep_for(completionNoticeDelay - rolloutInterval);
    CHECK_FALSE(notifiesCompletion(driver.committed()));
    std::this_thread::sleep_for(rolloutInterval * 3);
    CHECK(notifiesCompletion(driver.committed()));
    CHECK_FALSE(notifiesCompletion(other.committed()));
    std::this_thread::sleep_for(driverTimeout);
    CHECK(notifiesCompletion(other.committed()));
}

// Guards against an order that no proxy claims, and against a rollback that an older row undoes.
TEST_CASE("an order is claimed on condition of the row's version, and an older row does not undo a known rollback",
          "[proxy]")
{
    TestControl control("127.0.0.1:1");
    control.run([](RolloutControl &rolloutControl) {
        rolloutControl.setRow({service, oldVersion, std::nullopt}, tableVersion(5));
        rolloutControl.setOrder({TicketNumber(7), service, newVersion, Seconds(20)});
    });
    std::this_thread::sleep_for(rolloutInterval * 2);
    const auto commits = control.committed();
    REQUIRE_FALSE(commits.empty());
    CHECK(commits.front().conditions.front().version == tableVersion(5));
    CHECK(commits.front().writes.size() == 2);
    control.run([](RolloutControl &rolloutControl) {
        rolloutControl.setRow(makeRow(RolloutState::RolledBack, "127.0.0.1:9"), tableVersion(500));
        rolloutControl.setRow(makeRow(RolloutState::Running, "127.0.0.1:9"), tableVersion(400));
    });
    control.run([&control](RolloutControl &) {
        CHECK(control.knownVersions.rollout->record.state == RolloutState::RolledBack);
    });
}

// Guards against a rollout that makes no progress for seconds because the proxy that drove it was stopped.
TEST_CASE("a rollout that its driver releases is taken over at once", "[proxy]")
{
    TestControl driver("127.0.0.1:1");
    TestControl other("127.0.0.1:2", 1);
    for (TestControl *control : {&driver, &other})
        control->run([](RolloutControl &rolloutControl) {
            rolloutControl.setRow(makeRow(RolloutState::Running, "127.0.0.1:1"), tableVersion(5));
            rolloutControl.stop();
        });
    CHECK(other.committed().empty());
    const auto commits = driver.committed();
    REQUIRE(commits.size() == 1);
    CHECK(commits.front().conditions.front().version == tableVersion(5));
    const auto releasedRow = decodeServiceVersions(service, *commits.front().writes.front().row.value);
    REQUIRE(releasedRow.ok());
    CHECK(releasedRow->rollout->driver == Address());
    CHECK(releasedRow->rollout->record.state == RolloutState::Running);
    TestControl successor("127.0.0.1:3", 1);
    successor.run(
            [&releasedRow](RolloutControl &rolloutControl) { rolloutControl.setRow(*releasedRow, tableVersion(101)); });
    std::this_thread::sleep_for(rolloutInterval * 3);
    const auto successorCommits = successor.committed();
    REQUIRE_FALSE(successorCommits.empty());
    const auto claimedRow = decodeServiceVersions(service, *successorCommits.front().writes.front().row.value);
    REQUIRE(claimedRow.ok());
    CHECK(claimedRow->rollout->driver == Address("127.0.0.1:3"));
    CHECK(claimedRow->rollout->fence == FencingToken(2));
    std::this_thread::sleep_for(rolloutInterval * 2);
    CHECK(driver.committed().size() == 1);
}

// Guards against a proxy that takes over from a driver whose responses are late because the proxy's own link is
// saturated.
TEST_CASE("a driver with late responses keeps its rollout, a driver that does not respond loses it", "[proxy]")
{
    constexpr Milliseconds lateResponse{1'100};
    SlowDriver lateDriver(lateResponse);
    SlowDriver unresponsiveDriver(std::nullopt);
    SlowDriver nextDriver(Milliseconds{0});
    TestControl reporter("127.0.0.1:1");
    TestControl claimant("127.0.0.1:2");
    reporter.run([&](RolloutControl &rolloutControl) {
        rolloutControl.setRow(makeRow(RolloutState::Running, lateDriver.address.c_str()), tableVersion(5));
    });
    claimant.run([&](RolloutControl &rolloutControl) {
        rolloutControl.setRow(makeRow(RolloutState::Running, unresponsiveDriver.address.c_str()), tableVersion(5));
    });
    std::this_thread::sleep_for(driverTimeout + rolloutInterval * 2);
    CHECK(claimant.committed().size() == 1);
    // The pending report to the former driver does not delay the reports to the new one.
    claimant.run([&](RolloutControl &rolloutControl) {
        ServiceVersions row = makeRow(RolloutState::Running, nextDriver.address.c_str());
        row.rollout->fence = FencingToken(3);
        rolloutControl.setRow(row, tableVersion(200));
    });
    std::this_thread::sleep_for(rolloutInterval * 2);
    CHECK(nextDriver.reports > 0);
    std::this_thread::sleep_for(lateResponse * 2);
    CHECK(reporter.committed().empty());
}

// Guards against a version that gets traffic again after its rollback, and against an operator who is never told of a
// result, because the store has lost the row and the status.
TEST_CASE("progress that the table has lost is written again, first by the driver", "[proxy]")
{
    const auto state = GENERATE(RolloutState::RolledBack, RolloutState::Completed);
    CAPTURE(static_cast<int>(state));
    TestControl driver("127.0.0.1:1");
    TestControl other("127.0.0.1:2", 1);
    ServiceVersions known = makeRow(state, "127.0.0.1:1");
    known.rollout->isNotified = state == RolloutState::Completed;
    for (TestControl *control : {&driver, &other})
        control->run([&](RolloutControl &rolloutControl) {
            rolloutControl.setRow(known, tableVersion(50, 1));
            rolloutControl.setRow(makeRow(RolloutState::Running, "127.0.0.1:1"), tableVersion(20, 2));
        });
    for (TestControl *control : {&driver, &other})
        control->run([&](RolloutControl &) { CHECK(control->knownVersions == known); });
    std::this_thread::sleep_for(rolloutInterval * 3 / 2);
    const auto commits = driver.committed();
    REQUIRE(commits.size() == 1);
    CHECK(commits.front().conditions.front().version == tableVersion(20, 2));
    REQUIRE(commits.front().writes.size() == 2);
    CHECK(commits.front().writes[0].row.value == encodeServiceVersions(known));
    CHECK(commits.front().writes[1].row.value == std::to_string(static_cast<int>(state)));
    CHECK(other.committed().empty());
    std::this_thread::sleep_for(rolloutInterval * 3);
    CHECK(other.committed().size() == 1);
}

// Guards against a service whose rollouts stop for good because the condition of each write names the version of a row
// that the store has lost.
TEST_CASE("a service's row that the table has lost is written again on condition that it is absent", "[proxy]")
{
    TestControl control("127.0.0.1:1");
    control.run([](RolloutControl &rolloutControl) {
        rolloutControl.setRow({service, oldVersion, std::nullopt}, tableVersion(50, 1));
        rolloutControl.handleRowAbsent(tableVersion(40, 1));
        rolloutControl.handleRowAbsent(tableVersion(20, 2));
    });
    std::this_thread::sleep_for(rolloutInterval * 5 / 2);
    const auto commits = control.committed();
    REQUIRE(commits.size() == 1);
    CHECK(commits.front().conditions.front().version.isAbsent());
    CHECK(commits.front().writes.size() == 1);
}

// Guards against a rollout that starts again, or that an older order replaces, because the table returns known orders
// with the versions of a later era; and against a new order that is ignored because its version is lower.
TEST_CASE("orders that were known before the table was lost start no rollout, later ones do", "[proxy]")
{
    TestControl control("127.0.0.1:1");
    const VersionName thirdVersion("v3");
    ServiceVersions row = makeRow(RolloutState::RolledBack, "127.0.0.1:1");
    row.rollout->target = thirdVersion;
    row.rollout->record.ticket = orderNumber(tableVersion(50, 1));
    const auto order = [](const TableVersion &version, const VersionName &target) {
        return RolloutOrder{orderNumber(version), service, target, Seconds(20)};
    };
    control.run([&](RolloutControl &rolloutControl) {
        rolloutControl.setRow(row, tableVersion(60, 1));
        rolloutControl.setOrder(order(tableVersion(10, 1), newVersion));
        rolloutControl.setOrder(order(tableVersion(50, 1), thirdVersion));
        rolloutControl.setRow(row, tableVersion(30, 2));
        rolloutControl.setOrder(order(tableVersion(10, 2), newVersion));   // older order, as in the copy
        rolloutControl.setOrder(order(tableVersion(31, 2), thirdVersion)); // written again by the operator
    });
    std::this_thread::sleep_for(rolloutInterval * 2);
    CHECK(control.committed().empty());
    control.run([&](RolloutControl &rolloutControl) {
        rolloutControl.setOrder(order(tableVersion(33, 2), VersionName("v4")));
    });
    std::this_thread::sleep_for(rolloutInterval * 2);
    REQUIRE_FALSE(control.committed().empty());
    const auto claimed = decodeServiceVersions(service, *control.committed().front().writes.front().row.value);
    REQUIRE(claimed.ok());
    CHECK(claimed->rollout->target == VersionName("v4"));
}

// Guards against a process that was started after the table was lost and takes an order written again for a new one.
TEST_CASE("an order written again is recognised by the rollout of the service's row", "[proxy]")
{
    TestControl control("127.0.0.1:1");
    ServiceVersions row = makeRow(RolloutState::RolledBack, "127.0.0.1:9");
    row.rollout->record.ticket = orderNumber(tableVersion(50, 1));
    control.run([&](RolloutControl &rolloutControl) {
        rolloutControl.setRow(row, tableVersion(30, 2));
        rolloutControl.setOrder({orderNumber(tableVersion(31, 2)), service, newVersion, Seconds(20)});
    });
    std::this_thread::sleep_for(rolloutInterval * 2);
    CHECK(control.committed().empty());
}

} // namespace dandeliondock::testing
