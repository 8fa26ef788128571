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
const Address lastAddress("127.0.0.2:1");
constexpr std::size_t fleetSize = largeFleetThreshold + 8;
constexpr Milliseconds applyDeadline{3'000};

/// Proxies of one region that serve the tables; requests to them and their responses are delayed by half a configured
/// round trip each.
class PeerFleet
{
public:
    PeerFleet()
    {
        for (std::size_t index = 0; index < fleetSize; ++index)
            m_peers.push_back({region, Address(absl::StrCat("127.0.0.1:", freePort()))});
        std::sort(m_peers.begin(), m_peers.end());
        m_thread.run([this] {
            TableRelayServerDependencies dependencies;
            dependencies.loop = &m_thread.loop();
            dependencies.fleetSize = [] { return fleetSize; };
            m_relayServer = std::make_unique<TableRelayServer>(std::move(dependencies));
            m_relayServer->setCurrent(operatorTable, true);
            m_relayServer->setCurrent(sharedTable, true);
            for (const RelayPeer &peer : m_peers)
                listen(peer.address);
        });
        change(RowVersion(1), true);
    }

    ~PeerFleet()
    {
        m_thread.run([this] {
            m_servers.clear();
            m_relayServer.reset();
        });
    }

    /// Applies a change to both tables.
    void change(RowVersion version, bool isFull = false)
    {
        TableReadResult result;
        result.put({RowKey("a"), version, "value"});
        result.asOfVersion = version;
        m_thread.run([&] {
            m_relayServer->apply(operatorTable, result, isFull);
            m_relayServer->apply(sharedTable, result, isFull);
        });
    }

    /// Applies reads without changes to both tables at short intervals until \c time has passed, as the platform's
    /// responses do when no row changes.
    void confirmFor(Milliseconds time)
    {
        constexpr Milliseconds interval{150};
        TableReadResult result;
        result.asOfVersion = RowVersion(1);
        for (Milliseconds elapsed{0}; elapsed < time; elapsed += interval) {
            std::this_thread::sleep_for(interval);
            m_thread.run([&] {
                m_relayServer->apply(operatorTable, result, false);
                m_relayServer->apply(sharedTable, result, false);
            });
        }
    }

    void setRoundTrip(Milliseconds roundTrip)
    {
        m_thread.run([&] { m_roundTrip = roundTrip; });
    }

    /// Makes a proxy accept calls without responding.
    void stopResponding(const Address &address)
    {
        m_thread.run([&] { m_unresponsive = address; });
    }

    [[nodiscard]] const std::vector<RelayPeer> &peers() const noexcept { return m_peers; }

private:
    void listen(const Address &address)
    {
        auto server = std::make_unique<AsyncHttpServer>(
                m_thread.loop(), [this, address](const HttpRequestContextPtr &activeRequest) {
                    if (address != m_unresponsive)
                        runDelayed([this, activeRequest] { handle(activeRequest); });
                });
        REQUIRE(server->listen(address).ok());
        m_servers.push_back(std::move(server));
    }

    void handle(const HttpRequestContextPtr &activeRequest)
    {
        m_relayServer->handle(activeRequest->request().body,
                              [this, activeRequest](int status, const std::string &body) {
                                  runDelayed([activeRequest, status, body] {
                                      HttpResponse response;
                                      response.status = status;
                                      response.body = body;
                                      activeRequest->respond(std::move(response));
                                  });
                              });
    }

    /// Runs work after half the round trip.
    void runDelayed(std::function<void()> work)
    {
        const std::uint64_t id = ++m_lastTimer;
        m_timers[id] = m_thread.loop().after(m_roundTrip / 2, [this, id, work = std::move(work)] {
            const LoopTimer timer = std::move(m_timers[id]);
            m_timers.erase(id);
            work();
        });
    }

    LoopThread m_thread;
    std::vector<RelayPeer> m_peers;
    std::vector<std::unique_ptr<AsyncHttpServer>> m_servers;
    std::unique_ptr<TableRelayServer> m_relayServer;
    std::map<std::uint64_t, LoopTimer> m_timers;
    std::uint64_t m_lastTimer = 0;
    Milliseconds m_roundTrip{0};
    Address m_unresponsive;
};

/// A proxy that reads both tables from the peers of a PeerFleet.
class ChildProxy
{
public:
    /// \param address its inbound address, which sets its rank in the region: the first proxies read from the platform
    /// when their parent fails
    explicit ChildProxy(const PeerFleet &fleet, const Address &address = lastAddress)
    {
        m_thread.run([&] {
            m_client = std::make_unique<AsyncHttpClient>(m_thread.loop());
            TableRelayClientDependencies dependencies;
            dependencies.loop = &m_thread.loop();
            dependencies.client = m_client.get();
            dependencies.self = {region, address};
            dependencies.peers = [peers = fleet.peers()] { return peers; };
            dependencies.metrics = &m_metrics;
            dependencies.loopLateness = [] { return Milliseconds{0}; };
            dependencies.log = [this](LogLevel, const std::string &line) { addLine(line); };
            dependencies.platform.list = [this](const TableName &, const TableReadHandler &handler) {
                TableReadResult result;
                result.put({RowKey("a"), RowVersion(1), "value"});
                result.asOfVersion = RowVersion(1);
                m_thread.loop().post([handler, result] { handler(result); });
            };
            dependencies.platform.pollChanges = [this](const TableName &, RowVersion, Milliseconds,
                                                       const TableReadHandler &handler) {
                m_thread.loop().post([handler] { handler(makeError(ErrorKind::StoreUnavailable, "refused")); });
            };
            m_relayClient = std::make_unique<TableRelayClient>(std::move(dependencies));
            m_hooks = m_relayClient->hooks();
            for (const TableName &table : {operatorTable, sharedTable})
                m_watches.push_back(makeWatch(table));
            for (const auto &watch : m_watches)
                watch->start();
        });
    }

    ~ChildProxy()
    {
        m_thread.run([this] {
            m_watches.clear();
            m_relayClient.reset();
            m_client.reset();
        });
    }

    /// Waits until both tables have reached a version or the timeout passes; returns the elapsed time.
    Milliseconds waitFor(RowVersion version, Milliseconds timeout)
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto elapsed = [&begin] {
            return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begin);
        };
        while (elapsed() < timeout && !hasVersion(version))
            std::this_thread::sleep_for(Milliseconds(5));
        return elapsed();
    }

    /// Returns the log lines of one event.
    std::vector<std::string> lines(const std::string &event)
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<std::string> found;
        std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(found),
                     [&event](const std::string &line) { return absl::StrContains(line, event); });
        return found;
    }

