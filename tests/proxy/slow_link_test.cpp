#include "support/child_process.h"
#include "support/loop_thread.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/table_relay_client.h>
#include <dandeliondock/proxy/table_relay_server.h>
#include <dandeliondock/proxy/table_watch.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace dandeliondock::testing {
namespace {

const TableName operatorTable("operator");
const TableName sharedTable("shared");
const RegionName region("west");
const Address lastDoor("127.0.0.2:1");
constexpr std::size_t fleet = largeFleetThreshold + 8;
constexpr Milliseconds inForceEverywhere{3'000};

/// Proxies of one region that hold the tables; each call to one of them takes a time on its way there and back.
class FollowedFleet
{
public:
    FollowedFleet()
    {
        for (std::size_t index = 0; index < fleet; ++index)
            m_doors.push_back({region, Address(absl::StrCat("127.0.0.1:", freePort()))});
        std::sort(m_doors.begin(), m_doors.end());
        m_thread.run([this] {
            TableRelayServerDependencies parts;
            parts.loop = &m_thread.loop();
            parts.fleetSize = [] { return fleet; };
            m_relay = std::make_unique<TableRelayServer>(std::move(parts));
            m_relay->setCurrent(operatorTable, true);
            m_relay->setCurrent(sharedTable, true);
            for (const RelayPeer &item : m_doors)
                listen(item.address);
        });
        change(RowVersion(1), true);
    }

    ~FollowedFleet()
    {
        m_thread.run([this] {
            m_servers.clear();
            m_relay.reset();
        });
    }

    /// Takes in a change of both tables.
    void change(RowVersion version, bool isWhole = false)
    {
        TableReadResult reading;
        reading.put({RowKey("a"), version, "value"});
        reading.asOfVersion = version;
        m_thread.run([&] {
            m_relay->apply(operatorTable, reading, isWhole);
            m_relay->apply(sharedTable, reading, isWhole);
        });
    }

    /// Confirms the tables for a time, as the platform's answers do.
    void confirmFor(Milliseconds time)
    {
        constexpr Milliseconds interval{150};
        TableReadResult reading;
        reading.asOfVersion = RowVersion(1);
        for (Milliseconds passed{0}; passed < time; passed += interval) {
            std::this_thread::sleep_for(interval);
            m_thread.run([&] {
                m_relay->apply(operatorTable, reading, false);
                m_relay->apply(sharedTable, reading, false);
            });
        }
    }

    void setWay(Milliseconds way)
    {
        m_thread.run([&] { m_way = way; });
    }

    /// The proxy takes calls and answers none.
    void silence(const Address &door)
    {
        m_thread.run([&] { m_silent = door; });
    }

    [[nodiscard]] const std::vector<RelayPeer> &doors() const noexcept { return m_doors; }

private:
    void listen(const Address &door)
    {
        auto server =
                std::make_unique<AsyncHttpServer>(m_thread.loop(), [this, door](const HttpRequestContextPtr &exchange) {
                    if (door != m_silent)
                        delayed([this, exchange] { handle(exchange); });
                });
        REQUIRE(server->listen(door).ok());
        m_servers.push_back(std::move(server));
    }

    void handle(const HttpRequestContextPtr &exchange)
    {
        m_relay->handle(exchange->request().body, [this, exchange](int status, const std::string &body) {
            delayed([exchange, status, body] {
                HttpResponse response;
                response.status = status;
                response.body = body;
                exchange->respond(std::move(response));
            });
        });
    }

    /// Runs work after one direction of the way.
    void delayed(std::function<void()> work)
    {
        const std::uint64_t id = ++m_lastTimer;
        m_timers[id] = m_thread.loop().after(m_way / 2, [this, id, work = std::move(work)] {
            const LoopTimer kept = std::move(m_timers[id]);
            m_timers.erase(id);
            work();
        });
    }

    LoopThread m_thread;
    std::vector<RelayPeer> m_doors;
    std::vector<std::unique_ptr<AsyncHttpServer>> m_servers;
    std::unique_ptr<TableRelayServer> m_relay;
    std::map<std::uint64_t, LoopTimer> m_timers;
    std::uint64_t m_lastTimer = 0;
    Milliseconds m_way{0};
    Address m_silent;
};

/// A proxy that follows both tables.
class Follower
{
public:
    /// \param door its place in the region: the first proxies read from the platform when the followed one fails
    explicit Follower(const FollowedFleet &fleetToFollow, const Address &door = lastDoor)
    {
        m_thread.run([&] {
            m_client = std::make_unique<AsyncHttpClient>(m_thread.loop());
            TableRelayClientDependencies parts;
            parts.loop = &m_thread.loop();
            parts.client = m_client.get();
            parts.self = {region, door};
            parts.peers = [doors = fleetToFollow.doors()] { return doors; };
            parts.metrics = &m_metrics;
            parts.loopLateness = [] { return Milliseconds{0}; };
            parts.log = [this](LogLevel, const std::string &line) { note(line); };
            parts.platform.list = [this](const TableName &, const TableReadHandler &handler) {
                TableReadResult reading;
                reading.put({RowKey("a"), RowVersion(1), "value"});
                reading.asOfVersion = RowVersion(1);
                m_thread.loop().post([handler, reading] { handler(reading); });
            };
            parts.platform.pollChanges = [this](const TableName &, RowVersion, Milliseconds,
                                                const TableReadHandler &handler) {
                m_thread.loop().post([handler] { handler(makeError(ErrorKind::StoreUnavailable, "refused")); });
            };
            m_follower = std::make_unique<TableRelayClient>(std::move(parts));
            m_hooks = m_follower->hooks();
            for (const TableName &table : {operatorTable, sharedTable})
                m_watches.push_back(watch(table));
            for (const auto &item : m_watches)
                item->start();
        });
    }

    ~Follower()
    {
        m_thread.run([this] {
            m_watches.clear();
            m_follower.reset();
            m_client.reset();
        });
    }

    /// Waits until both tables are known up to a version; the time that it took.
    Milliseconds waitFor(RowVersion version, Milliseconds patience)
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto passed = [&begin] {
            return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begin);
        };
        while (passed() < patience && !isKnown(version))
            std::this_thread::sleep_for(Milliseconds(5));
        return passed();
    }

