#pragma once

#include <dandeliondock/config/resources.h>
#include <dandeliondock/core/units.h>

namespace dandeliondock {

/// \brief Value of a response after the soft deadline, relative to one in time.
inline constexpr double lateResponseValue = 0.25;
/// \brief Smallest work that counts; without it requests of almost no work would displace all others.
inline constexpr Milliseconds minCountedWork{5};

/// \brief Properties of a request that decide what it is worth to run it.
struct RequestTerms
{
    WorkClass workClass = WorkClass::Interactive;
    MonotonicTime softDeadline; ///< a later response is worth less
    MonotonicTime deadline;     ///< a later response is worth nothing
    Microseconds work{0};       ///< expected time in a slot
};

/// \brief Returns the value of a response to a request that starts at \c start, by its time alone: from 0 to 1.
/// Thread-safe.
[[nodiscard]] double responseValue(const RequestTerms &terms, MonotonicTime start) noexcept;

/// \brief Returns the value for each second in a slot. Requests of one class are shed in the order of this figure;
/// short calls of running requests therefore stay, whose parents' work would be lost with them. Thread-safe.
[[nodiscard]] double valuePerWork(const RequestTerms &terms, MonotonicTime start) noexcept;

} // namespace dandeliondock
