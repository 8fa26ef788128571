#pragma once

#include <dandeliondock/core/metrics.h>

namespace dandeliondock {

/// \brief The numbers that every request changes, looked up once. Thread-safe; the registry must outlive it.
///
/// \remark Refusals and extra attempts are looked up by their reason when they occur.
struct IngressMetrics
{
    explicit IngressMetrics(MetricsRegistry &metrics)
        : requests(metrics.counter("ingress_requests_total")),
          targetLatency(metrics.histogram("ingress_target_seconds")),
          requestLatency(metrics.histogram("ingress_request_seconds"))
    {
    }

    Counter &requests;
    LatencyHistogram &targetLatency;  ///< of one attempt, until the answer or its head
    LatencyHistogram &requestLatency; ///< of the whole request
};

} // namespace dandeliondock
