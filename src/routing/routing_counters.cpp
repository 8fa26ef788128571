#include <dandeliondock/routing/routing_counters.h>

namespace dandeliondock {

namespace {

constexpr const char *refusals = "dandeliondock_routing_refusals_total";
constexpr const char *probes = "dandeliondock_routing_probes_total";
constexpr const char *selected = "dandeliondock_routing_selections_total";

} // namespace

RoutingCounters::RoutingCounters(MetricsRegistry &metrics)
    : noRoute(metrics.counter(refusals, "no_route")), notReady(metrics.counter(refusals, "not_ready")),
      noTarget(metrics.counter(refusals, "no_target")), overloaded(metrics.counter(refusals, "overloaded")),
      displaced(metrics.counter(refusals, "displaced")),
      deadlineUnmeetable(metrics.counter(refusals, "deadline_unmeetable")),
      deadlinePassed(metrics.counter(refusals, "deadline_passed")),
      queued(metrics.counter("dandeliondock_routing_queued_total")),
      sheds(metrics.counter("dandeliondock_routing_sheds_total")),
      ejections(metrics.counter("dandeliondock_routing_ejections_total")),
      probesTakeWork(metrics.counter(probes, "takes_work")), probesDraining(metrics.counter(probes, "draining")),
      probesUnreachable(metrics.counter(probes, "unreachable")), selections{&metrics.counter(selected, "data_centre"),
                                                                            &metrics.counter(selected, "region"),
                                                                            &metrics.counter(selected, "other_region")}
{
}

} // namespace dandeliondock
