#include "support/child_process.h"
#include "support/loop_thread.h"
#include "support/table_versions.h"

#include <dandeliondock/codec/table_codec.h>
#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/table_relay_client.h>
#include <dandeliondock/proxy/table_relay_server.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <future>
#include <memory>
#include <optional>
#include <vector>

namespace dandeliondock::testing {
namespace {

const TableName table("op");
constexpr Milliseconds clockStep{1};

TableReadResult confirmedResult(BootTime confirmedAt)
{
    TableReadResult result;
    result.asOfVersion = tableVersion(5);
    result.put({RowKey("a"), RowVersion(5), "value"});
    result.confirmedAt = confirmedAt;
    return result;
}

/// Reads a table from a relay server without a network.
TableReadResult readFrom(TableRelayServer &server, bool isFull)
{
    std::string body;
    server.handle(encodeTablePoll({table, tableVersion(isFull ? 0 : 5), isFull}),
                  [&body](int status, std::string responseBody) {
                      REQUIRE(status == 200);
                      body = std::move(responseBody);
                  });
    const auto result = decodeTableReadResult(body);
    REQUIRE(result.ok());
    return *result;
}

/// A parent proxy that responds late with a copy whose confirmation has a given age, and a relay client that reads from
/// it.
class LateParent
{
public:
    LateParent(std::optional<Milliseconds> confirmedAge, Milliseconds holdTime, Milliseconds delay)
        : m_address(absl::StrCat("127.0.0.1:", freePort()))
    {
        m_response = confirmedResult(BootTime());
        m_response.confirmedAge = confirmedAge;
        m_response.holdTime = holdTime;
        m_thread.run([&] {
            m_server = std::make_unique<AsyncHttpServer>(m_thread.loop(),
                                                         [this, delay](const HttpRequestContextPtr &call) {
                                                             m_timer = m_thread.loop().after(delay, [this, call] {
                                                                 HttpResponse response;
                                                                 response.body = encodeTableReadResult(m_response);
                                                                 call->respond(std::move(response));
                                                             });
                                                         });
            REQUIRE(m_server->listen(m_address).ok());
            m_client = std::make_unique<AsyncHttpClient>(m_thread.loop());
            TableRelayClientDependencies dependencies;
            dependencies.loop = &m_thread.loop();
            dependencies.client = m_client.get();
            dependencies.self = {RegionName("east"), Address("127.0.0.9:1")};
            dependencies.peers = [this] { return std::vector<RelayPeer>{{RegionName("east"), m_address}}; };
            dependencies.metrics = &m_metrics;
            dependencies.loopLateness = [] { return Milliseconds{0}; };
            m_relayClient = std::make_unique<TableRelayClient>(std::move(dependencies));
        });
    }

    ~LateParent()
    {
        m_thread.run([this] {
            m_relayClient.reset();
            m_client.reset();
            m_timer.cancel();
            m_server.reset();
        });
    }

    std::optional<BootTime> read()
    {
        const auto promise = std::make_shared<std::promise<absl::StatusOr<TableReadResult>>>();
        m_thread.run([&] {
            m_relayClient->hooks().pollChanges(
                    table, tableVersion(1), platformHold,
                    [promise](absl::StatusOr<TableReadResult> result) { promise->set_value(std::move(result)); });
        });
        const auto result = promise->get_future().get();
        REQUIRE(result.ok());
        return result->confirmedAt;
    }

private:
    Address m_address;
    TableReadResult m_response;
    MetricsRegistry m_metrics;
    LoopThread m_thread;
    LoopTimer m_timer;
    std::unique_ptr<AsyncHttpServer> m_server;
    std::unique_ptr<AsyncHttpClient> m_client;
    std::unique_ptr<TableRelayClient> m_relayClient;
};

} // namespace

// Guards against a copy that looks fresher than it is because the proxy that relays it has had it for a while.
TEST_CASE("a relayed copy carries the age of its confirmation", "[proxy]")
{
    MetricsRegistry metrics;
    TableRelayServerDependencies dependencies;
    dependencies.metrics = &metrics;
    dependencies.fleetSize = [] { return 2; };
    TableRelayServer server(std::move(dependencies));
    server.setCurrent(table, true);
    const BootTime confirmedAt = BootClock::now() - Milliseconds(800);
    server.apply(table, confirmedResult(confirmedAt), true);
    TableReadResult changes;
    changes.asOfVersion = tableVersion(6);
    changes.put({RowKey("a"), RowVersion(6), "changed"});
    changes.confirmedAt = confirmedAt;
    server.apply(table, changes, false);
    for (const bool isFull : {true, false}) {
        const auto age = readFrom(server, isFull).confirmedAge;
        REQUIRE(age);
        CHECK(*age >= Milliseconds(800));
        CHECK(*age <= std::chrono::ceil<Milliseconds>(BootClock::now() - confirmedAt));
    }
    // A late response with an earlier confirmation takes nothing back, and one without a confirmation adds nothing.
    server.apply(table, confirmedResult(confirmedAt - Milliseconds(3'000)), false);
    TableReadResult unknown = confirmedResult(BootTime());
    unknown.confirmedAt.reset();
    server.apply(table, unknown, false);
    CHECK(*readFrom(server, true).confirmedAge < Milliseconds(3'000));
}

// Guards against a proxy of an earlier version, which reports no confirmation, that is taken for one with a fresh copy.
TEST_CASE("a copy without a confirmation confirms nothing at the next proxy", "[proxy]")
{
    MetricsRegistry metrics;
    TableRelayServerDependencies dependencies;
    dependencies.metrics = &metrics;
    dependencies.fleetSize = [] { return 2; };
    TableRelayServer server(std::move(dependencies));
    server.setCurrent(table, true);
    TableReadResult unknown = confirmedResult(BootTime());
    unknown.confirmedAt.reset();
    server.apply(table, unknown, true);
    CHECK_FALSE(readFrom(server, true).confirmedAge.has_value());
    CHECK_FALSE(LateParent(std::nullopt, Milliseconds(0), Milliseconds(0)).read().has_value());
}

// Guards against a response that was delayed on its way and counts as fresh on its arrival.
TEST_CASE("the time of a call to another proxy counts towards the age of a copy, except the hold", "[proxy]")
{
    const BootTime calledAt = BootClock::now();
    const auto late = LateParent(Milliseconds(500), Milliseconds(0), Milliseconds(300)).read();
    REQUIRE(late);
    CHECK(*late <= BootClock::now() - Milliseconds(800));
    CHECK(*late >= calledAt - Milliseconds(500));
    const auto held = LateParent(Milliseconds(500), Milliseconds(250), Milliseconds(300)).read();
    REQUIRE(held);
    CHECK(*held <= BootClock::now() - Milliseconds(550) + clockStep);
    // A hold that is longer than the call is impossible and gains nothing.
    const auto impossible = LateParent(Milliseconds(0), std::chrono::hours(1), Milliseconds(0)).read();
    REQUIRE(impossible);
    CHECK(*impossible <= BootClock::now());
}

} // namespace dandeliondock::testing
