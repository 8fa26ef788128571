#include "process_test_helpers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

namespace dandeliondock::testing {
namespace {

constexpr std::size_t nodeCount = 12;
constexpr std::chrono::seconds startLimit{30};
// A frozen holder's lease lasts 3 s, and its children detect the missing responses within 2 s.
constexpr std::chrono::seconds repairLimit{25};

bool holdsRevision(TestCluster &fleet, const NodeProcess &node, std::uint64_t revision)
{
    const std::optional<wire::NodeStatus> status = fleet.status(node);
    return status && status->revision() == revision && status->path_size() > 0;
}

// Whether every node but \c excluded holds the revision and has a place in the tree.
bool allHold(TestCluster &fleet, std::uint64_t revision, const NodeProcess *excluded = nullptr)
{
    return std::all_of(fleet.nodes().begin(), fleet.nodes().end(), [&](const auto &node) {
        return !node->process || node.get() == excluded || holdsRevision(fleet, *node, revision);
    });
}

// The node with the most children among those that match.
template <typename Match>
NodeProcess *busiest(TestCluster &fleet, Match match)
{
    NodeProcess *best = nullptr;
    std::uint32_t children = 0;
    for (const auto &node : fleet.nodes()) {
        const std::optional<wire::NodeStatus> status = node->process ? fleet.status(*node) : std::nullopt;
        if (status && match(*status) && (best == nullptr || status->children() > children)) {
            best = node.get();
            children = status->children();
        }
    }
    return best;
}

} // namespace

// Guards against nodes that stay behind after the process above them dies or stops without closing its connections.
TEST_CASE("two regions converge after a relay is killed and another is frozen", "[process]")
{
    TestCluster fleet("distribution", "east-mids", ", \"fan_out\": 3");
    fleet.usePeers();
    for (std::size_t i = 0; i < nodeCount; ++i) {
        const std::string region = i % 2 == 0 ? "east-mids" : "west-mids";
        fleet.startNode({absl::StrCat("n", i), region, region + "-1", std::nullopt});
    }
    REQUIRE(eventually([&] { return fleet.fileTicket(*fleet.nodes().front(), ledgerTicket(1, "ada")) == 0; },
                       startLimit));
    REQUIRE(eventually([&] { return allHold(fleet, 1); }, startLimit));

    NodeProcess *killed = busiest(fleet, [](const wire::NodeStatus &status) { return status.path_size() > 1; });
    REQUIRE(killed != nullptr);
    killed->process.reset();
    NodeProcess *frozen = busiest(
            fleet, [](const wire::NodeStatus &status) { return status.path_size() == 1 || status.children() > 0; });
    REQUIRE(frozen != nullptr);
    frozen->process->signal(SIGSTOP);

    const auto filer = std::find_if(fleet.nodes().begin(), fleet.nodes().end(),
                                    [&](const auto &node) { return node->process && node.get() != frozen; });
    REQUIRE(eventually([&] { return fleet.fileTicket(**filer, ledgerTicket(2, "ada", 900)) == 0; }, startLimit));
    CHECK(eventually([&] { return allHold(fleet, 2, frozen); }, repairLimit));

    frozen->process->signal(SIGCONT);
    CHECK(eventually([&] { return allHold(fleet, 2); }, repairLimit));
    for (const auto &node : fleet.nodes()) {
        if (node->process)
            node->process->signal(SIGTERM);
    }
    for (const auto &node : fleet.nodes())
        CHECK((!node->process || node->process->wait() == 0));
}

} // namespace dandeliondock::testing