    /// Lines of one kind of event.
    std::vector<std::string> lines(const std::string &event)
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<std::string> found;
        std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(found),
                     [&event](const std::string &line) { return absl::StrContains(line, event); });
        return found;
    }

private:
    std::unique_ptr<TableWatch> watch(const TableName &table)
    {
        return std::make_unique<TableWatch>(
                m_thread.loop(), m_hooks, table, WatchTiming(), seededRandom(1), LogSink(),
                [this, table](const TableReadResult &reading, bool) {
                    const std::scoped_lock lock(m_mutex);
                    m_known[table] = std::max(m_known[table], reading.asOfVersion);
                },
                [](bool) {});
    }

    bool isKnown(RowVersion version)
    {
        const std::scoped_lock lock(m_mutex);
        return m_known[operatorTable] >= version && m_known[sharedTable] >= version;
    }

    void note(const std::string &line)
    {
        const std::scoped_lock lock(m_mutex);
        m_lines.push_back(line);
    }

    LoopThread m_thread;
    MetricsRegistry m_metrics;
    std::mutex m_mutex;
    std::vector<std::string> m_lines;
    std::map<TableName, RowVersion> m_known;
    std::unique_ptr<AsyncHttpClient> m_client;
    std::unique_ptr<TableRelayClient> m_follower;
    AsyncTableHooks m_hooks;
    std::vector<std::unique_ptr<TableWatch>> m_watches;
};

} // namespace

// Guards against a proxy whose full link delays every call: it gave up answers that were under way, and a change came
// into force seconds late.
TEST_CASE("a change is in force in time at a proxy whose own link is slow, and nobody is blamed for it", "[proxy]")
{
    FollowedFleet followed;
    Follower follower(followed);
    REQUIRE(follower.waitFor(RowVersion(1), inForceEverywhere) < inForceEverywhere);
    followed.setWay(Milliseconds(900));
    const std::size_t before = follower.lines("relay.passed_over").size();
    followed.confirmFor(Milliseconds(1'500));
    followed.change(RowVersion(2));
    CHECK(follower.waitFor(RowVersion(2), inForceEverywhere) < inForceEverywhere);
    CHECK(follower.lines("relay.passed_over").size() == before);
}

// Guards against a refusal of the platform that drops the answer of a followed proxy, which is only late.
TEST_CASE("a change is in force in time at a proxy with a slow link that the platform refuses", "[proxy]")
{
    FollowedFleet followed;
    Follower follower(followed, Address(followed.doors()[1].address.value() + "1"));
    REQUIRE(follower.waitFor(RowVersion(1), inForceEverywhere) < inForceEverywhere);
    followed.setWay(Milliseconds(900));
    followed.confirmFor(Milliseconds(1'500));
    followed.change(RowVersion(2));
    CHECK(follower.waitFor(RowVersion(2), inForceEverywhere) < inForceEverywhere);
}

// Guards against a dead proxy that holds its followers up for as long as they would wait for a slow one.
TEST_CASE("a change is in force in time behind a proxy that is silent, and the silent one is passed over", "[proxy]")
{
    FollowedFleet followed;
    Follower follower(followed);
    REQUIRE(follower.waitFor(RowVersion(1), inForceEverywhere) < inForceEverywhere);
    const Address followedFirst = *relayParent({region, lastDoor}, followed.doors());
    followed.silence(followedFirst);
    std::this_thread::sleep_for(relayHold);
    followed.change(RowVersion(2));
    CHECK(follower.waitFor(RowVersion(2), inForceEverywhere) < Milliseconds(1'500));
    const auto passed = follower.lines("relay.passed_over");
    REQUIRE_FALSE(passed.empty());
    for (const std::string &line : passed)
        CHECK(absl::StrContains(line, followedFirst.value()));
}

} // namespace dandeliondock::testing
