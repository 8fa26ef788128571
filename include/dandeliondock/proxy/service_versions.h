#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/rollout/rollout_table.h>
#include <dandeliondock/routing/routing_hooks.h>
#include <dandeliondock/store/row_types.h>

#include <absl/strings/string_view.h>

#include <cstdint>
#include <optional>

namespace dandeliondock {

/// \brief An operator's order to roll out a version of a service.
struct RolloutOrder
{
    TicketNumber number; ///< increases with each order; see orderNumber()
    ServiceName service;
    VersionName target;
    Milliseconds duration{0};
};

/// \brief State of a rollout as stored in the service's row of the shared table.
struct RolloutProgress
{
    RolloutRecord record;
    VersionName target;
    WallTime startedAt;      ///< on the table's clock
    WallTime deadline;       ///< on the table's clock
    WallTime stageStartedAt; ///< on the table's clock; start of the current stage
    Address driver;          ///< inbound address of the proxy that drives the rollout; empty after it was released
    FencingToken fence;      ///< increases with each driver
    bool isNotified = false; ///< the operator was notified that the rollout is completed

    bool operator==(const RolloutProgress &) const = default;
};

/// \brief Current version of a service and its latest rollout.
struct ServiceVersions
{
    ServiceName service;
    VersionName current;
    std::optional<RolloutProgress> rollout; ///< the latest one, in any state

    bool operator==(const ServiceVersions &) const = default;
};

/// \brief Percentage of a rollout's time for which the new version is observed with the full traffic before the rollout
/// is completed.
inline constexpr int observationPercent = 13;

/// \brief Prefix of the row keys of services in the shared table.
inline constexpr absl::string_view serviceRowPrefix = "service/";

/// \brief Returns the key of a service's row in the shared table. Thread-safe.
[[nodiscard]] RowKey serviceRowKey(const ServiceName &service);

/// \brief Returns the definition of the rollout for its driver. Thread-safe.
///
/// \param newTargets number of serving targets of the new version; the share of the second stage depends on it.
/// \pre \c versions holds a rollout.
[[nodiscard]] RolloutDefinition rolloutDefinition(const ServiceVersions &versions, std::uint32_t newTargets);

/// \brief Returns the traffic split in force; empty when the current version carries all traffic. Thread-safe.
[[nodiscard]] std::optional<VersionSplit> versionSplit(const ServiceVersions &versions, std::uint32_t newTargets);

/// \brief Whether a service's row lacks progress of its rollouts that is known, because the row is of an older copy of
/// the table. Thread-safe.
[[nodiscard]] bool isBehind(const ServiceVersions &row, const ServiceVersions &known);

/// \brief Whether targets of a version may serve requests. Thread-safe.
[[nodiscard]] bool mayServe(const ServiceVersions &versions, const VersionName &version);

} // namespace dandeliondock
