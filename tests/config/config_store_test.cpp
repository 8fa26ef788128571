#include <dandeliondock/config/config_store.h>
#include <dandeliondock/core/error.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

Revision makeRevision(std::uint64_t number)
{
    Ticket ticket;
    ticket.number = TicketNumber(number);
    ticket.author = AuthorName("ada");
    const std::string version = "v" + std::to_string(number);
    ticket.resources = {Version{ServiceName("ledger"), VersionName(version)}, Service{ServiceName("ledger"),
                                                                                      VersionName(version),
                                                                                      {},
                                                                                      {},
                                                                                      SlotCount(20),
                                                                                      ConnectionCount(130),
                                                                                      0,
                                                                                      {},
                                                                                      {}}};
    return {RevisionNumber(number), ticket, WallTime{}};
}

} // namespace

// Guards against a delayed or repeated revision that returns a process to an older configuration.
TEST_CASE("revisions that arrive in any order never lower the current revision", "[config]")
{
    rc::prop("the current revision never falls and a gap is rejected", [](const std::vector<std::uint8_t> &numbers) {
        ConfigStore store;
        RevisionNumber highest;
        for (const std::uint8_t value : numbers) {
            const std::uint64_t number = 1 + value % 6;
            const absl::Status status = store.apply(makeRevision(number));
            const RevisionNumber current = store.current()->revision();
            RC_ASSERT(current >= highest);
            RC_ASSERT(status.ok() == (number <= highest.value() + 1));
            highest = current;
        }
    });
}

// Guards against a partly applied revision when one of its references does not resolve.
TEST_CASE("a revision with an unresolved reference leaves the configuration unchanged", "[config]")
{
    ConfigStore store;
    REQUIRE(store.apply(makeRevision(1)).ok());
    const ConfigStatePtr before = store.current();
    Revision invalid = makeRevision(2);
    Route route;
    route.name = RouteName("orders");
    route.pathPrefix = "/orders";
    route.service = ServiceName("absent");
    invalid.ticket.resources.emplace_back(route);
    CHECK(errorKind(store.apply(invalid)) == ErrorKind::UnresolvedReference);
    CHECK(store.current() == before);
}

} // namespace dandeliondock
