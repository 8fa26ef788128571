#include "process_test_helpers.h"

#include <catch2/catch.hpp>

#include <future>

namespace dandeliondock::testing {

// Guards against two conflicting tickets that are both accepted, and against a refusal that doesn't name the accepted
// ticket.
TEST_CASE("of two tickets filed with the same number exactly one is accepted", "[process]")
{
    TestCluster cluster("operator-race", "east-mids");
    NodeProcess &firstNode = cluster.startNode({"n1", "east-mids", "em-1", std::nullopt});
    NodeProcess &secondNode = cluster.startNode({"n2", "east-mids", "em-1", std::nullopt});
    REQUIRE(eventually([&] { return cluster.status(firstNode) && cluster.status(secondNode); }, convergenceLimit));

    const auto fileTicket = [](const NodeProcess &node, const std::string &json) {
        return operatorRequest(node, {"POST", "/tickets", {}, json});
    };
    auto adaFuture =
            std::async(std::launch::async, [&] { return fileTicket(firstNode, ledgerTicket(7, "ada", 1'000)); });
    auto graceFuture =
            std::async(std::launch::async, [&] { return fileTicket(secondNode, ledgerTicket(7, "grace", 2'000)); });
    const SendResult adaResult = adaFuture.get();
    const SendResult graceResult = graceFuture.get();
    REQUIRE((adaResult.response.ok() && graceResult.response.ok()));
    CHECK(hasStatus(adaResult, 200) != hasStatus(graceResult, 200));
    const SendResult &losingResult = hasStatus(adaResult, 200) ? graceResult : adaResult;
    const std::string winningAuthor = hasStatus(adaResult, 200) ? "ada" : "grace";
    CHECK(losingResult.response->body.find("ticket number 7 is used: " + winningAuthor) != std::string::npos);

    const SendResult lateResult = fileTicket(secondNode, ledgerTicket(6, "grace", 3'000));
    REQUIRE(lateResult.response.ok());
    CHECK(lateResult.response->status != 200);
    CHECK(lateResult.response->body.find("ticket 7") != std::string::npos);
}

} // namespace dandeliondock::testing
