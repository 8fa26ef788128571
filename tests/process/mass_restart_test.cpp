#include "process_test_helpers.h"

#include <dandeliondock/codec/protobuf_codec.h>

#include <catch2/catch.hpp>

#include <standin.pb.h>

#include <csignal>

namespace dandeliondock::testing {
namespace {

constexpr int nodeCount = 8;
// Eight nodes that each polled the store four times a second for the time of the test would read 800 times.
constexpr std::uint64_t readBound = 400;

std::uint64_t readsOf(TestCluster &fleet)
{
    const SendResult result = fleet.callPlatform({"GET", "/standin/counts", {}, {}});
    wire::StandinCounts counts;
    REQUIRE(result.response.ok());
    REQUIRE(parseJson(result.response->body, ErrorKind::InvalidMessage, "counts", counts).ok());
    return counts.reads();
}

} // namespace

// Guards against a restart of most nodes at once that leaves some behind or floods the store.
TEST_CASE("a mass restart of nodes converges with bounded store reads", "[process]")
{
    TestCluster fleet("herd", "east-mids");
    for (int i = 0; i < nodeCount; ++i)
        (void)fleet.startNode({absl::StrCat("n", i), "east-mids", "em-1", std::nullopt});
    NodeProcess &survivor = fleet.node("n0");
    REQUIRE(eventually([&] { return fleet.status(survivor).has_value(); }, convergence));
    REQUIRE(fleet.fileTicket(survivor, ledgerTicket(1, "ada")) == 0);
    REQUIRE(eventually([&] { return fleet.allNodesAtRevision(1); }, convergence));

    const std::uint64_t before = readsOf(fleet);
    for (int i = 1; i < nodeCount; ++i)
        fleet.node(absl::StrCat("n", i)).process->signal(SIGKILL);
    for (int i = 1; i < nodeCount; ++i)
        fleet.restartNode(fleet.node(absl::StrCat("n", i)));
    REQUIRE(fleet.fileTicket(survivor, ledgerTicket(2, "ada", 2'000)) == 0);
    CHECK(eventually([&] { return fleet.allNodesAtRevision(2); }, convergence));
    CHECK(readsOf(fleet) - before < readBound);
}

} // namespace dandeliondock::testing
