#include "process_test_helpers.h"

#include <dandeliondock/codec/protobuf_codec.h>

#include <catch2/catch.hpp>

#include <standin.pb.h>

namespace dandeliondock::testing {
namespace {

std::uint32_t runsOf(const NodeProcess &node, const std::string &id)
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

// Guards against a second run of an order whose response is lost, and against telling its caller that it did not run.
TEST_CASE("an order whose response is lost runs once and is reported as may-have-run", "[process]")
{
    TestCluster fleet("order-faults", "east-mids");
    NodeProcess &node = fleet.startNode({"n1", "east-mids", "em-1", TargetSpec{"ledger", "v1", 20, {}}});
    REQUIRE(eventually([&] { return fleet.status(node).has_value(); }, convergence));
    REQUIRE(fleet.fileTicket(node, ledgerTicket(1, "ada")) == 0);
    REQUIRE(eventually([&] { return hasStatus(fleet.call(node, orderOf("warm")), 200); }, convergence));

    for (const std::string kind : {"KIND_CLOSE", "KIND_SILENT"}) {
        const std::string behaviour = absl::StrCat(R"({"fault": {"kind": ")", kind, R"("}})");
        REQUIRE(hasStatus(targetRequest(node, {"POST", "/standin/behaviour", {}, behaviour}), 200));
        const SendResult result = fleet.call(node, orderOf(kind), Milliseconds{5'000});
        INFO(kind);
        CHECK(isRefusal(result, "may-have-run"));
        CHECK(runsOf(node, kind) == 1);
    }
}

} // namespace dandeliondock::testing
