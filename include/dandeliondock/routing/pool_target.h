#pragma once

#include <dandeliondock/membership/endpoint.h>
#include <dandeliondock/routing/concurrency_limit.h>
#include <dandeliondock/routing/load_estimate.h>
#include <dandeliondock/routing/locality.h>
#include <dandeliondock/routing/outlier_ejection.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>

namespace dandeliondock {

/// \brief What a caller knows of one target.
///
/// \remark Belongs to a ServicePool, which guards it.
struct PoolTarget
{
    PoolTarget(Endpoint record, LocalityTier distance, ConcurrencyLimit startLimit, MonotonicTime now)
        : endpoint(std::move(record)), tier(distance), limit(startLimit), servingSince(now)
    {
    }

    [[nodiscard]] bool isBusy() const noexcept { return inFlight >= std::min(limit.value(), connections.value()); }

    Endpoint endpoint;
    LocalityTier tier;
    ConcurrencyLimit limit;
    ConnectionCount connections{130}; ///< of the target, this caller's share
    OutlierEjection ejection;
    LoadEstimate load;
    MonotonicTime servingSince;
    std::optional<MonotonicTime> lastVerified; ///< last time the target was seen to take work
    bool isDraining = false;                   ///< seen to drain although it is announced as serving
    bool isLimitStarted = false;               ///< the limit was set from the number of callers
    std::uint32_t inFlight = 0;
};

using PoolTargetPtr = std::shared_ptr<PoolTarget>;

} // namespace dandeliondock
