#include "support/child_process.h"
#include "support/loop_thread.h"

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
            m_thread.loop().post([this, handler] { handler(TableCommitResult{true, RowVersion(++m_version)}); });
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
            rolloutControl.setRow(makeRow(RolloutState::Completed, "127.0.0.1:1"), RowVersion(5));
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
        rolloutControl.setRow({service, oldVersion, std::nullopt}, RowVersion(5));
        rolloutControl.setOrder({TicketNumber(7), service, newVersion, Seconds(20)});
    });
    std::this_thread::sleep_for(rolloutInterval * 2);
    const auto commits = control.committed();
    REQUIRE_FALSE(commits.empty());
    CHECK(commits.front().conditions.front().row.version == RowVersion(5));
    CHECK(commits.front().writes.size() == 2);
    control.run([](RolloutControl &rolloutControl) {
        rolloutControl.setRow(makeRow(RolloutState::RolledBack, "127.0.0.1:9"), RowVersion(500));
        rolloutControl.setRow(makeRow(RolloutState::Running, "127.0.0.1:9"), RowVersion(400));
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
            rolloutControl.setRow(makeRow(RolloutState::Running, "127.0.0.1:1"), RowVersion(5));
            rolloutControl.stop();
        });
    CHECK(other.committed().empty());
    const auto commits = driver.committed();
    REQUIRE(commits.size() == 1);
    CHECK(commits.front().conditions.front().row.version == RowVersion(5));
    const auto releasedRow = decodeServiceVersions(service, *commits.front().writes.front().row.value);
    REQUIRE(releasedRow.ok());
    CHECK(releasedRow->rollout->driver == Address());
    CHECK(releasedRow->rollout->record.state == RolloutState::Running);
    TestControl successor("127.0.0.1:3", 1);
    successor.run(
            [&releasedRow](RolloutControl &rolloutControl) { rolloutControl.setRow(*releasedRow, RowVersion(101)); });
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
        rolloutControl.setRow(makeRow(RolloutState::Running, lateDriver.address.c_str()), RowVersion(5));
    });
    claimant.run([&](RolloutControl &rolloutControl) {
        rolloutControl.setRow(makeRow(RolloutState::Running, unresponsiveDriver.address.c_str()), RowVersion(5));
    });
    std::this_thread::sleep_for(driverTimeout + rolloutInterval * 2);
    CHECK(claimant.committed().size() == 1);
    // The pending report to the former driver does not delay the reports to the new one.
    claimant.run([&](RolloutControl &rolloutControl) {
        ServiceVersions row = makeRow(RolloutState::Running, nextDriver.address.c_str());
        row.rollout->fence = FencingToken(3);
        rolloutControl.setRow(row, RowVersion(200));
    });
    std::this_thread::sleep_for(rolloutInterval * 2);
    CHECK(nextDriver.reports > 0);
    std::this_thread::sleep_for(lateResponse * 2);
    CHECK(reporter.committed().empty());
}

} // namespace dandeliondock::testing
