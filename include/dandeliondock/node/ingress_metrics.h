#pragma once

#include <dandeliondock/core/metrics.h>

namespace dandeliondock {

/// \brief Counter and histograms that requests update, looked up once. Thread-safe; the registry must outlive it.
///
/// \remark Counters of refusals and extra attempts have a reason as label and are looked up when one occurs.
struct IngressMetrics
{
    explicit IngressMetrics(MetricsRegistry &metrics)
        : requests(metrics.counter("ingress_requests_total")),
          targetLatency(metrics.histogram("ingress_target_seconds")),
          requestLatency(metrics.histogram("ingress_request_seconds"))
    {
    }

    Counter &requests;
    LatencyHistogram &targetLatency;  ///< of one attempt, until the response or, when it is streamed, its headers
    LatencyHistogram &requestLatency; ///< of the whole request
};

} // namespace dandeliondock
