#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/http/client.h>
#include <dandeliondock/membership/target_health.h>
#include <dandeliondock/routing/service_pool.h>

#include <string>

namespace dandeliondock {

/// \brief Path of the health page when neither the target's settings nor its service name one.
inline constexpr const char *defaultHealthPath = "/healthz";

/// \brief Parameters of a request to a target's health page.
struct ProbePlan
{
    Address target;
    std::string path;        ///< defaultHealthPath when empty
    std::string drainHeader; ///< name of the header that marks a draining target; empty when the service defines none
    Milliseconds limit{250};
};

/// \brief Requests a target's health page once. Thread-safe; returns within the plan's limit.
[[nodiscard]] HealthCheckResult probeTarget(HttpClient &client, const ProbePlan &plan);

/// \brief Returns whether a health check result lets requests be sent to the target. Thread-safe.
[[nodiscard]] ProbeResult probeResultOf(HealthCheckResult poll) noexcept;

} // namespace dandeliondock
