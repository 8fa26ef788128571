#include <dandeliondock/routing/routing_counters.h>

namespace dandeliondock {

namespace {

constexpr const char *refusalsMetric = "dandeliondock_routing_refusals_total";
constexpr const char *probesMetric = "dandeliondock_routing_probes_total";
constexpr const char *selectionsMetric = "dandeliondock_routing_selections_total";

} // namespace

RoutingCounters::RoutingCounters(MetricsRegistry &metrics)
    : noRoute(metrics.counter(refusalsMetric, "no_route")), notReady(metrics.counter(refusalsMetric, "not_ready")),
      noTarget(metrics.counter(refusalsMetric, "no_target")), overloaded(metrics.counter(refusalsMetric, "overloaded")),
      displaced(metrics.counter(refusalsMetric, "displaced")),
      deadlineUnmeetable(metrics.counter(refusalsMetric, "deadline_unmeetable")),
      deadlinePassed(metrics.counter(refusalsMetric, "deadline_passed")),
      queued(metrics.counter("dandeliondock_routing_queued_total")),
      sheds(metrics.counter("dandeliondock_routing_sheds_total")),
      ejections(metrics.counter("dandeliondock_routing_ejections_total")),
      probesAcceptRequests(metrics.counter(probesMetric, "takes_work")),
      probesDraining(metrics.counter(probesMetric, "draining")),
      probesUnreachable(metrics.counter(probesMetric, "unreachable")),
      selections{&metrics.counter(selectionsMetric, "data_centre"), &metrics.counter(selectionsMetric, "region"),
                 &metrics.counter(selectionsMetric, "other_region")}
{
}

} // namespace dandeliondock
