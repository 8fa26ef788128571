#pragma once

#include <dandeliondock/routing/router.h>

#include <string>
#include <vector>

namespace dandeliondock::tests {

/// \brief Returns the endpoint of a serving target of the service "ledger"; \c number distinguishes its id and address.
inline Endpoint servingTarget(unsigned number, const std::string &version = "v1", const std::string &dataCentre = "a",
                              const std::string &region = "east")
{
    Endpoint record;
    record.target = TargetId("t" + std::to_string(number));
    record.stamp = {Incarnation(1), SequenceNumber(1), EndpointState::Serving};
    record.address = Address("127.0.0.1:" + std::to_string(10'000 + number));
    record.service = ServiceName("ledger");
    record.version = VersionName(version);
    record.region = RegionName(region);
    record.dataCentre = DataCentreName(dataCentre);
    record.slots = SlotCount(20);
    return record;
}

/// \brief Returns a configuration with the service "ledger" and the given routes, which all lead to that service.
///
/// The service has version v1 or, with \c withRollout, a rollout from v1 to v2.
inline ConfigStatePtr ledgerState(std::vector<Route> routes, bool withRollout = false)
{
    Ticket ticket;
    ticket.number = TicketNumber(1);
    ticket.author = AuthorName("ada");
    Service service;
    service.name = ServiceName("ledger");
    service.version = VersionName(withRollout ? "v2" : "v1");
    if (withRollout) {
        service.previousVersion = VersionName("v1");
        service.rollout = RolloutPlan{};
    }
    ticket.resources = {Version{service.name, VersionName("v1")}, Version{service.name, VersionName("v2")}, service};
    for (Route &route : routes) {
        route.service = service.name;
        ticket.resources.emplace_back(route);
    }
    auto state = ConfigState().apply({RevisionNumber(1), ticket, WallTime{}});
    return std::make_shared<const ConfigState>(*std::move(state));
}

/// \brief Returns a route without a service.
inline Route routeOf(const std::string &name, const std::string &prefix, const std::string &host = {},
                     WorkClass workClass = WorkClass::Interactive)
{
    Route route;
    route.name = RouteName(name);
    route.pathPrefix = prefix;
    route.host = host;
    route.workClass = workClass;
    return route;
}

/// \brief Returns the caller "n1" in data centre "a" of region "east".
inline PoolCaller callerInA()
{
    return {NodeId("n1"), {RegionName("east"), DataCentreName("a")}, 1};
}

/// \brief Returns the outcome of an attempt that got a response with \c status.
inline AttemptOutcome attemptOutcome(int status = 200)
{
    AttemptOutcome outcome;
    outcome.status = status;
    return outcome;
}

/// \brief Returns the outcome of an attempt that ended with \c result.
inline AttemptOutcome outcomeOf(AttemptResult result)
{
    AttemptOutcome outcome;
    outcome.result = result;
    return outcome;
}

} // namespace dandeliondock::tests
