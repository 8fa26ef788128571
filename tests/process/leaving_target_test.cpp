#include "process_test_helpers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <future>

namespace dandeliondock::testing {
namespace {

constexpr std::chrono::seconds noticeLimit{5};
constexpr std::size_t downloadBytes = 4'000'000;
constexpr int orders = 20;

bool servesAt(TestCluster &fleet, const NodeProcess &observer, const std::string &target)
{
    const std::optional<wire::NodeStatus> status = fleet.status(observer);
    return status
           && std::any_of(status->endpoints().begin(), status->endpoints().end(),
                          [&target](const wire::EndpointRecord &endpoint) {
                              return endpoint.target() == target
                                     && endpoint.state() == wire::EndpointRecord::STATE_SERVING;
                          });
}

HttpRequest orderOf(const std::string &id)
{
    HttpRequest order{"POST", "/orders", {}, "finisher"};
    order.headers.add("X-Request-Id", id);
    return order;
}

bool targetRan(const NodeProcess &node, const std::string &prefix)
{
    const SendResult runs = targetRequest(node, {"GET", "/standin/runs", {}, {}});
    REQUIRE(runs.response.ok());
    return runs.response->body.find(prefix) != std::string::npos;
}

// Two nodes with a target each, both known to both.
void startPair(TestCluster &fleet)
{
    for (const char *name : {"n1", "n2"})
        (void)fleet.startNode({name, "east-mids", "em-1", TargetSpec{"ledger", "v1", 20, {}}});
    REQUIRE(eventually([&] { return fleet.status(fleet.node("n2")).has_value(); }, convergence));
    REQUIRE(fleet.fileTicket(fleet.node("n2"), ledgerTicket(1, "ada")) == 0);
    for (const char *name : {"n1", "n2"}) {
        NodeProcess &node = fleet.node(name);
        REQUIRE(eventually([&] { return hasStatus(fleet.call(node, orderOf("warm")), 200); }, convergence));
        const auto knowsBoth = [&] { return servesAt(fleet, node, "n1-target") && servesAt(fleet, node, "n2-target"); };
        REQUIRE(eventually(knowsBoth, convergence));
    }
}

int countSuccessfulOrders(TestCluster &fleet, const NodeProcess &node)
{
    int successful = 0;
    for (int i = 0; i < orders; ++i)
        successful += hasStatus(fleet.call(node, orderOf(absl::StrCat("late", i))), 200) ? 1 : 0;
    return successful;
}

} // namespace

// Guards against a planned stop that cuts a download, and against new work for a target whose node stops.
TEST_CASE("a node that is stopped finishes its download and its target gets no new work", "[process]")
{
    TestCluster fleet("stopped-node", "east-mids");
    startPair(fleet);
    NodeProcess &stopped = fleet.node("n1");
    NodeProcess &other = fleet.node("n2");
    const std::string slowBody = absl::StrCat(R"({"body_block_delay_ms": 20, "body_bytes": )", downloadBytes, "}");
    for (const NodeProcess *node : {&stopped, &other})
        REQUIRE(hasStatus(targetRequest(*node, {"POST", "/standin/behaviour", {}, slowBody}), 200));
    auto download = std::async(std::launch::async, [&] {
        HttpRequest request = orderOf("download");
        return fleet.call(stopped, request, Milliseconds{30'000});
    });
    REQUIRE(eventually([&] { return targetRan(stopped, "download") || targetRan(other, "download"); }, convergence));

    stopped.process->signal(SIGTERM);
    CHECK(eventually([&] { return !servesAt(fleet, other, "n1-target"); }, noticeLimit));
    REQUIRE(hasStatus(targetRequest(other, {"POST", "/standin/behaviour", {}, "{}"}), 200));
    CHECK(countSuccessfulOrders(fleet, other) == orders);
    CHECK_FALSE(targetRan(stopped, "late"));
    const SendResult completed = download.get();
    REQUIRE(completed.response.ok());
    CHECK(completed.response->body.size() == downloadBytes);
    CHECK(stopped.process->wait() == 0);
}

// Guards against work for a target that died, and against orders that stop because of it.
TEST_CASE("a killed target gets no work and orders go on", "[process]")
{
    TestCluster fleet("killed-target", "east-mids");
    startPair(fleet);
    fleet.node("n1").target->signal(SIGKILL);
    NodeProcess &other = fleet.node("n2");
    CHECK(eventually([&] { return !servesAt(fleet, other, "n1-target"); }, noticeLimit));
    CHECK(countSuccessfulOrders(fleet, other) == orders);
}

// Guards against work for a target that reports on its health page that it drains.
TEST_CASE("a draining target gets no new work", "[process]")
{
    TestCluster fleet("draining-target", "east-mids");
    startPair(fleet);
    NodeProcess &draining = fleet.node("n1");
    NodeProcess &other = fleet.node("n2");
    REQUIRE(hasStatus(targetRequest(draining, {"POST", "/standin/behaviour", {}, R"({"draining": true})"}), 200));
    CHECK(eventually([&] { return !servesAt(fleet, other, "n1-target"); }, noticeLimit));
    CHECK(countSuccessfulOrders(fleet, other) == orders);
    CHECK_FALSE(targetRan(draining, "late"));
}

} // namespace dandeliondock::testing
