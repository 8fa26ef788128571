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

/// A control on its own loop, with a table that takes every write.
class Controlled
{
public:
    explicit Controlled(const char *door, std::size_t rank = 0)
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
            RolloutControlDependencies parts;
            parts.loop = &m_thread.loop();
            parts.client = m_client.get();
            parts.table = &m_table;
            parts.documents = &m_documents;
            parts.sharedTable = TableName("shared");
            parts.inboundAddress = Address(door);
            parts.service = service;
            parts.onVersions = [this](const ServiceVersions &versions) { known = versions; };
            parts.servingCount = [](const VersionName &) { return 4U; };
            parts.rank = [rank] { return rank; };
            parts.isTableCurrent = [] { return true; };
            parts.tableTime = [] {
                return WallTime(std::chrono::duration_cast<Milliseconds>(EventLoop::now().time_since_epoch()));
            };
            m_control = std::make_unique<RolloutControl>(std::move(parts));
        });
    }

    ~Controlled()
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

    std::vector<TableTransaction> taken()
    {
        std::vector<TableTransaction> copy;
        m_thread.run([&] { copy = commits; });
        return copy;
    }

    std::vector<TableTransaction> commits;
    ServiceVersions known;

private:
    LoopThread m_thread;
    AsyncTableHooks m_table;
    OperatorTableCodec m_documents;
    std::unique_ptr<AsyncHttpClient> m_client;
    std::unique_ptr<RolloutControl> m_control;
    std::uint64_t m_version = 100;
};

ServiceVersions rowOf(RolloutState state, const char *driver)
{
    ServiceVersions row{service, state == RolloutState::Completed ? newVersion : oldVersion, RolloutProgress{}};
    row.rollout->record = {TicketNumber(7), service, StageIndex(0), state, {}};
    row.rollout->target = newVersion;
    row.rollout->deadline = WallTime(std::chrono::hours(1));
    row.rollout->driver = Address(driver);
    row.rollout->fence = FencingToken(1);
    return row;
}

