#include "process_test_helpers.h"

#include <catch2/catch.hpp>

#include <future>

namespace dandeliondock::testing {

// Guards against two conflicting tickets that are both accepted, and a refusal that does not name the other ticket.
TEST_CASE("of two operators with one ticket number exactly one wins", "[process]")
{
    TestCluster fleet("operator-race", "east-mids");
    NodeProcess &first = fleet.startNode({"n1", "east-mids", "em-1", std::nullopt});
    NodeProcess &second = fleet.startNode({"n2", "east-mids", "em-1", std::nullopt});
    REQUIRE(eventually([&] { return fleet.status(first) && fleet.status(second); }, convergence));

    const auto file = [](const NodeProcess &node, const std::string &json) {
        return operatorRequest(node, {"POST", "/tickets", {}, json});
    };
    auto ada = std::async(std::launch::async, [&] { return file(first, ledgerTicket(7, "ada", 1'000)); });
    auto grace = std::async(std::launch::async, [&] { return file(second, ledgerTicket(7, "grace", 2'000)); });
    const SendResult adas = ada.get();
    const SendResult graces = grace.get();
    REQUIRE((adas.response.ok() && graces.response.ok()));
    CHECK(hasStatus(adas, 200) != hasStatus(graces, 200));
    const SendResult &loser = hasStatus(adas, 200) ? graces : adas;
    const std::string winner = hasStatus(adas, 200) ? "ada" : "grace";
    CHECK(loser.response->body.find("ticket number 7 is used: " + winner) != std::string::npos);

    const SendResult late = file(second, ledgerTicket(6, "grace", 3'000));
    REQUIRE(late.response.ok());
    CHECK(late.response->status != 200);
    CHECK(late.response->body.find("ticket 7") != std::string::npos);
}

} // namespace dandeliondock::testing
