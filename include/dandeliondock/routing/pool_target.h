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

/// \brief Target of a service with the state that this caller keeps about it.
///
/// \remark Not thread-safe; guarded by the lock of its ServicePool.
struct PoolTarget
{
    PoolTarget(Endpoint record, LocalityTier distance, ConcurrencyLimit initialLimit, MonotonicTime now)
        : endpoint(std::move(record)), tier(distance), limit(initialLimit), servingSince(now)
    {
    }

    /// \brief Whether the concurrency limit or the connection limit is reached.
    [[nodiscard]] bool isBusy() const noexcept { return inFlight >= std::min(limit.value(), connections.value()); }

    Endpoint endpoint;
    LocalityTier tier;
    ConcurrencyLimit limit;
    ConnectionCount connections{130}; ///< number of connections that this caller may open to the target
    OutlierEjection ejection;
    LoadEstimate load;
    MonotonicTime servingSince;                ///< time at which this node learned that the target is serving
    std::optional<MonotonicTime> lastVerified; ///< last time the target was seen to accept requests
    bool isDraining = false;                   ///< observed to be draining although announced as serving
    bool isLimitInitialised = false;           ///< the limit was set from the number of callers
    std::uint32_t inFlight = 0;                ///< reserved slots of this caller
};

using PoolTargetPtr = std::shared_ptr<PoolTarget>;

} // namespace dandeliondock
