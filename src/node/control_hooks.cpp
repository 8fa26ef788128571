#include <dandeliondock/node/control_hooks.h>

namespace dandeliondock {

ControlHooks noopControlHooks()
{
    ControlHooks hooks;
    hooks.directoryDigest = [] { return DirectoryDigest(); };
    hooks.endpointCursor = [] { return ChangeCursor(); };
    hooks.endpointChanges = [](ChangeCursor, const RegionName &) { return EndpointChanges(); };
    hooks.allEndpoints = [](const RegionName &) { return std::vector<Endpoint>(); };
    hooks.mergeEndpoints = [](const std::vector<Endpoint> &) { return false; };
    hooks.controlAddresses = [] { return std::vector<Address>(); };
    hooks.childLost = [](const LostChild &) {};
    hooks.reachableRegions = [] { return std::vector<RegionName>(); };
    hooks.recordRegionContact = [](const std::vector<RegionName> &) {};
    hooks.upstreamResponded = [] {};
    hooks.rollouts = [] { return std::vector<RolloutRecord>(); };
    hooks.mergeRollouts = [](const std::vector<RolloutRecord> &) { return false; };
    hooks.pendingOutcomes = [] { return std::optional<OutcomeBatch>(); };
    hooks.outcomesAcknowledged = [](SequenceNumber) {};
    hooks.acceptOutcomes = [](const ChildId &, const OutcomeBatch &) {};
    hooks.onParentChanged = [] {};
    hooks.readyChanged = [](bool) {};
    hooks.onLivenessTick = [] {};
    hooks.headAdvanced = [] {};
    return hooks;
}

} // namespace dandeliondock
