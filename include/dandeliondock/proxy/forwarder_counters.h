#pragma once

#include <dandeliondock/core/metrics.h>

namespace dandeliondock {

/// \brief The numbers that every request of a forwarder changes, looked up once. Thread-safe; the registry must outlive
/// it.
///
/// \remark Refusals, failures and unanswered attempts are looked up by their reason when they occur.
struct ForwarderCounters
{
    explicit ForwarderCounters(MetricsRegistry &metrics)
        : requests(metrics.counter("requests_total")), callersDisconnected(metrics.counter("callers_left_total")),
          latency(metrics.histogram("request_seconds"))
    {
    }

    Counter &requests;
    Counter &callersDisconnected;
    LatencyHistogram &latency; ///< of the whole request
};

} // namespace dandeliondock
