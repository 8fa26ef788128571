#include <dandeliondock/membership/target_health.h>

namespace dandeliondock {

namespace {

constexpr int healthyPollsToServe = 2;
constexpr int unhealthyPollsToWithdraw = 3;
// One refused connection may be a full accept queue.
constexpr int refusalsToGone = 3;
constexpr Milliseconds answerLife{2'000};

} // namespace

std::optional<EndpointState> TargetHealth::poll(HealthCheckResult result, MonotonicTime now)
{
    switch (result) {
    case HealthCheckResult::Healthy:
        return healthy();
    case HealthCheckResult::Unhealthy:
    case HealthCheckResult::NoAnswer:
        return unhealthy(now);
    case HealthCheckResult::Draining:
        return drain();
    case HealthCheckResult::Refused:
        return refused();
    }
    return std::nullopt;
}

std::optional<EndpointState> TargetHealth::recordResponse(PassiveHealthSignal sign, MonotonicTime now)
{
    switch (sign) {
    case PassiveHealthSignal::Responded:
        m_lastAnswer = now;
        m_refusals = 0;
        return std::nullopt;
    case PassiveHealthSignal::Draining:
        return drain();
    case PassiveHealthSignal::Refused:
        return refused();
    }
    return std::nullopt;
}

std::optional<EndpointState> TargetHealth::healthy()
{
    m_refusals = 0;
    m_unhealthyPolls = 0;
    // A drain ends only when the process that drains has closed its port: see refused().
    if (m_state == EndpointState::Leaving)
        return std::nullopt;
    if (++m_healthyPolls < healthyPollsToServe)
        return std::nullopt;
    return change(EndpointState::Serving);
}

std::optional<EndpointState> TargetHealth::unhealthy(MonotonicTime now)
{
    m_healthyPolls = 0;
    const bool answers = m_lastAnswer && now - *m_lastAnswer < answerLife;
    if (answers || m_state != EndpointState::Serving) {
        m_unhealthyPolls = 0;
        return std::nullopt;
    }
    if (++m_unhealthyPolls < unhealthyPollsToWithdraw)
        return std::nullopt;
    return change(EndpointState::Starting);
}

std::optional<EndpointState> TargetHealth::refused()
{
    m_healthyPolls = 0;
    if (++m_refusals < refusalsToGone || m_state == EndpointState::Starting)
        return std::nullopt;
    return change(EndpointState::Gone);
}

std::optional<EndpointState> TargetHealth::drain()
{
    m_healthyPolls = 0;
    if (m_state == EndpointState::Gone)
        return std::nullopt;
    return change(EndpointState::Leaving);
}

std::optional<EndpointState> TargetHealth::change(EndpointState state)
{
    if (m_state == state)
        return std::nullopt;
    m_state = state;
    m_unhealthyPolls = 0;
    return state;
}

} // namespace dandeliondock
