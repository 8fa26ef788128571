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

/// \brief An operator's order to bring a version of a service in.
struct RolloutOrder
{
    TicketNumber number; ///< rises with each order
    ServiceName service;
    VersionName target;
    Milliseconds duration{0};
};

/// \brief A rollout as the shared row of its service records it.
struct RolloutProgress
{
    RolloutRecord record;
    VersionName target;
    WallTime startedAt;      ///< on the table's clock
    WallTime deadline;       ///< on the table's clock
    WallTime stageStartedAt; ///< on the table's clock; when the stage began
    Address driver;          ///< door of the proxy that drives it; empty when it gave the rollout up
    FencingToken fence;      ///< rises with each driver
    bool isNotified = false; ///< the operator was told that the rollout is completed

    bool operator==(const RolloutProgress &) const = default;
};

/// \brief Which version carries the traffic of a service.
struct ServiceVersions
{
    ServiceName service;
    VersionName current;
    std::optional<RolloutProgress> rollout; ///< the last one, whatever its state

    bool operator==(const ServiceVersions &) const = default;
};

/// \brief Parts of 100 of a rollout's time that the whole traffic is observed on the new version before it ends.
inline constexpr int observationPercent = 13;

/// \brief Prefix of the keys of services in the shared table.
inline constexpr absl::string_view serviceRowPrefix = "service/";

/// \brief Key of a service's row in the shared table. Thread-safe.
[[nodiscard]] RowKey serviceRowKey(const ServiceName &service);

/// \brief The definition of a rollout for its driver. Thread-safe.
/// \pre A rollout is set.
[[nodiscard]] RolloutDefinition definitionOf(const ServiceVersions &versions);

/// \brief The division of traffic in force; empty when the current version carries everything. Thread-safe.
[[nodiscard]] std::optional<VersionSplit> splitOf(const ServiceVersions &versions, std::uint32_t newTargets);

/// \brief Whether targets of a version may take requests. Thread-safe.
[[nodiscard]] bool mayServe(const ServiceVersions &versions, const VersionName &version);

} // namespace dandeliondock
