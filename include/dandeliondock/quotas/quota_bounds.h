#pragma once

#include <dandeliondock/core/units.h>

namespace dandeliondock {

/// \brief Tolerance of the request quotas: in any window, an account runs at most
/// (rate x window + burst) x (1 + excess) + slack requests over all proxies.
struct QuotaBounds
{
    Milliseconds window{5'000};
    double excess = 0.1; ///< as a fraction of the quota
    RequestAmount slack{20};

    bool operator==(const QuotaBounds &) const = default;
};

} // namespace dandeliondock
