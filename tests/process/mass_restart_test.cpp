#include "process_test_helpers.h"

#include <dandeliondock/codec/protobuf_codec.h>

#include <catch2/catch.hpp>

#include <standin.pb.h>

#include <csignal>

namespace dandeliondock::testing {
namespace {

constexpr int nodeCount = 8;
// Eight nodes that each polled the store four times a second for the length of the test would make 800 reads.
constexpr std::uint64_t maxStoreReads = 400;

std::uint64_t storeReadCount(TestCluster &cluster)
{
    const SendResult result = cluster.callPlatform({"GET", "/standin/counts", {}, {}});
    wire::StandinCounts counts;
    REQUIRE(result.response.ok());
    REQUIRE(parseJson(result.response->body, ErrorKind::InvalidMessage, "counts", counts).ok());
    return counts.reads();
}

} // namespace

// Guards against nodes that stay at an old revision, or overload the store with reads, when most nodes restart at once.
TEST_CASE("nodes that are restarted at the same time converge with a bounded number of store reads", "[process]")
{
    TestCluster cluster("herd", "east-mids");
    for (int index = 0; index < nodeCount; ++index)
        (void)cluster.startNode({absl::StrCat("n", index), "east-mids", "em-1", std::nullopt});
    NodeProcess &survivingNode = cluster.node("n0");
    REQUIRE(eventually([&] { return cluster.status(survivingNode).has_value(); }, convergenceLimit));
    REQUIRE(cluster.fileTicket(survivingNode, ledgerTicket(1, "ada")) == 0);
    REQUIRE(eventually([&] { return cluster.allNodesAtRevision(1); }, convergenceLimit));

    const std::uint64_t readsBefore = storeReadCount(cluster);
    for (int index = 1; index < nodeCount; ++index)
        cluster.node(absl::StrCat("n", index)).process->signal(SIGKILL);
    for (int index = 1; index < nodeCount; ++index)
        cluster.restartNode(cluster.node(absl::StrCat("n", index)));
    REQUIRE(cluster.fileTicket(survivingNode, ledgerTicket(2, "ada", 2'000)) == 0);
    CHECK(eventually([&] { return cluster.allNodesAtRevision(2); }, convergenceLimit));
    CHECK(storeReadCount(cluster) - readsBefore < maxStoreReads);
}

} // namespace dandeliondock::testing
