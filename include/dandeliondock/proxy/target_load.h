#pragma once

#include <cstdint>

namespace dandeliondock {

/// \brief Load of a target as the proxy beside it counts it.
struct TargetLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    bool operator==(const TargetLoad &) const = default;
};

} // namespace dandeliondock
