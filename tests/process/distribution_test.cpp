#include "process_test_helpers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

namespace dandeliondock::testing {
namespace {

constexpr std::size_t nodeCount = 12;
constexpr std::chrono::seconds startLimit{30};
// The lease of a paused lease holder expires after 3 s; its children detect within 2 s that it doesn't respond.
constexpr std::chrono::seconds recoveryLimit{25};

bool isAtRevision(TestCluster &cluster, const NodeProcess &node, std::uint64_t revision)
{
    const std::optional<wire::NodeStatus> status = cluster.status(node);
    return status && status->revision() == revision && status->path_size() > 0;
}

// Whether every running node except \c excluded has the revision and a path to the root of the distribution tree.
bool allAtRevision(TestCluster &cluster, std::uint64_t revision, const NodeProcess *excluded = nullptr)
{
    return std::all_of(cluster.nodes().begin(), cluster.nodes().end(), [&](const auto &node) {
        return !node->process || node.get() == excluded || isAtRevision(cluster, *node, revision);
    });
}

// Returns the node with the most children among those whose status matches; null if none does.
template <typename Predicate>
NodeProcess *nodeWithMostChildren(TestCluster &cluster, Predicate matches)
{
    NodeProcess *best = nullptr;
    std::uint32_t maxChildren = 0;
    for (const auto &node : cluster.nodes()) {
        const std::optional<wire::NodeStatus> status = node->process ? cluster.status(*node) : std::nullopt;
        if (status && matches(*status) && (best == nullptr || status->children() > maxChildren)) {
            best = node.get();
            maxChildren = status->children();
        }
    }
    return best;
}

} // namespace

// Guards against nodes that stay at an old revision after their parent process dies, or stops running without closing
// its connections.
TEST_CASE("two regions converge after one relay node is killed and another is paused", "[process]")
{
    TestCluster cluster("distribution", "east-mids", ", \"fan_out\": 3");
    cluster.usePeers();
    for (std::size_t index = 0; index < nodeCount; ++index) {
        const std::string region = index % 2 == 0 ? "east-mids" : "west-mids";
        cluster.startNode({absl::StrCat("n", index), region, region + "-1", std::nullopt});
    }
    REQUIRE(eventually([&] { return cluster.fileTicket(*cluster.nodes().front(), ledgerTicket(1, "ada")) == 0; },
                       startLimit));
    REQUIRE(eventually([&] { return allAtRevision(cluster, 1); }, startLimit));

    NodeProcess *killedNode =
            nodeWithMostChildren(cluster, [](const wire::NodeStatus &status) { return status.path_size() > 1; });
    REQUIRE(killedNode != nullptr);
    killedNode->process.reset();
    NodeProcess *pausedNode = nodeWithMostChildren(
            cluster, [](const wire::NodeStatus &status) { return status.path_size() == 1 || status.children() > 0; });
    REQUIRE(pausedNode != nullptr);
    pausedNode->process->signal(SIGSTOP);

    const auto filingNode = std::find_if(cluster.nodes().begin(), cluster.nodes().end(),
                                         [&](const auto &node) { return node->process && node.get() != pausedNode; });
    REQUIRE(eventually([&] { return cluster.fileTicket(**filingNode, ledgerTicket(2, "ada", 900)) == 0; }, startLimit));
    CHECK(eventually([&] { return allAtRevision(cluster, 2, pausedNode); }, recoveryLimit));

    pausedNode->process->signal(SIGCONT);
    CHECK(eventually([&] { return allAtRevision(cluster, 2); }, recoveryLimit));
    for (const auto &node : cluster.nodes()) {
        if (node->process)
            node->process->signal(SIGTERM);
    }
    for (const auto &node : cluster.nodes())
        CHECK((!node->process || node->process->wait() == 0));
}

} // namespace dandeliondock::testing
