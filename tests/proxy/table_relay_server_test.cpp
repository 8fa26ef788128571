#include "support/child_process.h"
#include "support/loop_thread.h"
#include "support/table_versions.h"

#include <dandeliondock/codec/table_codec.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/table_relay_client.h>
#include <dandeliondock/proxy/table_relay_server.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <ctime>
#include <future>
#include <memory>
#include <random>
#include <string>

namespace dandeliondock::testing {
namespace {

const TableName table("shared");
constexpr Milliseconds maxDelay{3'000};

/// A relay client and a relay server on their own event loop, with a platform that counts the calls to it.
class TestRelay
{
public:
    explicit TestRelay(const Address &parent, std::size_t others = 0) : TestRelay(peersWith(parent, others)) {}

    explicit TestRelay(const std::vector<RelayPeer> &peers)
    {
        m_thread.run([&] {
            m_client = std::make_unique<AsyncHttpClient>(m_thread.loop());
            TableRelayClientDependencies dependencies;
            dependencies.loop = &m_thread.loop();
            dependencies.client = m_client.get();
            dependencies.self = {RegionName("west"), Address("127.0.0.1:1")};
            dependencies.peers = [peers] { return peers; };
            dependencies.metrics = &m_metrics;
            dependencies.loopLateness = [] { return Milliseconds{0}; };
            dependencies.platform.list = [this](const TableName &, const TableReadHandler &handler) {
                ++platformLists;
                m_thread.loop().post([handler] { handler(TableReadResult()); });
            };
            dependencies.platform.pollChanges = [this](const TableName &, const TableVersion &after, Milliseconds,
                                                       const TableReadHandler &handler) {
                ++platformPolls;
                TableReadResult result;
                result.asOfVersion = after;
                m_thread.loop().post([handler, result] { handler(result); });
            };
            m_relayClient = std::make_unique<TableRelayClient>(std::move(dependencies));
            TableRelayServerDependencies serverDependencies;
            serverDependencies.loop = &m_thread.loop();
            serverDependencies.metrics = &m_metrics;
            serverDependencies.fleetSize = [size = peers.size()] { return size; };
            m_relayServer = std::make_unique<TableRelayServer>(std::move(serverDependencies));
        });
    }

    ~TestRelay()
    {
        m_thread.run([this] {
            m_relayClient.reset();
            m_relayServer.reset();
            m_client.reset();
        });
    }

    absl::StatusOr<TableReadResult> pollChanges(const TableVersion &after)
    {
        const auto promise = std::make_shared<std::promise<absl::StatusOr<TableReadResult>>>();
        m_thread.run([&] {
            m_relayClient->hooks().pollChanges(
                    table, after, platformHold,
                    [promise](absl::StatusOr<TableReadResult> result) { promise->set_value(std::move(result)); });
        });
        return promise->get_future().get();
    }

    absl::StatusOr<TableReadResult> list()
    {
        const auto promise = std::make_shared<std::promise<absl::StatusOr<TableReadResult>>>();
        m_thread.run([&] {
            m_relayClient->hooks().list(table, [promise](absl::StatusOr<TableReadResult> result) {
                promise->set_value(std::move(result));
            });
        });
        return promise->get_future().get();
    }

    /// Polls the server as a child, calls \c duringPoll and returns the response's status and the time until it came.
    std::pair<int, Milliseconds> pollServer(const TableVersion &after,
                                            const std::function<void(TableRelayServer &)> &duringPoll)
    {
        const auto promise = std::make_shared<std::promise<int>>();
        const auto begin = std::chrono::steady_clock::now();
        m_thread.run([&] {
            m_relayServer->handle(encodeTablePoll({table, after}),
                                  [promise](int status, const std::string &) { promise->set_value(status); });
            duringPoll(*m_relayServer);
        });
        const int status = promise->get_future().get();
        return {status, std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begin)};
    }

    /// Polls the server as a child and returns the body of the response.
    std::string responseBody(const TableVersion &after)
    {
        const auto promise = std::make_shared<std::promise<std::string>>();
        m_thread.run([&] {
            m_relayServer->handle(encodeTablePoll({table, after}),
                                  [promise](int, const std::string &body) { promise->set_value(body); });
        });
        return promise->get_future().get();
    }

    void run(const std::function<void(TableRelayServer &)> &work)
    {
        m_thread.run([&] { work(*m_relayServer); });
    }

    std::atomic<int> platformPolls{0};
    std::atomic<int> platformLists{0};

private:
    static std::vector<RelayPeer> peersWith(const Address &parent, std::size_t others)
    {
        std::vector<RelayPeer> peers{{RegionName("east"), parent}};
        for (std::size_t index = 0; index < others; ++index)
            peers.push_back({RegionName("east"), Address(absl::StrCat("127.0.0.1:9", index))});
        return peers;
    }

    MetricsRegistry m_metrics;
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpClient> m_client;
    std::unique_ptr<TableRelayClient> m_relayClient;
    std::unique_ptr<TableRelayServer> m_relayServer;
};

/// A parent proxy whose responses have a fixed age.
class ParentProxy
{
public:
    explicit ParentProxy(Milliseconds age) : address(absl::StrCat("127.0.0.1:", freePort()))
    {
        m_thread.run([&] {
            m_server = std::make_unique<AsyncHttpServer>(m_thread.loop(), [age](const HttpRequestContextPtr &request) {
                TableReadResult result;
                result.asOfVersion = tableVersion(7);
                result.age = age;
                HttpResponse response;
                response.body = encodeTableReadResult(result);
                request->respond(std::move(response));
            });
            REQUIRE(m_server->listen(address).ok());
        });
    }

