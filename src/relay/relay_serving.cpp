#include <dandeliondock/relay/relay_protocol.h>
#include <dandeliondock/relay/relay_serving.h>

namespace dandeliondock {

// The copy of a proxy that has lost its source is the latest one that its children can get while nobody reaches the
// platform. They know its age and prefer other sources. In a small fleet all of them read from the platform instead.
bool mayServeCopy(const ServedCopyState &state) noexcept
{
    return state.isCurrent || (state.age && state.fleetSize >= largeFleetThreshold);
}

} // namespace dandeliondock
