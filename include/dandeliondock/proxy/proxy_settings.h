#pragma once

#include <dandeliondock/attempts/retry_budget.h>
#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <absl/status/statusor.h>

#include <string>

namespace dandeliondock {

/// \brief Checked settings of a proxy.
struct ProxySettings
{
    NodeId node;
    RegionName region;
    DataCentreName dataCentre;
    Address callers;
    Address inbound;
    Address health;
    Address announcements;
    Address metrics;
    Address target;
    ServiceName service;
    Address store;
    Milliseconds grace{6'000}; ///< from SIGTERM until the process is killed
    RetryBudgetLimits retries;
    std::string logLevel = "info";

    bool operator==(const ProxySettings &) const = default;
};

/// \brief Parses and checks a settings file; InvalidSettings lists every error. Thread-safe.
[[nodiscard]] absl::StatusOr<ProxySettings> parseProxySettings(const std::string &json);

} // namespace dandeliondock
