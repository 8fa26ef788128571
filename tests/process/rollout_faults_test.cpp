#include "process_test_helpers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

namespace dandeliondock::testing {
namespace {

constexpr std::chrono::seconds rolloutLimit{45};
constexpr Milliseconds deadline{25'000};
const HttpRequest order{"POST", "/orders", {}, "finisher"};

std::string versionTicket()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto end = std::chrono::duration_cast<Milliseconds>(now) + deadline;
    return absl::StrCat(R"({"number": 2, "author": "ada", "resources": [
        {"version": {"service": "ledger", "name": "v2"}},
        {"service": {"name": "ledger", "version": "v2", "previous_version": "v1",
                     "slots_per_target": 20, "connections_per_target": 130,
                     "rollout": {"deadline_unix_ms": ")",
                        end.count(), R"(", "stage_shares": [5000, 10000], "observation_ms": 2000}}}]})");
}

bool rolloutIs(TestCluster &fleet, const NodeProcess &node, wire::RolloutRecord::State state)
{
    const std::optional<wire::NodeStatus> status = fleet.status(node);
    return status
           && std::any_of(status->rollouts().begin(), status->rollouts().end(),
                          [state](const wire::RolloutRecord &record) { return record.state() == state; });
}

// The root (n0, without a target), a target of each version, and a node that is frozen in some tests.
void startFleet(TestCluster &fleet, const std::string &newBehaviour)
{
    NodeProcess &root = fleet.startNode({"n0", "east-mids", "em-1", std::nullopt});
    const auto holdsLease = [&] {
        const std::optional<wire::NodeStatus> status = fleet.status(root);
        return status && status->leases_size() > 0;
    };
    REQUIRE(eventually(holdsLease, convergence));
    (void)fleet.startNode({"n1", "east-mids", "em-1", TargetSpec{"ledger", "v1", 20, {}}});
    const std::vector<std::string> flags = {"--behaviour=" + newBehaviour};
    (void)fleet.startNode({"n2", "east-mids", "em-1", TargetSpec{"ledger", "v2", 20, flags}});
    (void)fleet.startNode({"n3", "east-mids", "em-1", std::nullopt});
    REQUIRE(eventually([&] { return fleet.allNodesAtRevision(0); }, convergence));
    REQUIRE(fleet.fileTicket(fleet.node("n1"), ledgerTicket(1, "ada")) == 0);
    for (const char *name : {"n1", "n3"})
        REQUIRE(eventually([&] { return hasStatus(fleet.call(fleet.node(name), order), 200); }, convergence));
}

void killRootInRollout(TestCluster &fleet)
{
    REQUIRE(fleet.fileTicket(fleet.node("n1"), versionTicket()) == 0);
    const auto runs = [&] { return rolloutIs(fleet, fleet.node("n1"), wire::RolloutRecord::STATE_RUNNING); };
    REQUIRE(eventually(runs, convergence));
    fleet.node("n0").process->signal(SIGKILL);
}

bool endsUnderLoad(TestCluster &fleet, wire::RolloutRecord::State state)
{
    return eventually(
            [&] {
                (void)fleet.call(fleet.node("n1"), order);
                return rolloutIs(fleet, fleet.node("n1"), state);
            },
            rolloutLimit);
}

} // namespace

// Guards against a bad version that stays because its driver died, and against a woken node that still sends to it.
TEST_CASE("a bad version is rolled back although the driver is killed", "[process]")
{
    TestCluster fleet("bad-version", "east-mids");
    startFleet(fleet, R"({"fault": {"kind": "KIND_STATUS", "status": 500, "path_prefix": "/orders"}})");
    killRootInRollout(fleet);
    NodeProcess &frozen = fleet.node("n3");
    frozen.process->signal(SIGSTOP);
    CHECK(endsUnderLoad(fleet, wire::RolloutRecord::STATE_ROLLED_BACK));

    frozen.process->signal(SIGCONT);
    int toBadVersion = 0;
    const auto respondsAgain = [&] {
        const SendResult result = fleet.call(frozen, order);
        const bool isBad = result.response.ok() && result.response->headers.first("X-Version") == "v2";
        toBadVersion += isBad ? 1 : 0;
        return hasStatus(result, 200);
    };
    CHECK(eventually(respondsAgain, convergence));
    for (int i = 0; i < 50; ++i)
        (void)respondsAgain();
    CHECK(toBadVersion == 0);
}

// Guards against a good version that stays unfinished because its driver died.
TEST_CASE("a good version completes although the driver is killed", "[process]")
{
    TestCluster fleet("good-version", "east-mids");
    startFleet(fleet, "{}");
    killRootInRollout(fleet);
    CHECK(endsUnderLoad(fleet, wire::RolloutRecord::STATE_COMPLETED));
}

} // namespace dandeliondock::testing
