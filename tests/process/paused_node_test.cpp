#include "process_test_helpers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <future>

namespace dandeliondock::testing {
namespace {

bool holdsRootLease(TestCluster &fleet, const NodeProcess &node)
{
    const std::optional<wire::NodeStatus> status = fleet.status(node);
    return status && std::any_of(status->leases().begin(), status->leases().end(), [](const std::string &lease) {
               return lease.find("root") != std::string::npos;
           });
}

// Moves the orders to another path, so that a node with the old revision responds where it must refuse.
constexpr const char *moveTicket = R"({"number": 2, "author": "ada", "resources": [
    {"route": {"name": "orders", "path_prefix": "/moved", "service": "ledger", "timeout_ms": 1000,
               "work_class": "WORK_CLASS_CRITICAL"}}]})";

} // namespace

// Guards against a lease holder that wakes after its lease expired and routes by, or reports, an old revision.
TEST_CASE("a node paused over its lease refuses until it has asked again", "[process]")
{
    TestCluster fleet("paused-node", "east-mids");
    NodeProcess &frozen = fleet.startNode({"n1", "east-mids", "em-1", TargetSpec{"ledger", "v1", 20, {}}});
    REQUIRE(eventually([&] { return holdsRootLease(fleet, frozen); }, convergence));
    NodeProcess &other = fleet.startNode({"n2", "east-mids", "em-1", std::nullopt});
    REQUIRE(eventually([&] { return fleet.status(other).has_value(); }, convergence));
    REQUIRE(fleet.fileTicket(other, ledgerTicket(1, "ada")) == 0);
    const HttpRequest order{"POST", "/orders", {}, "finisher"};
    REQUIRE(eventually([&] { return hasStatus(fleet.call(frozen, order), 200); }, convergence));

    frozen.process->signal(SIGSTOP);
    REQUIRE(eventually([&] { return holdsRootLease(fleet, other); }, convergence));
    REQUIRE(fleet.fileTicket(other, moveTicket) == 0);
    REQUIRE(eventually([&] { return fleet.status(other)->revision() == 2; }, convergence));
    auto waiting = std::async(std::launch::async, [&] { return fleet.call(frozen, order, Milliseconds{10'000}); });
    frozen.process->signal(SIGCONT);
    CHECK(isRefusal(waiting.get(), "not-run"));

    std::uint64_t highest = 1;
    bool fell = false;
    bool ran = false;
    const auto isCurrent = [&] {
        const std::optional<wire::NodeStatus> status = fleet.status(frozen);
        const std::uint64_t revision = status ? status->revision() : highest;
        fell = fell || revision < highest;
        highest = std::max(highest, revision);
        ran = ran || !isRefusal(fleet.call(frozen, order), "not-run");
        HttpRequest moved = order;
        moved.target = "/moved";
        return hasStatus(fleet.call(frozen, moved), 200);
    };
    CHECK(eventually(isCurrent, convergence));
    // The order may have been routed by a revision that came after the status of the same round.
    const std::optional<wire::NodeStatus> routing = fleet.status(frozen);
    REQUIRE(routing);
    CHECK(routing->revision() >= highest);
    highest = std::max<std::uint64_t>(highest, routing->revision());
    CHECK_FALSE(fell);
    CHECK_FALSE(ran);
    CHECK(highest == 2);
}

} // namespace dandeliondock::testing
