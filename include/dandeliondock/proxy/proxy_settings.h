#pragma once

#include <dandeliondock/attempts/retry_budget.h>
#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <absl/status/statusor.h>

#include <string>

namespace dandeliondock {

/// \brief Validated settings of a proxy.
struct ProxySettings
{
    NodeId node;
    RegionName region;
    DataCentreName dataCentre;
    Address callers;           ///< listener for callers on this instance and for calls of the local target
    Address inbound;           ///< listener for other proxies; settings key "door"
    Address health;            ///< listener for readiness checks
    Address announcements;     ///< listener for announcements of the local target
    Address metrics;           ///< listener for the metrics page
    Address target;            ///< address of the local target
    ServiceName service;       ///< service of the local target
    Address store;             ///< address of the platform's table
    Milliseconds grace{6'000}; ///< time from SIGTERM until the process is killed
    RetryBudgetLimits retries; ///< limits of this proxy, for each service
    DataRate responseRate;     ///< part of the link's rate that responses may use; 0: unlimited
    std::string logLevel = "info";

    bool operator==(const ProxySettings &) const = default;
};

/// \brief Parses and validates the contents of a settings file; InvalidSettings lists every error. Thread-safe.
[[nodiscard]] absl::StatusOr<ProxySettings> parseProxySettings(const std::string &json);

} // namespace dandeliondock
