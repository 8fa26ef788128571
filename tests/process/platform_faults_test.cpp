#include "process_test_helpers.h"

#include <catch2/catch.hpp>

namespace dandeliondock::testing {
namespace {

constexpr int exitSuccess = 0;
constexpr int exitFailed = 1;

} // namespace

// Guards against a wrong report of whether a ticket was accepted, and against an outage of the platform that affects
// callers.
TEST_CASE("during an outage of the platform tickets are refused and the current configuration stays in force",
          "[process]")
{
    TestCluster cluster("platform-faults", "east-mids");
    NodeProcess &node = cluster.startNode({"n1", "east-mids", "em-1", TargetSpec{"ledger", "v1", 20, {}}});
    REQUIRE(eventually([&] { return cluster.status(node).has_value(); }, convergenceLimit));
    REQUIRE(cluster.fileTicket(node, ledgerTicket(1, "ada")) == exitSuccess);
    const HttpRequest order{"POST", "/orders", {}, "finisher"};
    REQUIRE(eventually([&] { return hasStatus(cluster.call(node, order), 200); }, convergenceLimit));

    REQUIRE(hasStatus(cluster.callPlatform({"POST", "/standin/faults", {}, R"({"outage": true})"}), 200));
    CHECK(cluster.fileTicket(node, ledgerTicket(2, "ada")) == exitFailed);
    CHECK(hasStatus(cluster.call(node, order), 200));
    CHECK(cluster.status(node)->revision() == 1);

    REQUIRE(hasStatus(cluster.callPlatform({"POST", "/standin/faults", {}, R"({"delay_ms": 200})"}), 200));
    CHECK(cluster.fileTicket(node, ledgerTicket(2, "ada")) == exitSuccess);
    REQUIRE(hasStatus(cluster.callPlatform({"POST", "/standin/faults", {}, R"({"lost_answers": 10000})"}), 200));
    CHECK(cluster.fileTicket(node, ledgerTicket(3, "ada")) == exitSuccess);
    REQUIRE(hasStatus(cluster.callPlatform({"POST", "/standin/faults", {}, "{}"}), 200));
    std::string output;
    CHECK(cluster.fileTicket(node, ledgerTicket(3, "ada"), &output) == exitSuccess);
    CHECK(output == "ticket 3 was accepted before as revision 3\n");
    CHECK(eventually([&] { return cluster.allNodesAtRevision(3); }, convergenceLimit));
}

} // namespace dandeliondock::testing