private:
    std::unique_ptr<TableWatch> makeWatch(const TableName &table)
    {
        return std::make_unique<TableWatch>(
                m_thread.loop(), m_hooks, table, WatchTiming(), seededRandom(1), LogSink(),
                [this, table](const TableReadResult &result, bool) {
                    const std::scoped_lock lock(m_mutex);
                    m_knownVersions[table] = std::max(m_knownVersions[table], result.asOfVersion);
                },
                [](bool) {});
    }

    bool hasVersion(RowVersion version)
    {
        const std::scoped_lock lock(m_mutex);
        return m_knownVersions[operatorTable] >= version && m_knownVersions[sharedTable] >= version;
    }

    void addLine(const std::string &line)
    {
        const std::scoped_lock lock(m_mutex);
        m_lines.push_back(line);
    }

    LoopThread m_thread;
    MetricsRegistry m_metrics;
    std::mutex m_mutex;
    std::vector<std::string> m_lines;
    std::map<TableName, RowVersion> m_knownVersions;
    std::unique_ptr<AsyncHttpClient> m_client;
    std::unique_ptr<TableRelayClient> m_relayClient;
    AsyncTableHooks m_hooks;
    std::vector<std::unique_ptr<TableWatch>> m_watches;
};

} // namespace

// Guards against a proxy that abandons responses in transit when its saturated link delays every call, so that it
// applies a change seconds late.
TEST_CASE("a proxy whose own link is slow applies a change in time and excludes no peer", "[proxy]")
{
    PeerFleet fleet;
    ChildProxy child(fleet);
    REQUIRE(child.waitFor(RowVersion(1), applyDeadline) < applyDeadline);
    fleet.setRoundTrip(Milliseconds(900));
    const std::size_t linesBefore = child.lines("relay.passed_over").size();
    fleet.confirmFor(Milliseconds(1'500));
    fleet.change(RowVersion(2));
    CHECK(child.waitFor(RowVersion(2), applyDeadline) < applyDeadline);
    CHECK(child.lines("relay.passed_over").size() == linesBefore);
}

// Guards against a refusal of the platform that discards the late response of the parent.
TEST_CASE("a proxy with a slow link that the platform refuses applies a change in time", "[proxy]")
{
    PeerFleet fleet;
    ChildProxy child(fleet, Address(fleet.peers()[1].address.value() + "1"));
    REQUIRE(child.waitFor(RowVersion(1), applyDeadline) < applyDeadline);
    fleet.setRoundTrip(Milliseconds(900));
    fleet.confirmFor(Milliseconds(1'500));
    fleet.change(RowVersion(2));
    CHECK(child.waitFor(RowVersion(2), applyDeadline) < applyDeadline);
}

// Guards against a dead proxy that delays its children for as long as they would wait for a slow one.
TEST_CASE("a proxy whose parent does not respond applies a change in time and excludes the parent", "[proxy]")
{
    PeerFleet fleet;
    ChildProxy child(fleet);
    REQUIRE(child.waitFor(RowVersion(1), applyDeadline) < applyDeadline);
    const Address parent = *relayParent({region, lastAddress}, fleet.peers());
    fleet.stopResponding(parent);
    std::this_thread::sleep_for(relayHold);
    fleet.change(RowVersion(2));
    CHECK(child.waitFor(RowVersion(2), applyDeadline) < Milliseconds(1'500));
    const auto exclusionLines = child.lines("relay.passed_over");
    REQUIRE_FALSE(exclusionLines.empty());
    for (const std::string &line : exclusionLines)
        CHECK(absl::StrContains(line, parent.value()));
}

} // namespace dandeliondock::testing
