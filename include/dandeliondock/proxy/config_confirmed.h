#pragma once

#include <dandeliondock/core/boot_clock.h>
#include <dandeliondock/core/ids.h>

namespace dandeliondock {

/// \brief The platform's table held no later configuration than this one.
struct ConfigConfirmed
{
    RevisionNumber revision;
    BootTime at; ///< a time at which this was certainly so
    /// Whether every row of the operator's table could be used. Otherwise a later configuration may be among the
    /// others.
    bool isComplete = true;
};

/// \brief Smallest progress of the confirmed time that is published, which bounds the messages between the duties.
inline constexpr Milliseconds confirmationInterval{200};

} // namespace dandeliondock
