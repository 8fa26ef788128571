#pragma once

#include <dandeliondock/core/units.h>

namespace dandeliondock {

/// \brief What the proxy beside a target reports to callers' proxies while the target's rate is limited.
struct ColdReport
{
    Milliseconds remaining{0}; ///< time for which the limit is expected to last; 0: there is no limit
    Milliseconds wait{0};      ///< time after which the receiver may send the next request
    Milliseconds interval{0};  ///< time between two requests at the full rate of the target

    bool operator==(const ColdReport &) const = default;
};

} // namespace dandeliondock
