#include <dandeliondock/relay/relay_protocol.h>
#include <dandeliondock/relay/relay_serving.h>

namespace dandeliondock {

// In a large fleet, children are still served recent data after contact with the platform is lost: a short loss would
// otherwise make all of them switch to other sources at once. They reject data by its age.
bool mayServeCopy(const ServedCopyState &state) noexcept
{
    if (state.isCurrent)
        return true;
    return state.age && *state.age <= maxRelayedAge && state.fleetSize >= largeFleetThreshold;
}

} // namespace dandeliondock
