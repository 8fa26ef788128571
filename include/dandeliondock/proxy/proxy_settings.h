#pragma once

#include <dandeliondock/attempts/retry_budget.h>
#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/places/cold_bounds.h>
#include <dandeliondock/quotas/quota_bounds.h>

#include <absl/status/statusor.h>

#include <optional>
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
    ByteCount memoryLimit{160'000'000};             ///< the process is killed above it
    DescriptorCount descriptorLimit{4'100};         ///< open file descriptors of the process
    Milliseconds configApplyBound{3'000};           ///< time in which a configuration must be followed
    std::optional<Milliseconds> keyWithdrawalBound; ///< time after which no proxy may accept a withdrawn key
    QuotaBounds quota;                              ///< tolerance of the request quotas
    ColdBounds cold;                                ///< tolerance of the rate of a cold target
    Milliseconds evacuationBound{5'000};            ///< time in which an evacuation must take effect

    bool operator==(const ProxySettings &) const = default;
};

/// \brief Parses and validates the contents of a settings file; InvalidSettings lists every error. Thread-safe.
[[nodiscard]] absl::StatusOr<ProxySettings> parseProxySettings(const std::string &json);

} // namespace dandeliondock
