#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/places/cold_report.h>

#include <cstdint>

namespace dandeliondock {

/// \brief Load of a target, counted by the proxy on the same instance.
struct TargetLoad
{
    std::uint32_t running = 0; ///< requests that the target is processing
    std::uint32_t waiting = 0; ///< requests in the inbound queue
    std::uint32_t slots = 0;   ///< requests that the target processes at once

    /// Time that the link of the target's instance needs for the responses that are queued or expected.
    Microseconds linkBacklog{0};

    Microseconds workTime{0};      ///< mean work time of the request's route on this target; 0 when it is unknown
    std::uint32_t workPercent = 0; ///< work time that the target reports for the moment, 100 is usual; 0 when unknown
    ColdReport cold{};             ///< limit on the rate of the target, if it is cold

    bool operator==(const TargetLoad &) const = default;
};

} // namespace dandeliondock
