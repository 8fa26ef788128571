#include "support/child_process.h"
#include "support/loop_thread.h"

#include <dandeliondock/codec/table_codec.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/table_relay_client.h>
#include <dandeliondock/proxy/table_relay_server.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <memory>

namespace dandeliondock::testing {
namespace {

const TableName table("shared");
constexpr Milliseconds patience{3'000};

/// A relay on its own loop that knows one proxy to follow, and a platform that counts the calls for changes.
class Relayed
{
public:
    explicit Relayed(const Address &parent, std::size_t others = 0) : Relayed(doorsWith(parent, others)) {}

    explicit Relayed(const std::vector<RelayPeer> &doors)
    {
        m_thread.run([&] {
            m_client = std::make_unique<AsyncHttpClient>(m_thread.loop());
            TableRelayClientDependencies parts;
            parts.loop = &m_thread.loop();
            parts.client = m_client.get();
            parts.self = {RegionName("west"), Address("127.0.0.1:1")};
            parts.peers = [doors] { return doors; };
            parts.metrics = &m_metrics;
            parts.loopLateness = [] { return Milliseconds{0}; };
            parts.platform.list = [this](const TableName &, const TableReadHandler &handler) {
                ++platformLists;
                m_thread.loop().post([handler] { handler(TableReadResult()); });
            };
            parts.platform.pollChanges = [this](const TableName &, RowVersion after, Milliseconds,
                                                const TableReadHandler &handler) {
                ++platformCalls;
                TableReadResult reading;
                reading.asOfVersion = after;
                m_thread.loop().post([handler, reading] { handler(reading); });
            };
            m_follower = std::make_unique<TableRelayClient>(std::move(parts));
            TableRelayServerDependencies relayParts;
            relayParts.loop = &m_thread.loop();
            relayParts.fleetSize = [size = doors.size()] { return size; };
            m_relay = std::make_unique<TableRelayServer>(std::move(relayParts));
        });
    }

    ~Relayed()
    {
        m_thread.run([this] {
            m_follower.reset();
            m_relay.reset();
            m_client.reset();
        });
    }

    absl::StatusOr<TableReadResult> changes(RowVersion after)
    {
        const auto result = std::make_shared<std::promise<absl::StatusOr<TableReadResult>>>();
        m_thread.run([&] {
            m_follower->hooks().pollChanges(
                    table, after, platformHold,
                    [result](absl::StatusOr<TableReadResult> reading) { result->set_value(std::move(reading)); });
        });
        return result->get_future().get();
    }

    absl::StatusOr<TableReadResult> list()
    {
        const auto result = std::make_shared<std::promise<absl::StatusOr<TableReadResult>>>();
        m_thread.run([&] {
            m_follower->hooks().list(table, [result](absl::StatusOr<TableReadResult> reading) {
                result->set_value(std::move(reading));
            });
        });
        return result->get_future().get();
    }

    /// What a follower is told, and after how long.
    std::pair<int, Milliseconds> follow(RowVersion after, const std::function<void(TableRelayServer &)> &meanwhile)
    {
        const auto result = std::make_shared<std::promise<int>>();
        const auto begin = std::chrono::steady_clock::now();
        m_thread.run([&] {
            m_relay->handle(encodeTablePoll({table, after}),
                            [result](int status, const std::string &) { result->set_value(status); });
            meanwhile(*m_relay);
        });
        const int status = result->get_future().get();
        return {status, std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begin)};
    }

    /// The body that a follower gets.
    std::string answerTo(RowVersion after)
    {
        const auto result = std::make_shared<std::promise<std::string>>();
        m_thread.run([&] {
            m_relay->handle(encodeTablePoll({table, after}),
                            [result](int, const std::string &body) { result->set_value(body); });
        });
        return result->get_future().get();
    }

    void run(const std::function<void(TableRelayServer &)> &work)
    {
        m_thread.run([&] { work(*m_relay); });
    }

    std::atomic<int> platformCalls{0};
    std::atomic<int> platformLists{0};

private:
    static std::vector<RelayPeer> doorsWith(const Address &parent, std::size_t others)
    {
        std::vector<RelayPeer> doors{{RegionName("east"), parent}};
        for (std::size_t index = 0; index < others; ++index)
            doors.push_back({RegionName("east"), Address(absl::StrCat("127.0.0.1:9", index))});
        return doors;
    }

    MetricsRegistry m_metrics;
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpClient> m_client;
    std::unique_ptr<TableRelayClient> m_follower;
    std::unique_ptr<TableRelayServer> m_relay;
};

/// A proxy to follow whose answers have an age.
class Parent
{
public:
    explicit Parent(Milliseconds age) : address(absl::StrCat("127.0.0.1:", freePort()))
    {
        m_thread.run([&] {
            m_server = std::make_unique<AsyncHttpServer>(m_thread.loop(), [age](const HttpRequestContextPtr &exchange) {
                TableReadResult reading;
                reading.asOfVersion = RowVersion(7);
                reading.age = age;
                HttpResponse response;
                response.body = encodeTableReadResult(reading);
                exchange->respond(std::move(response));
            });
            REQUIRE(m_server->listen(address).ok());
        });
    }

    ~Parent()
    {
        m_thread.run([this] { m_server.reset(); });
    }

