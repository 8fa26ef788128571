#pragma once

#include <dandeliondock/core/metrics.h>

namespace dandeliondock {

/// \brief Metrics that the forwarder updates for every request, looked up once. Thread-safe; the registry must outlive
/// this object.
///
/// \remark The counters of refusals, failures and attempts without a response are looked up by reason when they occur.
struct ForwarderCounters
{
    explicit ForwarderCounters(MetricsRegistry &metrics)
        : requests(metrics.counter("requests_total")), callersDisconnected(metrics.counter("callers_left_total")),
          latency(metrics.histogram("request_seconds"))
    {
    }

    Counter &requests;
    Counter &callersDisconnected; ///< requests whose caller disconnected before the response
    LatencyHistogram &latency;    ///< from arrival to response, of requests with a response from a target
};

} // namespace dandeliondock
