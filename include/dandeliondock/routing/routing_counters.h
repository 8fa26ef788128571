#pragma once

#include <dandeliondock/core/metrics.h>
#include <dandeliondock/routing/locality.h>

#include <array>

namespace dandeliondock {

/// \brief Metrics counters of routing; docs/routing.md describes each of them.
///
/// \remark Thread-safe. Must not outlive the registry.
struct RoutingCounters
{
    explicit RoutingCounters(MetricsRegistry &metrics);

    Counter &noRoute;
    Counter &notReady;
    Counter &noTarget;
    Counter &overloaded;
    Counter &displaced;
    Counter &deadlineUnmeetable;
    Counter &deadlinePassed;
    Counter &queued;
    Counter &sheds;
    Counter &ejections;
    Counter &probesAcceptRequests;
    Counter &probesDraining;
    Counter &probesUnreachable;
    std::array<Counter *, localityTierCount> selections; ///< indexed by LocalityTier
};

} // namespace dandeliondock