    const Address address;

private:
    LoopThread m_thread;
    std::unique_ptr<AsyncHttpServer> m_server;
};

} // namespace

// Guards against a proxy that goes on answering although no change reaches it: on a day with 300 instances some used a
// configuration that was seconds old.
TEST_CASE("a proxy that is behind is not followed", "[proxy]")
{
    Parent behind(maxRelayedAge + Milliseconds(100));
    Relayed relayed(behind.address);
    const auto reading = relayed.changes(RowVersion(5));
    REQUIRE(reading.ok());
    CHECK(relayed.platformCalls == 1);
    static_cast<void>(relayed.changes(RowVersion(5)));
    CHECK(relayed.platformCalls == 2);
}

TEST_CASE("a proxy that is confirmed is followed, and its age is passed on", "[proxy]")
{
    Parent parent(Milliseconds(200));
    Relayed relayed(parent.address);
    const auto reading = relayed.changes(RowVersion(5));
    REQUIRE(reading.ok());
    CHECK(reading->asOfVersion == RowVersion(7));
    CHECK(reading->age >= Milliseconds(200)); // with the time on the way
    CHECK(reading->age < Milliseconds(200) + patience);
    CHECK(relayed.platformCalls == 0);
}

// Guards against a way that cannot be told from the time for which the followed proxy held a call.
TEST_CASE("an answer tells for how long its call was held", "[proxy]")
{
    Relayed relayed(Address("127.0.0.1:9"));
    relayed.run([](TableRelayServer &relay) {
        TableReadResult reading;
        reading.asOfVersion = RowVersion(5);
        relay.apply(table, reading, true);
        relay.setCurrent(table, true);
    });
    const auto reading = decodeTableReadResult(relayed.answerTo(RowVersion(5)));
    REQUIRE(reading.ok());
    CHECK(reading->holdTime >= relayHold);
    CHECK(reading->holdTime < patience);
    relayed.run([](TableRelayServer &relay) {
        TableReadResult change;
        change.put({RowKey("a"), RowVersion(6), "1"});
        change.asOfVersion = RowVersion(6);
        relay.apply(table, change, false);
    });
    const auto news = decodeTableReadResult(relayed.answerTo(RowVersion(5)));
    REQUIRE(news.ok());
    CHECK(news->holdTime < relayHold);
}

// Guards against ages that add up from place to place in the tree, so that the last ones seem to be behind.
TEST_CASE("a follower that waits is told of a confirmation without news", "[proxy]")
{
    Relayed relayed(Address("127.0.0.1:9"));
    TableReadResult reading;
    reading.asOfVersion = RowVersion(5);
    relayed.run([&](TableRelayServer &relay) {
        relay.apply(table, reading, true);
        relay.setCurrent(table, true);
    });
    const auto [status, waited] =
            relayed.follow(RowVersion(5), [&](TableRelayServer &relay) { relay.apply(table, reading, false); });
    CHECK(status == 200);
    CHECK(waited < relayHold);
    const auto [later, held] = relayed.follow(RowVersion(5), [](TableRelayServer &) {});
    CHECK(later == 200);
    CHECK(held >= relayHold);
    CHECK(held < patience);
}

// Guards against hundreds of proxies that fill the link between regions with copies of a table when they start.
TEST_CASE("whole tables come through another proxy where many are known, and from the platform when that fails",
          "[proxy]")
{
    Parent parent(Milliseconds(200));
    Relayed few(parent.address);
    CHECK(few.list().ok());
    CHECK(few.platformLists == 1);
    Relayed many(parent.address, largeFleetThreshold);
    const auto reading = many.list();
    REQUIRE(reading.ok());
    CHECK(reading->asOfVersion == RowVersion(7));
    CHECK(many.platformLists == 0);
    Relayed alone(Address("127.0.0.1:9"), largeFleetThreshold);
    for (int tries = 1; tries < maxFullReadAttempts; ++tries)
        CHECK_FALSE(alone.list().ok());
    CHECK(alone.list().ok());
    CHECK(alone.platformLists == 1);
}

// Guards against a region whose proxies all turn to the platform at once when the one that they follow loses it: their
// calls filled the link between regions, and most configurations came 10 s late.
TEST_CASE("in a crowded fleet only the first proxies of a region read from the platform after a failure", "[proxy]")
{
    const auto crowded = [](std::size_t before) {
        std::vector<RelayPeer> doors;
        for (std::size_t index = 0; index < largeFleetThreshold; ++index) {
            const char *order = index < before ? "127.0.0.1:0" : "127.0.0.1:9";
            doors.push_back({RegionName("west"), Address(absl::StrCat(order, index))});
        }
        return doors;
    };
    Relayed early(crowded(maxPlatformReaders - 1));
    CHECK(early.changes(RowVersion(5)).ok());
    CHECK(early.platformCalls == 1);
    Relayed late(crowded(maxPlatformReaders));
    CHECK_FALSE(late.changes(RowVersion(5)).ok());
    CHECK(late.platformCalls == 0);
}

// Guards against a loss of the platform that spreads through the tree at once although it passes soon.
TEST_CASE("in a crowded fleet a proxy that lost the platform passes on what is recent", "[proxy]")
{
    TableReadResult reading;
    reading.asOfVersion = RowVersion(9);
    const auto lose = [&reading](TableRelayServer &relay) {
        relay.apply(table, reading, true);
        relay.setCurrent(table, true);
        relay.setCurrent(table, false);
    };
    const auto nothing = [](TableRelayServer &) {};
    Relayed few(Address("127.0.0.1:9"));
    few.run(lose);
    CHECK(few.follow(RowVersion(5), nothing).first == 503);
    Relayed many(Address("127.0.0.1:9"), largeFleetThreshold);
    many.run(lose);
    CHECK(many.follow(RowVersion(9), nothing).first == 200);
    many.run([](TableRelayServer &relay) { relay.stop(); });
    CHECK(many.follow(RowVersion(9), nothing).first == 503);
}

} // namespace dandeliondock::testing
