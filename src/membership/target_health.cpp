#include <dandeliondock/membership/target_health.h>

namespace dandeliondock {

namespace {

constexpr int healthyPollsToServe = 2;
constexpr int unhealthyPollsToWithdraw = 3;
// A single refused connection may mean only that the accept queue is full.
constexpr int refusalsToGone = 3;
constexpr Milliseconds responseTtl{2'000};

} // namespace

std::optional<EndpointState> TargetHealth::poll(HealthCheckResult result, MonotonicTime now)
{
    switch (result) {
    case HealthCheckResult::Healthy:
        return handleHealthy();
    case HealthCheckResult::Unhealthy:
    case HealthCheckResult::NoResponse:
        return handleUnhealthy(now);
    case HealthCheckResult::Draining:
        return handleDraining();
    case HealthCheckResult::Refused:
        return handleRefused();
    }
    return std::nullopt;
}

std::optional<EndpointState> TargetHealth::recordResponse(PassiveHealthSignal passiveSignal, MonotonicTime now)
{
    switch (passiveSignal) {
    case PassiveHealthSignal::Responded:
        m_lastResponse = now;
        m_refusals = 0;
        return std::nullopt;
    case PassiveHealthSignal::Draining:
        return handleDraining();
    case PassiveHealthSignal::Refused:
        return handleRefused();
    }
    return std::nullopt;
}

std::optional<EndpointState> TargetHealth::handleHealthy()
{
    m_refusals = 0;
    m_unhealthyPolls = 0;
    // A drain ends only when the draining process has closed its port: see handleRefused().
    if (m_state == EndpointState::Leaving)
        return std::nullopt;
    if (++m_healthyPolls < healthyPollsToServe)
        return std::nullopt;
    return changeState(EndpointState::Serving);
}

std::optional<EndpointState> TargetHealth::handleUnhealthy(MonotonicTime now)
{
    m_healthyPolls = 0;
    const bool responds = m_lastResponse && now - *m_lastResponse < responseTtl;
    if (responds || m_state != EndpointState::Serving) {
        m_unhealthyPolls = 0;
        return std::nullopt;
    }
    if (++m_unhealthyPolls < unhealthyPollsToWithdraw)
        return std::nullopt;
    return changeState(EndpointState::Starting);
}

std::optional<EndpointState> TargetHealth::handleRefused()
{
    m_healthyPolls = 0;
    if (++m_refusals < refusalsToGone || m_state == EndpointState::Starting)
        return std::nullopt;
    return changeState(EndpointState::Gone);
}

std::optional<EndpointState> TargetHealth::handleDraining()
{
    m_healthyPolls = 0;
    if (m_state == EndpointState::Gone)
        return std::nullopt;
    return changeState(EndpointState::Leaving);
}

std::optional<EndpointState> TargetHealth::changeState(EndpointState state)
{
    if (m_state == state)
        return std::nullopt;
    m_state = state;
    m_unhealthyPolls = 0;
    return state;
}

} // namespace dandeliondock
