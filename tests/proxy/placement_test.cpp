#include "support/loop_thread.h"
#include "support/raw_socket.h"
#include "support/table_versions.h"

#include <dandeliondock/proxy/control_duty.h>
#include <dandeliondock/proxy/inbound_handler.h>
#include <dandeliondock/proxy/target_balancer.h>

#include <absl/strings/strip.h>

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

const Locality self{RegionName("east"), DataCentreName("e1")};
const ServiceName service("s");
const VersionName version("v1");
const RouteName route("r");
constexpr std::uint32_t slots = 10;

MonotonicTime at(int milliseconds)
{
    return MonotonicTime(Milliseconds(100'000 + milliseconds));
}

Endpoint endpoint(const std::string &name, const char *region, const char *dataCentre)
{
    Endpoint item;
    item.target = TargetId(name);
    item.stamp = {Incarnation(1), SequenceNumber(1), EndpointState::Serving};
    item.controlAddress = Address(name + ":1");
    item.service = service;
    item.version = version;
    item.region = RegionName(region);
    item.dataCentre = DataCentreName(dataCentre);
    item.slots = SlotCount(slots);
    return item;
}

BalancerRequest request()
{
    BalancerRequest item;
    item.service = service;
    item.version = {version, false, fullShare};
    item.responseSize = ByteCount(1'000);
    return item;
}

TargetBalancer balancerWith(std::initializer_list<Endpoint> endpoints)
{
    TargetBalancer balancer(self, seededRandom(7));
    for (const Endpoint &item : endpoints)
        balancer.apply(item, at(-60'000));
    return balancer;
}

std::string chosen(TargetBalancer &balancer, const BalancerRequest &criteria, int time)
{
    const auto claim = balancer.choose(criteria, at(time));
    if (!claim)
        return {};
    balancer.finish(*claim, TargetFeedback::Inconclusive, std::nullopt, at(time));
    return claim->target->endpoint.target.value();
}

/// An inbound handler; without an address of the target in its dependencies, the target does not run.
class Handler
{
public:
    explicit Handler(InboundHandlerDependencies dependencies = {})
    {
        m_thread.run([&] {
            m_client = std::make_unique<AsyncHttpClient>(m_thread.loop());
            dependencies.loop = &m_thread.loop();
            dependencies.client = m_client.get();
            dependencies.link = &m_link;
            dependencies.metrics = &m_metrics;
            if (dependencies.target.value().empty())
                dependencies.target = Address("127.0.0.1:1");
            dependencies.versions = [](const ServiceName &) -> const ServiceVersions * { return nullptr; };
            dependencies.lastDependencyFailure = [] { return MonotonicTime(); };
            m_handler = std::make_unique<InboundHandler>(dependencies);
            m_handler->applyRecord(std::nullopt);
        });
        announce(1, Milliseconds(0));
    }

    ~Handler()
    {
        m_thread.run([this] {
            m_handler.reset();
            m_client.reset();
        });
        m_thread.stop();
    }

    Handler(const Handler &) = delete;
    Handler &operator=(const Handler &) = delete;

    void run(const std::function<void(InboundHandler &)> &work)
    {
        m_thread.run([&] { work(*m_handler); });
    }

    void announce(std::uint64_t sequence, Milliseconds coldRemaining)
    {
        run([&](InboundHandler &handler) {
            handler.announce({TargetId("t-1"), Incarnation(1), SequenceNumber(sequence), EndpointState::Serving,
                              Address("127.0.0.1:1"), service, version, SlotCount(2), coldRemaining});
        });
    }

    /// Passes requests to the handler. Their results are in results(), each after its request has ended.
    void handle(int count, Milliseconds timeLeft = Seconds(5))
    {
        run([&](InboundHandler &handler) {
            for (int index = 0; index < count; ++index) {
                InboundRequest item;
                item.target = TargetId("t-1");
                item.service = service;
                item.route = route;
                item.request = {"GET", "/a", {}, {}};
                item.deadline = EventLoop::now() + timeLeft;
                item.softDeadline = item.deadline;
                handler.handle(item, [this](InboundResult result) { m_results.push_back(std::move(result)); });
            }
        });
    }

    [[nodiscard]] std::vector<InboundResult> results()
    {
        std::vector<InboundResult> results;
        m_thread.run([&] { results = m_results; });
        return results;
    }

    [[nodiscard]] std::map<InboundRefusal, int> refusals()
    {
        std::map<InboundRefusal, int> counts;
        for (const InboundResult &result : results())
            ++counts[result.refusal];
        return counts;
    }

private:
    LoopThread m_thread;
    MetricsRegistry m_metrics;
    LinkSchedule m_link{DataRate()};
    std::unique_ptr<AsyncHttpClient> m_client;
    std::unique_ptr<InboundHandler> m_handler;
    std::vector<InboundResult> m_results;
};

Service coldService()
{
    Service item;
    item.name = service;
    item.coldStart = Seconds(4);
    item.coldRate = RequestRate(1);
    return item;
}

} // namespace

// Guards against requests that leave their allowed regions when the near targets are busy, have failed or were tried.
TEST_CASE("only targets in allowed regions are chosen, for further attempts as well", "[proxy]")
{
    TargetBalancer balancer = balancerWith({endpoint("near", "east", "e1"), endpoint("far", "west", "w1")});
    BalancerRequest criteria = request();
    criteria.allowedRegions = AllowedRegions({RegionName("west")});
    CHECK(chosen(balancer, criteria, 0) == "far");
    criteria.tried = {TargetId("far")};
    CHECK(chosen(balancer, criteria, 0) == "far");
    balancer.remove(Address("far:1"));
    CHECK(chosen(balancer, criteria, 0).empty());
    CHECK(chosen(balancer, request(), 0) == "near");
}

// Guards against attempts at targets of an evacuated data centre, of targets that appear later as well.
TEST_CASE("targets of an evacuated data centre are not chosen until the evacuation ends", "[proxy]")
{
    TargetBalancer balancer = balancerWith({endpoint("near", "east", "e1"), endpoint("far", "west", "w1")});
    balancer.setEvacuated({DataCentreName("e1")}, at(0));
    balancer.apply(endpoint("late", "east", "e1"), at(1));
    CHECK(chosen(balancer, request(), 2) == "far");
    BalancerRequest criteria = request();
    criteria.tried = {TargetId("far")};
    CHECK(chosen(balancer, criteria, 2) == "far");
    balancer.setEvacuated({DataCentreName("e1"), DataCentreName("w1")}, at(3));
    CHECK(chosen(balancer, request(), 3).empty());
    balancer.setEvacuated({}, at(4));
    CHECK(chosen(balancer, request(), 10'000) != "far");
}

// Guards against a caller that is refused because its attempts are used up by the targets of one data centre, which
// knows of its evacuation before the caller's proxy does.
TEST_CASE("a refusal for an evacuation excludes the whole data centre for a time", "[proxy]")
{
    TargetBalancer balancer =
            balancerWith({endpoint("one", "east", "e1"), endpoint("two", "east", "e1"), endpoint("far", "west", "w1")});
    const auto claim = balancer.choose(request(), at(0));
    REQUIRE(claim);
    balancer.finish(*claim, TargetFeedback::Evacuated, std::nullopt, at(0));
    CHECK(chosen(balancer, request(), 1) == "far");
    CHECK(chosen(balancer, request(), 1'001) != "far");
}

// Guards against a caller's proxy that goes on sending to a target which refuses, and against one that never does.
TEST_CASE("a cold target is chosen when its turn comes", "[proxy]")
{
    TargetBalancer balancer = balancerWith({endpoint("cold", "east", "e1"), endpoint("far", "west", "w1")});
    const auto claim = balancer.choose(request(), at(0));
    REQUIRE(claim->target->endpoint.target == TargetId("cold"));
    TargetLoad load{0, 0, slots};
    load.cold = {Milliseconds(4'000), Milliseconds(300), Milliseconds(100)};
    balancer.finish(*claim, TargetFeedback::Refused, load, at(0));
    CHECK(balancer.timeToColdTarget(request(), at(0)) == Microseconds(0)); // another target can be used
    CHECK(chosen(balancer, request(), 1) == "far");
    CHECK(chosen(balancer, request(), 301) == "cold");
    CHECK(chosen(balancer, request(), 302) == "far");
    balancer.remove(Address("far:1"));
    CHECK(chosen(balancer, request(), 302).empty());
    CHECK(balancer.timeToColdTarget(request(), at(302)) == Milliseconds(299));
}

// Guards against a target in an evacuated data centre that gets requests of a proxy which has not learned of it, or
// requests that have waited.
TEST_CASE("an inbound handler in an evacuated data centre refuses requests as not executed", "[proxy]")
{
    Handler handler;
    handler.run([](InboundHandler &item) { item.setEvacuated(true); });
    handler.handle(3);
    CHECK(handler.refusals()[InboundRefusal::Evacuated] == 3);
    for (const InboundResult &result : handler.results())
        CHECK(result.outcome == ForwardOutcome::Refused);
    CHECK_FALSE(isTargetGone(InboundRefusal::Evacuated)); // the record of the target does not change when it ends
    handler.run([](InboundHandler &item) { item.setEvacuated(false); });
    handler.handle(1);
    CHECK(handler.refusals()[InboundRefusal::Evacuated] == 3);
}

// Guards against a request that waits at a target whose region a newer configuration has excluded, and against one of a
// proxy which has not read that configuration.
TEST_CASE("an inbound handler refuses requests that may not be served in its region", "[proxy]")
{
    bool isAllowed = true;
    InboundHandlerDependencies dependencies;
    dependencies.isRegionAllowed = [&isAllowed](const InboundRequest &) { return isAllowed; };
    Handler handler(dependencies);
    handler.run([&](InboundHandler &item) {
        isAllowed = false;
        item.refuseDisallowed();
    });
    handler.handle(2);
    CHECK(handler.refusals()[InboundRefusal::OtherRegion] == 2);
}

// Guards against a target that is flooded while it is cold. Its proxy sees all requests, so that no caller's proxy has
// to know of it.
TEST_CASE("an inbound handler sends a cold target no more than the bound and reports the time to send again", "[proxy]")
{
    Handler handler;
    handler.run([](InboundHandler &item) { item.setService(coldService()); });
    handler.announce(2, Seconds(4));
    handler.handle(30);
    std::this_thread::sleep_for(Milliseconds(100));
    const auto results = handler.results();
    const auto refusals = handler.refusals();
    REQUIRE(refusals.contains(InboundRefusal::Cold));
    CHECK(refusals.at(InboundRefusal::Cold) >= 25);
    for (const InboundResult &result : results) {
        if (result.refusal != InboundRefusal::Cold)
            continue;
        CHECK(result.outcome == ForwardOutcome::Refused);
        CHECK(result.retryAfter.count() > 0);
        CHECK(result.load->cold.wait.count() > 0);
        CHECK(result.load->cold.remaining > Milliseconds(3'000));
    }
}

// Guards against a restarted target that is flooded, and against an overloaded one that gets the rate of a cold one
// only because its responses are late.
TEST_CASE("a call that cannot connect limits the target, and one that is late does not", "[proxy]")
{
    const RawListener silent([](const RawConnection &connection, int) {
        static_cast<void>(connection.readUntil("never sent by the client"));
    });
    for (const bool isRunning : {true, false}) {
        CAPTURE(isRunning);
        InboundHandlerDependencies dependencies;
        if (isRunning)
            dependencies.target = silent.address();
        Handler handler(dependencies);
        handler.run([](InboundHandler &item) { item.setService(coldService()); });
        std::this_thread::sleep_for(announcementDelay * 2);
        handler.announce(2, Milliseconds(0));
        handler.handle(1, Milliseconds(50));
        for (int attempt = 0; attempt < 300 && handler.results().empty(); ++attempt)
            std::this_thread::sleep_for(Milliseconds(10));
        const auto results = handler.results();
        REQUIRE(results.size() == 1);
        CHECK(results[0].outcome == (isRunning ? ForwardOutcome::TimedOut : ForwardOutcome::NotSent));
        CHECK((results[0].load->cold == ColdReport()) == isRunning);
    }
}

// Guards against a proxy that never learns of an evacuation or of its end, or serves requests before it has.
TEST_CASE("evacuations are published as a whole and before the proxy is ready", "[proxy]")
{
    LoopThread thread;
    std::vector<std::set<DataCentreName>> published;
    std::vector<std::string> order;
    std::vector<TableReadHandler> polls;
    ControlDutyDependencies dependencies;
    const auto emptyTable = [&](const TableReadHandler &handler) {
        thread.loop().post([handler] { handler(TableReadResult()); });
    };
    dependencies.table.read = [&](const TableName &, const RowKey &, const TableReadHandler &handler) {
        emptyTable(handler);
    };
    dependencies.table.list = [&](const TableName &table, const TableReadHandler &handler) {
        if (table != TableName("op")) {
            emptyTable(handler);
            return;
        }
        TableReadResult result;
        result.asOfVersion = tableVersion(4);
        result.rows = {{RowKey("config"), RowVersion(3), ""}, {RowKey("evacuate/e1"), RowVersion(4), "{}"}};
        thread.loop().post([handler, result] { handler(result); });
    };
    dependencies.table.pollChanges = [&](const TableName &table, const TableVersion &, Milliseconds,
                                         const TableReadHandler &handler) {
        if (table == TableName("op"))
            polls.push_back(handler);
    };
    dependencies.table.commit = [](const TableTransaction &, const TableCommitHandler &) {};
    dependencies.documents.table = TableName("op");
    dependencies.documents.read = [](const TableRow &row, StoreEra) -> absl::StatusOr<OperatorDocument> {
        if (row.key == RowKey("config"))
            return std::make_shared<const ProxyConfig>(std::make_shared<const ConfigState>(), ConnectionLimits());
        return OperatorDocument{};
    };
    dependencies.documents.evacuatedDataCentre = [](const RowKey &key) -> std::optional<DataCentreName> {
        absl::string_view name = key.value();
        if (!absl::ConsumePrefix(&name, "evacuate/"))
            return std::nullopt;
        return DataCentreName(std::string(name));
    };
    dependencies.random = seededRandom(1);
    dependencies.inboundAddress = Address("127.0.0.1:1");
    dependencies.region = RegionName("east");
    dependencies.service = service;
    dependencies.publish = [&](const ControlUpdate &update) {
        if (const auto *evacuations = std::get_if<EvacuationsUpdate>(&update)) {
            published.push_back(evacuations->dataCentres);
            order.emplace_back("evacuations");
        } else if (std::holds_alternative<ProxyConfigPtr>(update)) {
            order.emplace_back("config");
        } else if (std::holds_alternative<InitialSyncDone>(update)) {
            order.emplace_back("ready");
        }
    };
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
    const auto pollsSeen = [&] {
        std::size_t count = 0;
        thread.run([&] { count = polls.size(); });
        return count;
    };
    const auto waitForPoll = [&](std::size_t count) {
        for (int attempt = 0; attempt < 300 && pollsSeen() < count; ++attempt)
            std::this_thread::sleep_for(Milliseconds(10));
        REQUIRE(pollsSeen() >= count);
    };
    waitForPoll(1);
    thread.run([&] {
        TableReadResult result;
        result.asOfVersion = tableVersion(6);
        result.put({RowKey("evacuate/w1"), RowVersion(5), "{}"});
        result.remove(RowKey("evacuate/e1"));
        polls.back()(result);
    });
    thread.run([&] {
        duty.reset();
        client.reset();
    });
    CHECK(order == std::vector<std::string>{"evacuations", "config", "ready", "evacuations"});
    REQUIRE(published.size() == 2);
    CHECK(published[0] == std::set{DataCentreName("e1")});
    CHECK(published[1] == std::set{DataCentreName("w1")});
}

} // namespace dandeliondock::testing
