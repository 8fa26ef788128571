#pragma once

#include <cstdint>

namespace dandeliondock {

/// \brief Load of a target, counted by the proxy on the same instance.
struct TargetLoad
{
    std::uint32_t running = 0; ///< requests that the target is processing
    std::uint32_t waiting = 0; ///< requests in the inbound queue
    std::uint32_t slots = 0;   ///< requests that the target processes at once

    bool operator==(const TargetLoad &) const = default;
};

} // namespace dandeliondock
