#include "process_test_helpers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <future>

namespace dandeliondock::testing {
namespace {

constexpr std::chrono::seconds detectionLimit{5};
constexpr std::size_t downloadBytes = 4'000'000;
constexpr int orderCount = 20;

// Whether \c observer knows \c target as a serving endpoint.
bool seesTargetServing(TestCluster &cluster, const NodeProcess &observer, const std::string &target)
{
    const std::optional<wire::NodeStatus> status = cluster.status(observer);
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

// Whether the target of a node has executed a request whose id begins with \c prefix.
bool hasExecuted(const NodeProcess &node, const std::string &prefix)
{
    const SendResult runs = targetRequest(node, {"GET", "/standin/runs", {}, {}});
    REQUIRE(runs.response.ok());
    return runs.response->body.find(prefix) != std::string::npos;
}

// Starts two nodes with a target each, and waits until each node sees both targets as serving.
void startTwoNodes(TestCluster &cluster)
{
    for (const char *name : {"n1", "n2"})
        (void)cluster.startNode({name, "east-mids", "em-1", TargetSpec{"ledger", "v1", 20, {}}});
    REQUIRE(eventually([&] { return cluster.status(cluster.node("n2")).has_value(); }, convergenceLimit));
    REQUIRE(cluster.fileTicket(cluster.node("n2"), ledgerTicket(1, "ada")) == 0);
    for (const char *name : {"n1", "n2"}) {
        NodeProcess &node = cluster.node(name);
        REQUIRE(eventually([&] { return hasStatus(cluster.call(node, orderOf("warm")), 200); }, convergenceLimit));
        const auto seesBothTargets = [&] {
            return seesTargetServing(cluster, node, "n1-target") && seesTargetServing(cluster, node, "n2-target");
        };
        REQUIRE(eventually(seesBothTargets, convergenceLimit));
    }
}

// Sends orders through a node and returns how many of them get status 200.
int countSuccessfulOrders(TestCluster &cluster, const NodeProcess &node)
{
    int successCount = 0;
    for (int index = 0; index < orderCount; ++index)
        successCount += hasStatus(cluster.call(node, orderOf(absl::StrCat("late", index))), 200) ? 1 : 0;
    return successCount;
}

} // namespace

// Guards against a planned stop of a node that interrupts a download, and against new requests to the target of a node
// that is stopping.
TEST_CASE("a stopping node finishes a download, and its target receives no new requests", "[process]")
{
    TestCluster cluster("stopped-node", "east-mids");
    startTwoNodes(cluster);
    NodeProcess &stoppedNode = cluster.node("n1");
    NodeProcess &otherNode = cluster.node("n2");
    const std::string slowBody = absl::StrCat(R"({"body_block_delay_ms": 20, "body_bytes": )", downloadBytes, "}");
    for (const NodeProcess *node : {&stoppedNode, &otherNode})
        REQUIRE(hasStatus(targetRequest(*node, {"POST", "/standin/behaviour", {}, slowBody}), 200));
    auto download = std::async(std::launch::async, [&] {
        HttpRequest request = orderOf("download");
        return cluster.call(stoppedNode, request, Milliseconds{30'000});
    });
    REQUIRE(eventually([&] { return hasExecuted(stoppedNode, "download") || hasExecuted(otherNode, "download"); },
                       convergenceLimit));

    stoppedNode.process->signal(SIGTERM);
    CHECK(eventually([&] { return !seesTargetServing(cluster, otherNode, "n1-target"); }, detectionLimit));
    REQUIRE(hasStatus(targetRequest(otherNode, {"POST", "/standin/behaviour", {}, "{}"}), 200));
    CHECK(countSuccessfulOrders(cluster, otherNode) == orderCount);
    CHECK_FALSE(hasExecuted(stoppedNode, "late"));
    const SendResult result = download.get();
    REQUIRE(result.response.ok());
    CHECK(result.response->body.size() == downloadBytes);
    CHECK(stoppedNode.process->wait() == 0);
}

// Guards against requests to a target that died, and against orders that fail because of it.
TEST_CASE("a killed target receives no requests and orders still succeed", "[process]")
{
    TestCluster cluster("killed-target", "east-mids");
    startTwoNodes(cluster);
    cluster.node("n1").target->signal(SIGKILL);
    NodeProcess &otherNode = cluster.node("n2");
    CHECK(eventually([&] { return !seesTargetServing(cluster, otherNode, "n1-target"); }, detectionLimit));
    CHECK(countSuccessfulOrders(cluster, otherNode) == orderCount);
}

// Guards against requests to a target that reports on its health page that it drains.
TEST_CASE("a draining target receives no new requests", "[process]")
{
    TestCluster cluster("draining-target", "east-mids");
    startTwoNodes(cluster);
    NodeProcess &drainingNode = cluster.node("n1");
    NodeProcess &otherNode = cluster.node("n2");
    REQUIRE(hasStatus(targetRequest(drainingNode, {"POST", "/standin/behaviour", {}, R"({"draining": true})"}), 200));
    CHECK(eventually([&] { return !seesTargetServing(cluster, otherNode, "n1-target"); }, detectionLimit));
    CHECK(countSuccessfulOrders(cluster, otherNode) == orderCount);
    CHECK_FALSE(hasExecuted(drainingNode, "late"));
}

} // namespace dandeliondock::testing
