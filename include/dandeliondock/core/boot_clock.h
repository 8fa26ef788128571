#pragma once

#include <dandeliondock/core/units.h>

#include <chrono>

namespace dandeliondock {

/// \brief Clock that counts from the start of the machine and continues while the machine is suspended.
///
/// \remark now() is thread-safe.
struct BootClock
{
    using duration = Microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name of the standard

    [[nodiscard]] static time_point now() noexcept;
};

/// \brief A time on the clock of this machine that continues while it is suspended; meaningless to other machines.
using BootTime = BootClock::time_point;

} // namespace dandeliondock
