#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/membership/endpoint.h>

#include <optional>

namespace dandeliondock {

/// \brief Result of one poll of the target's health page.
enum class HealthCheckResult { Healthy, Unhealthy, Draining, Refused, NoResponse };

/// \brief Passive health signal taken from a request to the target.
enum class PassiveHealthSignal { Responded, Draining, Refused };

/// \brief Derives the state of the local target from polls of its health page and from requests to it.
///
/// The health page may lag or be wrong, so it is not used alone: an unhealthy page counts only while no request gets a
/// response, and a healthy page does not override refused connections or a response with the drain header.
///
/// \remark Not thread-safe.
class TargetHealth
{
public:
    /// \brief Applies the result of a poll of the health page.
    ///
    /// \return The new state if it changed; otherwise empty.
    std::optional<EndpointState> poll(HealthCheckResult result, MonotonicTime now);

    /// \brief Applies the passive signal of a request.
    ///
    /// \return The new state if it changed; otherwise empty.
    std::optional<EndpointState> recordResponse(PassiveHealthSignal passiveSignal, MonotonicTime now);

    [[nodiscard]] EndpointState state() const noexcept { return m_state; }

private:
    std::optional<EndpointState> handleHealthy();
    std::optional<EndpointState> handleUnhealthy(MonotonicTime now);
    std::optional<EndpointState> handleRefused();
    std::optional<EndpointState> handleDraining();
    std::optional<EndpointState> changeState(EndpointState state);

    EndpointState m_state = EndpointState::Starting;
    int m_healthyPolls = 0;
    int m_unhealthyPolls = 0;
    int m_refusals = 0;
    std::optional<MonotonicTime> m_lastResponse;
};

} // namespace dandeliondock
