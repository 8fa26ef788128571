#pragma once

#include <dandeliondock/core/units.h>

#include <functional>

namespace dandeliondock {

/// \brief Hooks that return the current time.
///
/// \remark Both hooks must be callable from any thread.
struct TimeSource
{
    std::function<MonotonicTime()> monotonic;
    std::function<WallTime()> wall;
};

/// \brief Returns the clocks of the operating system. Thread-safe.
[[nodiscard]] TimeSource systemTime();

} // namespace dandeliondock
