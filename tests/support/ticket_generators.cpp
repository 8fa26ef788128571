#include "ticket_generators.h"

namespace dandeliondock::testing {

namespace {

std::uint32_t drawNumber(std::uint32_t min, std::uint32_t bound)
{
    return *rc::gen::inRange(min, bound);
}

Route drawRoute()
{
    Route route;
    route.name = RouteName(*anyName());
    route.host = *rc::gen::element<std::string>("", "mill.example");
    route.pathPrefix = "/" + *anyName();
    route.service = ServiceName(*anyName());
    route.idempotent = *rc::gen::arbitrary<bool>();
    route.timeout = Milliseconds(drawNumber(1, 100'000));
    route.workClass = *rc::gen::element(WorkClass::Critical, WorkClass::Interactive, WorkClass::Deferrable);
    if (*rc::gen::arbitrary<bool>())
        route.allowedRegions = {RegionName("north"), RegionName("south")};
    route.isKeyExempt = *rc::gen::arbitrary<bool>();
    return route;
}

Service drawService()
{
    Service service;
    service.name = ServiceName(*anyName());
    service.version = VersionName("v2");
    service.slotsPerTarget = SlotCount(drawNumber(1, 1'000));
    service.connectionsPerTarget = ConnectionCount(drawNumber(1, 1'000));
    service.shedStatus = *rc::gen::element(0U, 429U, 503U);
    service.healthPath = *rc::gen::element<std::string>("", "/health");
    service.coldStart = Milliseconds(drawNumber(0, 10'000));
    service.coldRate = RequestRate(drawNumber(0, 100));
    if (*rc::gen::arbitrary<bool>()) {
        service.previousVersion = VersionName("v1");
        service.rollout = RolloutPlan{WallTime(Milliseconds(drawNumber(1, 1'000'000))),
                                      {Share(100), Share(10'000)},
                                      Milliseconds(drawNumber(1, 100'000))};
    }
    return service;
}

} // namespace

rc::Gen<std::string> anyName()
{
    return rc::gen::element<std::string>("orders", "ledger", "pricing", "slots", "documents", "v1", "v2", "a.b-c_d");
}

rc::Gen<Resource> anyResource()
{
    return rc::gen::exec([]() -> Resource {
        switch (drawNumber(0, 3)) {
        case 0:
            return drawRoute();
        case 1:
            return drawService();
        default:
            return Version{ServiceName(*anyName()), VersionName(*anyName())};
        }
    });
}

rc::Gen<Ticket> anyTicket()
{
    return rc::gen::exec([] {
        Ticket ticket;
        ticket.number = TicketNumber(*rc::gen::inRange<std::uint64_t>(1, 1'000'000'000'000));
        ticket.author = AuthorName(*anyName());
        ticket.note = *rc::gen::element<std::string>("", "new ledger", "\"quoted\" \n text");
        ticket.resources = *rc::gen::container<std::vector<Resource>>(anyResource());
        for (const Resource &resource : *rc::gen::container<std::vector<Resource>>(anyResource()))
            ticket.removals.push_back(keyOf(resource));
        return ticket;
    });
}

} // namespace dandeliondock::testing
