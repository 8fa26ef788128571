#include "process_test_helpers.h"

#include <catch2/catch.hpp>

namespace dandeliondock::testing {
namespace {

constexpr int exitSuccess = 0;
constexpr int exitFailed = 1;

} // namespace

// Guards against a filing that is told wrongly, and against an outage of the platform that reaches callers.
TEST_CASE("an outage of the platform refuses tickets and leaves what is in force", "[process]")
{
    TestCluster fleet("platform-faults", "east-mids");
    NodeProcess &node = fleet.startNode({"n1", "east-mids", "em-1", TargetSpec{"ledger", "v1", 20, {}}});
    REQUIRE(eventually([&] { return fleet.status(node).has_value(); }, convergence));
    REQUIRE(fleet.fileTicket(node, ledgerTicket(1, "ada")) == exitSuccess);
    const HttpRequest order{"POST", "/orders", {}, "finisher"};
    REQUIRE(eventually([&] { return hasStatus(fleet.call(node, order), 200); }, convergence));

    REQUIRE(hasStatus(fleet.callPlatform({"POST", "/standin/faults", {}, R"({"outage": true})"}), 200));
    CHECK(fleet.fileTicket(node, ledgerTicket(2, "ada")) == exitFailed);
    CHECK(hasStatus(fleet.call(node, order), 200));
    CHECK(fleet.status(node)->revision() == 1);

    REQUIRE(hasStatus(fleet.callPlatform({"POST", "/standin/faults", {}, R"({"delay_ms": 200})"}), 200));
    CHECK(fleet.fileTicket(node, ledgerTicket(2, "ada")) == exitSuccess);
    REQUIRE(hasStatus(fleet.callPlatform({"POST", "/standin/faults", {}, R"({"lost_answers": 10000})"}), 200));
    CHECK(fleet.fileTicket(node, ledgerTicket(3, "ada")) == exitSuccess);
    REQUIRE(hasStatus(fleet.callPlatform({"POST", "/standin/faults", {}, "{}"}), 200));
    std::string output;
    CHECK(fleet.fileTicket(node, ledgerTicket(3, "ada"), &output) == exitSuccess);
    CHECK(output == "ticket 3 was accepted before as revision 3\n");
    CHECK(eventually([&] { return fleet.allNodesAtRevision(3); }, convergence));
}

} // namespace dandeliondock::testing
