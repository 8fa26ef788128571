#include <dandeliondock/config/config_store.h>
#include <dandeliondock/core/error.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

Revision revisionOf(std::uint64_t number)
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

// Guards against a late or repeated revision taking a proxy back to an older configuration.
TEST_CASE("revisions that arrive in any order never lower the one in force", "[config]")
{
    rc::prop("the revision in force never falls", [](const std::vector<std::uint8_t> &arrivals) {
        ConfigStore store;
        RevisionNumber last;
        for (const std::uint8_t arrival : arrivals) {
            const std::uint64_t number = 1 + arrival % 6;
            const absl::Status status = store.apply(revisionOf(number));
            const RevisionNumber now = store.current()->revision();
            RC_ASSERT(now >= last);
            RC_ASSERT(status.ok() == (number <= last.value() + 1));
            last = now;
        }
    });
}

// Guards against a revision that is applied in part when one of its references does not resolve.
TEST_CASE("a revision with an unresolved reference changes nothing", "[config]")
{
    ConfigStore store;
    REQUIRE(store.apply(revisionOf(1)).ok());
    const ConfigStatePtr before = store.current();
    Revision bad = revisionOf(2);
    Route route;
    route.name = RouteName("orders");
    route.pathPrefix = "/orders";
    route.service = ServiceName("absent");
    bad.ticket.resources.emplace_back(route);
    CHECK(errorKind(store.apply(bad)) == ErrorKind::UnresolvedReference);
    CHECK(store.current() == before);
}

} // namespace dandeliondock
