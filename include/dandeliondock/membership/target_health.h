#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/membership/endpoint.h>

#include <optional>

namespace dandeliondock {

/// \brief What a poll of the target's health page saw.
enum class HealthCheckResult { Healthy, Unhealthy, Draining, Refused, NoAnswer };

/// \brief What a request to the target showed of it.
enum class PassiveHealthSignal { Responded, Draining, Refused };

/// \brief Decides the state of the local target from its health page and the answers seen.
///
/// The page may lag or mislead, so that it never decides alone: an unhealthy page counts only while no request is
/// answered, and a healthy page never outweighs refused connections or a drain mark.
///
/// \remark Not thread-safe.
class TargetHealth
{
public:
    /// \brief Takes in a poll.
    ///
    /// \return The state when it changed.
    std::optional<EndpointState> poll(HealthCheckResult result, MonotonicTime now);

    /// \brief Takes in what a request showed.
    ///
    /// \return The state when it changed.
    std::optional<EndpointState> recordResponse(PassiveHealthSignal sign, MonotonicTime now);

    [[nodiscard]] EndpointState state() const noexcept { return m_state; }

private:
    std::optional<EndpointState> healthy();
    std::optional<EndpointState> unhealthy(MonotonicTime now);
    std::optional<EndpointState> refused();
    std::optional<EndpointState> drain();
    std::optional<EndpointState> change(EndpointState state);

    EndpointState m_state = EndpointState::Starting;
    int m_healthyPolls = 0;
    int m_unhealthyPolls = 0;
    int m_refusals = 0;
    std::optional<MonotonicTime> m_lastAnswer;
};

} // namespace dandeliondock