/// A driver that takes reports and answers them after a time.
class SlowDriver
{
public:
    explicit SlowDriver(std::optional<Milliseconds> way) : address(absl::StrCat("127.0.0.1:", freePort()))
    {
        m_thread.run([&] {
            m_server = std::make_unique<AsyncHttpServer>(
                    m_thread.loop(), [this, way](const HttpRequestContextPtr &exchange) {
                        ++reports;
                        if (!way)
                            return;
                        m_timers.push_back(m_thread.loop().after(*way, [this, exchange] {
                            HttpResponse response;
                            response.body = encodeServiceVersions(rowOf(RolloutState::Running, address.c_str()));
                            exchange->respond(std::move(response));
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

bool tellsCompletion(const std::vector<TableTransaction> &commits)
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

// Guards against requests that meet an old target which ended when the operator was told, and against a completion that
// nobody tells because its driver ended in between.
TEST_CASE("the operator is told of a completion after the traffic moved, by another proxy when the driver is gone",
          "[proxy]")
{
    Controlled driver("127.0.0.1:1");
    Controlled other("127.0.0.1:2");
    for (Controlled *control : {&driver, &other})
        control->run([](RolloutControl &item) {
            item.setRow(rowOf(RolloutState::Completed, "127.0.0.1:1"), RowVersion(5));
        });
    std::this_thread::sleep_for(completionNotice - rolloutInterval);
    CHECK_FALSE(tellsCompletion(driver.taken()));
    std::this_thread::sleep_for(rolloutInterval * 3);
    CHECK(tellsCompletion(driver.taken()));
    CHECK_FALSE(tellsCompletion(other.taken()));
    std::this_thread::sleep_for(driverTimeout);
    CHECK(tellsCompletion(other.taken()));
}

// Guards against an order that nobody takes up, and against a rollback that is undone by an older row.
TEST_CASE("an order is claimed under the row's version, and a rollback known here stands against an older row",
          "[proxy]")
{
    Controlled control("127.0.0.1:1");
    control.run([](RolloutControl &item) {
        item.setRow({service, oldVersion, std::nullopt}, RowVersion(5));
        item.setOrder({TicketNumber(7), service, newVersion, Seconds(20)});
    });
    std::this_thread::sleep_for(rolloutInterval * 2);
    const auto commits = control.taken();
    REQUIRE_FALSE(commits.empty());
    CHECK(commits.front().conditions.front().row.version == RowVersion(5));
    CHECK(commits.front().writes.size() == 2);
    control.run([](RolloutControl &item) {
        item.setRow(rowOf(RolloutState::RolledBack, "127.0.0.1:9"), RowVersion(500));
        item.setRow(rowOf(RolloutState::Running, "127.0.0.1:9"), RowVersion(400));
    });
    control.run(
            [&control](RolloutControl &) { CHECK(control.known.rollout->record.state == RolloutState::RolledBack); });
}

// Guards against a rollout that stands still for seconds because the proxy that drove it was stopped.
TEST_CASE("a rollout that its driver gives up is taken over at once", "[proxy]")
{
    Controlled driver("127.0.0.1:1");
    Controlled other("127.0.0.1:2", 1);
    for (Controlled *control : {&driver, &other})
        control->run([](RolloutControl &item) {
            item.setRow(rowOf(RolloutState::Running, "127.0.0.1:1"), RowVersion(5));
            item.stop();
        });
    CHECK(other.taken().empty());
    const auto commits = driver.taken();
    REQUIRE(commits.size() == 1);
    CHECK(commits.front().conditions.front().row.version == RowVersion(5));
    const auto given = decodeServiceVersions(service, *commits.front().writes.front().row.value);
    REQUIRE(given.ok());
    CHECK(given->rollout->driver == Address());
    CHECK(given->rollout->record.state == RolloutState::Running);
    Controlled successor("127.0.0.1:3", 1);
    successor.run([&given](RolloutControl &item) { item.setRow(*given, RowVersion(101)); });
    std::this_thread::sleep_for(rolloutInterval * 3);
    const auto taken = successor.taken();
    REQUIRE_FALSE(taken.empty());
    const auto next = decodeServiceVersions(service, *taken.front().writes.front().row.value);
    REQUIRE(next.ok());
    CHECK(next->rollout->driver == Address("127.0.0.1:3"));
    CHECK(next->rollout->fence == FencingToken(2));
    std::this_thread::sleep_for(rolloutInterval * 2);
    CHECK(driver.taken().size() == 1);
}

// Guards against a proxy whose own link is full and that takes the place of a driver which answers it late.
TEST_CASE("a driver whose answers are late keeps its rollout, one that is silent loses it", "[proxy]")
{
    constexpr Milliseconds lateAnswer{1'100};
    SlowDriver late(lateAnswer);
    SlowDriver silent(std::nullopt);
    SlowDriver next(Milliseconds{0});
    Controlled follower("127.0.0.1:1");
    Controlled claimant("127.0.0.1:2");
    follower.run([&](RolloutControl &item) {
        item.setRow(rowOf(RolloutState::Running, late.address.c_str()), RowVersion(5));
    });
    claimant.run([&](RolloutControl &item) {
        item.setRow(rowOf(RolloutState::Running, silent.address.c_str()), RowVersion(5));
    });
    std::this_thread::sleep_for(driverTimeout + rolloutInterval * 2);
    CHECK(claimant.taken().size() == 1);
    // The report to the former driver does not keep the new one from hearing.
    claimant.run([&](RolloutControl &item) {
        ServiceVersions row = rowOf(RolloutState::Running, next.address.c_str());
        row.rollout->fence = FencingToken(3);
        item.setRow(row, RowVersion(200));
    });
    std::this_thread::sleep_for(rolloutInterval * 2);
    CHECK(next.reports > 0);
    std::this_thread::sleep_for(lateAnswer * 2);
    CHECK(follower.taken().empty());
}

} // namespace dandeliondock::testing
