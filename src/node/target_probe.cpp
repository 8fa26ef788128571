#include <dandeliondock/node/target_probe.h>

#include <dandeliondock/core/error.h>

namespace dandeliondock {

HealthCheckResult probeTarget(HttpClient &client, const ProbePlan &plan)
{
    HttpRequest request;
    request.method = "GET";
    request.target = plan.path.empty() ? defaultHealthPath : plan.path;
    SendOptions options;
    options.timeout = plan.limit;
    options.connectTimeout = plan.limit;
    const SendResult result = client.send(plan.target, request, options);
    if (!result.response.ok())
        return errorKind(result.response.status()) == ErrorKind::NotSent ? HealthCheckResult::Refused
                                                                         : HealthCheckResult::NoResponse;
    if (!plan.drainHeader.empty() && result.response->headers.first(plan.drainHeader))
        return HealthCheckResult::Draining;
    return result.response->status < 400 ? HealthCheckResult::Healthy : HealthCheckResult::Unhealthy;
}

ProbeResult probeResultOf(HealthCheckResult poll) noexcept
{
    switch (poll) {
    case HealthCheckResult::Draining:
        return ProbeResult::Draining;
    case HealthCheckResult::Refused:
    case HealthCheckResult::NoResponse:
        return ProbeResult::Unreachable;
    case HealthCheckResult::Healthy:
    case HealthCheckResult::Unhealthy:
        break;
    }
    // An unhealthy page counts too, because it may be out of date and the target did respond.
    return ProbeResult::AcceptsRequests;
}

} // namespace dandeliondock
