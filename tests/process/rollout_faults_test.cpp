#include "process_test_helpers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

namespace dandeliondock::testing {
namespace {

constexpr std::chrono::seconds rolloutLimit{45};
constexpr Milliseconds rolloutDuration{25'000};
const HttpRequest order{"POST", "/orders", {}, "finisher"};

std::string rolloutTicket()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto end = std::chrono::duration_cast<Milliseconds>(now) + rolloutDuration;
    return absl::StrCat(R"({"number": 2, "author": "ada", "resources": [
        {"version": {"service": "ledger", "name": "v2"}},
        {"service": {"name": "ledger", "version": "v2", "previous_version": "v1",
                     "slots_per_target": 20, "connections_per_target": 130,
                     "rollout": {"deadline_unix_ms": ")",
                        end.count(), R"(", "stage_shares": [5000, 10000], "observation_ms": 2000}}}]})");
}

bool hasRolloutInState(TestCluster &cluster, const NodeProcess &node, wire::RolloutRecord::State state)
{
    const std::optional<wire::NodeStatus> status = cluster.status(node);
    return status
           && std::any_of(status->rollouts().begin(), status->rollouts().end(),
                          [state](const wire::RolloutRecord &record) { return record.state() == state; });
}

// Starts the root (n0, without a target), a node with a target of version v1 (n1) and one of version v2 (n2), and a
// node without a target that some tests pause (n3).
void startCluster(TestCluster &cluster, const std::string &newBehaviour)
{
    NodeProcess &root = cluster.startNode({"n0", "east-mids", "em-1", std::nullopt});
    const auto holdsLease = [&] {
        const std::optional<wire::NodeStatus> status = cluster.status(root);
        return status && status->leases_size() > 0;
    };
    REQUIRE(eventually(holdsLease, convergenceLimit));
    (void)cluster.startNode({"n1", "east-mids", "em-1", TargetSpec{"ledger", "v1", 20, {}}});
    const std::vector<std::string> flags = {"--behaviour=" + newBehaviour};
    (void)cluster.startNode({"n2", "east-mids", "em-1", TargetSpec{"ledger", "v2", 20, flags}});
    (void)cluster.startNode({"n3", "east-mids", "em-1", std::nullopt});
    REQUIRE(eventually([&] { return cluster.allNodesAtRevision(0); }, convergenceLimit));
    REQUIRE(cluster.fileTicket(cluster.node("n1"), ledgerTicket(1, "ada")) == 0);
    for (const char *name : {"n1", "n3"})
        REQUIRE(eventually([&] { return hasStatus(cluster.call(cluster.node(name), order), 200); }, convergenceLimit));
}

// Files the ticket of the rollout and kills the root, which drives it, once the rollout runs.
void killRootDuringRollout(TestCluster &cluster)
{
    REQUIRE(cluster.fileTicket(cluster.node("n1"), rolloutTicket()) == 0);
    const auto isRunning = [&] {
        return hasRolloutInState(cluster, cluster.node("n1"), wire::RolloutRecord::STATE_RUNNING);
    };
    REQUIRE(eventually(isRunning, convergenceLimit));
    cluster.node("n0").process->signal(SIGKILL);
}

// Sends orders through n1 until its rollout has the state; returns false after \c rolloutLimit.
bool reachesStateUnderLoad(TestCluster &cluster, wire::RolloutRecord::State state)
{
    return eventually(
            [&] {
                (void)cluster.call(cluster.node("n1"), order);
                return hasRolloutInState(cluster, cluster.node("n1"), state);
            },
            rolloutLimit);
}

} // namespace

// Guards against a bad version that stays in use because the node that drives its rollout died, and against a resumed
// node that still sends requests to it.
TEST_CASE("a bad version is rolled back although the node that drives the rollout is killed", "[process]")
{
    TestCluster cluster("bad-version", "east-mids");
    startCluster(cluster, R"({"fault": {"kind": "KIND_STATUS", "status": 500, "path_prefix": "/orders"}})");
    killRootDuringRollout(cluster);
    NodeProcess &pausedNode = cluster.node("n3");
    pausedNode.process->signal(SIGSTOP);
    CHECK(reachesStateUnderLoad(cluster, wire::RolloutRecord::STATE_ROLLED_BACK));

    pausedNode.process->signal(SIGCONT);
    int badVersionResponses = 0;
    const auto respondsAgain = [&] {
        const SendResult result = cluster.call(pausedNode, order);
        const bool isBad = result.response.ok() && result.response->headers.first("X-Version") == "v2";
        badVersionResponses += isBad ? 1 : 0;
        return hasStatus(result, 200);
    };
    CHECK(eventually(respondsAgain, convergenceLimit));
    for (int index = 0; index < 50; ++index)
        (void)respondsAgain();
    CHECK(badVersionResponses == 0);
}

// Guards against the rollout of a good version that never completes because the node that drives it died.
TEST_CASE("a good version completes although the node that drives the rollout is killed", "[process]")
{
    TestCluster cluster("good-version", "east-mids");
    startCluster(cluster, "{}");
    killRootDuringRollout(cluster);
    CHECK(reachesStateUnderLoad(cluster, wire::RolloutRecord::STATE_COMPLETED));
}

} // namespace dandeliondock::testing
