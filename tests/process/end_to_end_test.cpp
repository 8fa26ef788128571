#include "support/test_cluster.h"

#include <catch2/catch.hpp>

#include <csignal>

namespace dandeliondock::testing {
namespace {

constexpr std::chrono::seconds convergence{10};

constexpr const char *ledgerTicket = R"({"number": 1, "author": "ada", "resources": [
    {"version": {"service": "ledger", "name": "v1"}},
    {"service": {"name": "ledger", "version": "v1", "slots_per_target": 20, "connections_per_target": 130}},
    {"route": {"name": "orders", "path_prefix": "/orders", "service": "ledger", "timeout_ms": 1000,
               "work_class": "WORK_CLASS_CRITICAL"}}]})";

} // namespace

// Guards against a broken link anywhere between an operator's ticket and a caller's response.
TEST_CASE("a filed ticket makes a caller's request reach the target", "[process]")
{
    TestCluster fleet("whole-path", "east-mids");
    NodeProcess &node = fleet.startNode({"n1", "east-mids", "em-1", TargetSpec{"ledger", "v1", 20, {}}});
    REQUIRE(eventually([&] { return fleet.status(node).has_value(); }, convergence));
    CHECK(fleet.call(node, {"GET", "/orders", {}, {}}).response->status >= 400);

    REQUIRE(fleet.fileTicket(node, ledgerTicket) == 0);
    const HttpRequest order{"POST", "/orders?mill=7", {}, "finisher"};
    REQUIRE(eventually([&] { return fleet.call(node, order).response->status == 200; }, convergence));
    const SendResult result = fleet.call(node, order);
    REQUIRE(result.response.ok());
    CHECK(result.response->headers.first("X-Version") == "v1");

    node.process->signal(SIGTERM);
    CHECK(node.process->wait() == 0);
}

} // namespace dandeliondock::testing
