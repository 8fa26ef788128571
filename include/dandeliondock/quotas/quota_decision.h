#pragma once

#include <dandeliondock/core/units.h>

namespace dandeliondock {

/// \brief Whether a request may be served under the quota of its account.
struct QuotaDecision
{
    bool isAdmitted = true;
    Milliseconds retryAfter{0}; ///< for a refused request: time until capacity is expected
};

} // namespace dandeliondock
