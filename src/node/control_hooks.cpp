#include <dandeliondock/node/control_hooks.h>

namespace dandeliondock {

ControlHooks inertHooks()
{
    ControlHooks hooks;
    hooks.directoryDigest = [] { return DirectoryDigest(); };
    hooks.endpointCursor = [] { return ChangeCursor(); };
    hooks.endpointChanges = [](ChangeCursor, EndpointScope) { return EndpointChanges(); };
    hooks.allEndpoints = [](EndpointScope) { return std::vector<Endpoint>(); };
    hooks.mergeEndpoints = [](const std::vector<Endpoint> &) { return false; };
    hooks.controlAddresses = [] { return std::vector<Address>(); };
    hooks.childLost = [](const LostChild &) {};
    hooks.rollouts = [] { return std::vector<RolloutRecord>(); };
    hooks.mergeRollouts = [](const std::vector<RolloutRecord> &) { return false; };
    hooks.outcomesToSend = [] { return std::optional<OutcomeBatch>(); };
    hooks.outcomesTaken = [](SequenceNumber) {};
    hooks.takeOutcomes = [](const OutcomeBatch &) {};
    hooks.paused = [] {};
    return hooks;
}

} // namespace dandeliondock
