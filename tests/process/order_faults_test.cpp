#include "process_test_helpers.h"

#include <dandeliondock/codec/protobuf_codec.h>

#include <catch2/catch.hpp>

#include <standin.pb.h>

namespace dandeliondock::testing {
namespace {

std::uint32_t executionCount(const NodeProcess &node, const std::string &id)
{
    const SendResult result = targetRequest(node, {"GET", "/standin/runs", {}, {}});
    wire::TargetRuns runs;
    REQUIRE(result.response.ok());
    REQUIRE(parseJson(result.response->body, ErrorKind::InvalidMessage, "runs", runs).ok());
    const auto found = runs.runs().find(id);
    return found == runs.runs().end() ? 0 : found->second;
}

HttpRequest orderOf(const std::string &id)
{
    HttpRequest order{"POST", "/orders", {}, "finisher"};
    order.headers.add("X-Request-Id", id);
    return order;
}

} // namespace

// Guards against an order that is executed twice because its response was lost, and against a caller being told that
// such an order was not executed.
TEST_CASE("an order whose response is lost is executed once and reported as may-have-run", "[process]")
{
    TestCluster cluster("order-faults", "east-mids");
    NodeProcess &node = cluster.startNode({"n1", "east-mids", "em-1", TargetSpec{"ledger", "v1", 20, {}}});
    REQUIRE(eventually([&] { return cluster.status(node).has_value(); }, convergenceLimit));
    REQUIRE(cluster.fileTicket(node, ledgerTicket(1, "ada")) == 0);
    REQUIRE(eventually([&] { return hasStatus(cluster.call(node, orderOf("warm")), 200); }, convergenceLimit));

    for (const std::string kind : {"KIND_CLOSE", "KIND_SILENT"}) {
        const std::string behaviour = absl::StrCat(R"({"fault": {"kind": ")", kind, R"("}})");
        REQUIRE(hasStatus(targetRequest(node, {"POST", "/standin/behaviour", {}, behaviour}), 200));
        const SendResult result = cluster.call(node, orderOf(kind), Milliseconds{5'000});
        INFO(kind);
        CHECK(isRefusal(result, "may-have-run"));
        CHECK(executionCount(node, kind) == 1);
    }
}

} // namespace dandeliondock::testing
