#include <dandeliondock/node/target_probe.h>

#include <dandeliondock/core/error.h>

namespace dandeliondock {

HealthPoll probeTarget(HttpClient &client, const ProbePlan &plan)
{
    HttpRequest request;
    request.method = "GET";
    request.target = plan.path.empty() ? defaultHealthPath : plan.path;
    SendOptions options;
    options.timeout = plan.limit;
    options.connectTimeout = plan.limit;
    const SendResult result = client.send(plan.target, request, options);
    if (!result.response.ok())
        return errorKind(result.response.status()) == ErrorKind::NotSent ? HealthPoll::Refused : HealthPoll::NoAnswer;
    if (!plan.drainHeader.empty() && result.response->headers.first(plan.drainHeader))
        return HealthPoll::Draining;
    return result.response->status < 400 ? HealthPoll::Healthy : HealthPoll::Unhealthy;
}

ProbeResult probeResultOf(HealthPoll poll) noexcept
{
    switch (poll) {
    case HealthPoll::Draining:
        return ProbeResult::Draining;
    case HealthPoll::Refused:
    case HealthPoll::NoAnswer:
        return ProbeResult::Unreachable;
    case HealthPoll::Healthy:
    case HealthPoll::Unhealthy:
        break;
    }
    // An unhealthy page may lag, and the target did answer.
    return ProbeResult::TakesWork;
}

} // namespace dandeliondock
