#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/http/client.h>
#include <dandeliondock/membership/target_health.h>
#include <dandeliondock/routing/service_pool.h>

#include <string>

namespace dandeliondock {

/// \brief Health page of a target whose settings or service name none.
inline constexpr const char *defaultHealthPath = "/healthz";

/// \brief How a target's health page is asked.
struct ProbePlan
{
    Address target;
    std::string path;        ///< empty takes defaultHealthPath
    std::string drainHeader; ///< empty when the service names none
    Milliseconds limit{250};
};

/// \brief Asks a target's health page once. Thread-safe; returns within the plan's limit.
[[nodiscard]] HealthCheckResult probeTarget(HttpClient &client, const ProbePlan &plan);

/// \brief What a poll says about sending work to the target. Thread-safe.
[[nodiscard]] ProbeResult probeResultOf(HealthCheckResult poll) noexcept;

} // namespace dandeliondock
