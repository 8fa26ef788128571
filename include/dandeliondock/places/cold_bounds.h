#pragma once

#include <dandeliondock/core/units.h>

namespace dandeliondock {

/// \brief Tolerance of the rate of a cold target: it gets at most rate x factor + slack requests in any second.
struct ColdBounds
{
    double factor = 1.5;
    RequestAmount slack{8};

    bool operator==(const ColdBounds &) const = default;
};

} // namespace dandeliondock
