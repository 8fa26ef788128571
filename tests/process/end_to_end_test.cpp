#include "support/test_cluster.h"

#include <catch2/catch.hpp>

#include <csignal>

namespace dandeliondock::testing {
namespace {

constexpr std::chrono::seconds convergenceLimit{10};

constexpr const char *ledgerTicket = R"({"number": 1, "author": "ada", "resources": [
    {"version": {"service": "ledger", "name": "v1"}},
    {"service": {"name": "ledger", "version": "v1", "slots_per_target": 20, "connections_per_target": 130}},
    {"route": {"name": "orders", "path_prefix": "/orders", "service": "ledger", "timeout_ms": 1000,
               "work_class": "WORK_CLASS_CRITICAL"}}]})";

} // namespace

// Guards against a fault anywhere on the way from filing a ticket to the response that a caller receives.
TEST_CASE("a filed ticket routes a caller's request to the target", "[process]")
{
    TestCluster cluster("whole-path", "east-mids");
    NodeProcess &node = cluster.startNode({"n1", "east-mids", "em-1", TargetSpec{"ledger", "v1", 20, {}}});
    REQUIRE(eventually([&] { return cluster.status(node).has_value(); }, convergenceLimit));
    CHECK(cluster.call(node, {"GET", "/orders", {}, {}}).response->status >= 400);

    REQUIRE(cluster.fileTicket(node, ledgerTicket) == 0);
    const HttpRequest order{"POST", "/orders?mill=7", {}, "finisher"};
    REQUIRE(eventually([&] { return cluster.call(node, order).response->status == 200; }, convergenceLimit));
    const SendResult result = cluster.call(node, order);
    REQUIRE(result.response.ok());
    CHECK(result.response->headers.first("X-Version") == "v1");

    node.process->signal(SIGTERM);
    CHECK(node.process->wait() == 0);
}

} // namespace dandeliondock::testing