    ~ParentProxy()
    {
        m_thread.run([this] { m_server.reset(); });
    }

    const Address address;

private:
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpServer> m_server;
};

/// Returns a text of the size and variety of a configuration with 2,000 routes.
std::string longConfiguration()
{
    std::mt19937 random(1);
    std::string text;
    for (int route = 0; route < 2'000; ++route)
        absl::StrAppend(&text, "{\"name\":\"route-", random(), "\",\"host\":\"", random(), ".example\",\"prefix\":\"/",
                        random(), "/\",\"service\":\"orders\",\"timeout_ms\":2000,\"max_attempts\":3},");
    return text;
}

} // namespace

// Guards against a parent that continues to respond although no change reaches it: with 300 instances, some used a
// configuration that was seconds old. Its copy is used, because nobody may have a later one, but not waited for again.
TEST_CASE("a parent whose data is too old is not used while there is another source", "[proxy]")
{
    ParentProxy outdatedParent(maxRelayedAge + Milliseconds(100));
    TestRelay relay(outdatedParent.address);
    const auto result = relay.pollChanges(tableVersion(5));
    REQUIRE(result.ok());
    CHECK(result->asOfVersion == tableVersion(7));
    CHECK(result->age > maxRelayedAge);
    CHECK(relay.platformPolls == 0);
    for (int poll = 1; poll <= 2; ++poll) {
        REQUIRE(relay.pollChanges(tableVersion(7)).ok());
        CHECK(relay.platformPolls == poll);
    }
}

TEST_CASE("a parent with recent data is used, and the age of its data is passed on", "[proxy]")
{
    ParentProxy parent(Milliseconds(200));
    TestRelay relay(parent.address);
    const auto result = relay.pollChanges(tableVersion(5));
    REQUIRE(result.ok());
    CHECK(result->asOfVersion == tableVersion(7));
    CHECK(result->age >= Milliseconds(200)); // includes the round trip
    CHECK(result->age < Milliseconds(200) + maxDelay);
    CHECK(relay.platformPolls == 0);
}

// Guards against a round trip that cannot be told apart from the time for which the parent held a poll.
TEST_CASE("a response contains the time for which its poll was held", "[proxy]")
{
    TestRelay relay(Address("127.0.0.1:9"));
    relay.run([](TableRelayServer &server) {
        TableReadResult result;
        result.asOfVersion = tableVersion(5);
        server.apply(table, result, true);
        server.setCurrent(table, true);
    });
    const auto result = decodeTableReadResult(relay.responseBody(tableVersion(5)));
    REQUIRE(result.ok());
    CHECK(result->holdTime >= relayHold);
    CHECK(result->holdTime < maxDelay);
    relay.run([](TableRelayServer &server) {
        TableReadResult change;
        change.put({RowKey("a"), RowVersion(6), "1"});
        change.asOfVersion = tableVersion(6);
        server.apply(table, change, false);
    });
    const auto changes = decodeTableReadResult(relay.responseBody(tableVersion(5)));
    REQUIRE(changes.ok());
    CHECK(changes->holdTime < relayHold);
}

// Guards against ages that add up from level to level of the relay tree, so that the data of its leaves seems too old.
TEST_CASE("a held poll gets a response when the platform confirms the table without changes", "[proxy]")
{
    TestRelay relay(Address("127.0.0.1:9"));
    TableReadResult result;
    result.asOfVersion = tableVersion(5);
    relay.run([&](TableRelayServer &server) {
        server.apply(table, result, true);
        server.setCurrent(table, true);
    });
    const auto [status, waited] =
            relay.pollServer(tableVersion(5), [&](TableRelayServer &server) { server.apply(table, result, false); });
    CHECK(status == 200);
    CHECK(waited < relayHold);
    const auto [later, held] = relay.pollServer(tableVersion(5), [](TableRelayServer &) {});
    CHECK(later == 200);
    CHECK(held >= relayHold);
    CHECK(held < maxDelay);
}

// Guards against hundreds of proxies that saturate the link between regions with copies of a table when they start.
TEST_CASE("a large fleet reads full tables through a peer, and from the platform after failures of all readers",
          "[proxy]")
{
    ParentProxy parent(Milliseconds(200));
    TestRelay smallFleet(parent.address);
    CHECK(smallFleet.list().ok());
    CHECK(smallFleet.platformLists == 1);
    TestRelay largeFleet(parent.address, largeFleetThreshold);
    const auto result = largeFleet.list();
    REQUIRE(result.ok());
    CHECK(result->asOfVersion == tableVersion(7));
    CHECK(largeFleet.platformLists == 0);
    TestRelay unreachablePeers(Address("127.0.0.1:9"), largeFleetThreshold);
    CHECK(unreachablePeers.list().ok());
    CHECK(unreachablePeers.platformLists == 1);
    std::vector<RelayPeer> earlierPeers;
    for (std::size_t index = 0; index < largeFleetThreshold; ++index)
        earlierPeers.push_back({RegionName("west"), Address(absl::StrCat("127.0.0.1:0", index))});
    TestRelay laterProxy(earlierPeers);
    CHECK_FALSE(laterProxy.list().ok());
    CHECK_FALSE(laterProxy.list().ok());
    CHECK(laterProxy.platformLists == 0);
}

// Guards against a region whose proxies all read from the platform at once when their parent loses it: their calls
// saturated the link between regions, and most configurations arrived 10 s late.
TEST_CASE("in a large fleet only the first proxies of a region read from the platform after a failure", "[proxy]")
{
    const auto largeFleetPeers = [](std::size_t lowRankPeers) {
        std::vector<RelayPeer> peers;
        for (std::size_t index = 0; index < largeFleetThreshold; ++index) {
            const char *addressPrefix = index < lowRankPeers ? "127.0.0.1:0" : "127.0.0.1:9";
            peers.push_back({RegionName("west"), Address(absl::StrCat(addressPrefix, index))});
        }
        return peers;
    };
    TestRelay lowRankProxy(largeFleetPeers(maxPlatformReaders - 1));
    CHECK(lowRankProxy.pollChanges(tableVersion(5)).ok());
    CHECK(lowRankProxy.platformPolls == 1);
    // More earlier proxies than one read calls: a proxy whose earlier ones have all failed reads from the platform.
    TestRelay highRankProxy(largeFleetPeers(maxPlatformReaders + maxChangeSources));
    CHECK_FALSE(highRankProxy.pollChanges(tableVersion(5)).ok());
    CHECK(highRankProxy.platformPolls == 0);
}

// Guards against a loss of the platform that makes the whole relay tree switch to other sources, and against proxies
// that give up their copies although nobody has later ones.
TEST_CASE("in a large fleet a proxy that lost the platform still serves its copy with its age", "[proxy]")
{
    TableReadResult result;
    result.asOfVersion = tableVersion(9);
    const auto losePlatform = [&result](TableRelayServer &server) {
        server.apply(table, result, true);
        server.setCurrent(table, true);
        server.setCurrent(table, false);
    };
    const auto noAction = [](TableRelayServer &) {};
    TestRelay smallFleet(Address("127.0.0.1:9"));
    smallFleet.run(losePlatform);
    CHECK(smallFleet.pollServer(tableVersion(5), noAction).first == 503);
    TestRelay largeFleet(Address("127.0.0.1:9"), largeFleetThreshold);
    largeFleet.run(losePlatform);
    CHECK(largeFleet.pollServer(tableVersion(9), noAction).first == 200);
    TableReadResult old = result;
    old.age = maxRelayedAge * 4;
    TestRelay oldCopy(Address("127.0.0.1:9"), largeFleetThreshold);
    oldCopy.run([&old](TableRelayServer &server) {
        server.apply(table, old, true);
        server.setCurrent(table, false);
    });
    CHECK(oldCopy.pollServer(tableVersion(9), noAction).first == 200);
    const auto copy = decodeTableReadResult(oldCopy.responseBody(tableVersion(9)));
    REQUIRE(copy.ok());
    CHECK(copy->age >= old.age);
    largeFleet.run([](TableRelayServer &server) { server.stop(); });
    CHECK(largeFleet.pollServer(tableVersion(9), noAction).first == 503);
}

// Guards against a proxy that compresses a long configuration again for each of its children: with 2,000 routes, a
// tenth of a core and a change every 0.2 s its control loop was late by seconds.
TEST_CASE("the rows of a change are compressed once for all children", "[proxy]")
{
    constexpr int furtherChildren = 8;
    MetricsRegistry metrics;
    TableRelayServerDependencies dependencies;
    dependencies.metrics = &metrics;
    dependencies.fleetSize = [] { return 2; };
    TableRelayServer server(std::move(dependencies));
    TableReadResult configuration;
    configuration.asOfVersion = tableVersion(5);
    configuration.put({RowKey("config"), RowVersion(5), longConfiguration()});
    server.apply(table, configuration, true);
    server.setCurrent(table, true);
    for (const bool isFull : {false, true}) {
        TableReadResult change = configuration;
        change.asOfVersion = tableVersion(isFull ? 7 : 6);
        change.rows.front().version = change.asOfVersion.version;
        server.apply(table, change, false);
        const auto readTime = [&] {
            const std::clock_t begin = std::clock();
            server.handle(encodeTablePoll({table, tableVersion(5), isFull}), [&](int status, const std::string &body) {
                REQUIRE(status == 200);
                REQUIRE(body.size() > 10'000);
            });
            return std::clock() - begin;
        };
        const std::clock_t first = readTime();
        std::clock_t further = 0;
        for (int child = 0; child < furtherChildren; ++child)
            further += readTime();
        CHECK(further < 2 * first);
    }
}

// Guards against a child that keeps the rows of a lost era, because the versions of a later one look like its changes.
TEST_CASE("a held poll of an earlier era is answered as one whose changes are gone", "[proxy]")
{
    TestRelay relay(Address("127.0.0.1:9"));
    TableReadResult lost;
    lost.asOfVersion = tableVersion(5, 1);
    relay.run([&](TableRelayServer &server) {
        server.apply(table, lost, true);
        server.setCurrent(table, true);
    });
    TableReadResult copy;
    copy.asOfVersion = tableVersion(3, 2);
    const auto [status, held] =
            relay.pollServer(tableVersion(5, 1), [&](TableRelayServer &server) { server.apply(table, copy, true); });
    CHECK(status == 410);
}

} // namespace dandeliondock::testing
