#include "process_test_helpers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <future>

namespace dandeliondock::testing {
namespace {

bool holdsRootLease(TestCluster &cluster, const NodeProcess &node)
{
    const std::optional<wire::NodeStatus> status = cluster.status(node);
    return status && std::any_of(status->leases().begin(), status->leases().end(), [](const std::string &lease) {
               return lease.find("root") != std::string::npos;
           });
}

// Moves the route of the orders to another path: a node that still uses the old revision then serves a path that it
// must refuse.
constexpr const char *movedRouteTicket = R"({"number": 2, "author": "ada", "resources": [
    {"route": {"name": "orders", "path_prefix": "/moved", "service": "ledger", "timeout_ms": 1000,
               "work_class": "WORK_CLASS_CRITICAL"}}]})";

} // namespace

// Guards against a lease holder that resumes after its lease has expired and then uses or reports an old revision.
TEST_CASE("a node paused beyond its lease refuses requests until it has confirmed its revision", "[process]")
{
    TestCluster cluster("paused-node", "east-mids");
    NodeProcess &pausedNode = cluster.startNode({"n1", "east-mids", "em-1", TargetSpec{"ledger", "v1", 20, {}}});
    REQUIRE(eventually([&] { return holdsRootLease(cluster, pausedNode); }, convergenceLimit));
    NodeProcess &otherNode = cluster.startNode({"n2", "east-mids", "em-1", std::nullopt});
    REQUIRE(eventually([&] { return cluster.status(otherNode).has_value(); }, convergenceLimit));
    REQUIRE(cluster.fileTicket(otherNode, ledgerTicket(1, "ada")) == 0);
    const HttpRequest order{"POST", "/orders", {}, "finisher"};
    REQUIRE(eventually([&] { return hasStatus(cluster.call(pausedNode, order), 200); }, convergenceLimit));

    pausedNode.process->signal(SIGSTOP);
    REQUIRE(eventually([&] { return holdsRootLease(cluster, otherNode); }, convergenceLimit));
    REQUIRE(cluster.fileTicket(otherNode, movedRouteTicket) == 0);
    REQUIRE(eventually([&] { return cluster.status(otherNode)->revision() == 2; }, convergenceLimit));
    auto pendingResult =
            std::async(std::launch::async, [&] { return cluster.call(pausedNode, order, Milliseconds{10'000}); });
    pausedNode.process->signal(SIGCONT);
    CHECK(isRefusal(pendingResult.get(), "not-run"));

    std::uint64_t highestRevision = 1;
    bool hasRevisionDecreased = false;
    bool hasRoutedByOldRevision = false;
    const auto routesByNewRevision = [&] {
        const std::optional<wire::NodeStatus> status = cluster.status(pausedNode);
        const std::uint64_t revision = status ? status->revision() : highestRevision;
        hasRevisionDecreased = hasRevisionDecreased || revision < highestRevision;
        highestRevision = std::max(highestRevision, revision);
        hasRoutedByOldRevision = hasRoutedByOldRevision || !isRefusal(cluster.call(pausedNode, order), "not-run");
        HttpRequest movedOrder = order;
        movedOrder.target = "/moved";
        return hasStatus(cluster.call(pausedNode, movedOrder), 200);
    };
    CHECK(eventually(routesByNewRevision, convergenceLimit));
    // The moved order may have been routed by a revision that arrived after the status was read in the same iteration.
    const std::optional<wire::NodeStatus> finalStatus = cluster.status(pausedNode);
    REQUIRE(finalStatus);
    CHECK(finalStatus->revision() >= highestRevision);
    highestRevision = std::max<std::uint64_t>(highestRevision, finalStatus->revision());
    CHECK_FALSE(hasRevisionDecreased);
    CHECK_FALSE(hasRoutedByOldRevision);
    CHECK(highestRevision == 2);
}

} // namespace dandeliondock::testing
