#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandeliondock {

/// \brief Load is shed from Deferrable first and from Critical last.
enum class WorkClass { Critical, Interactive, Deferrable };

/// \brief A part of a divided route.
struct WeightedService
{
    ServiceName service;
    std::uint32_t weight = 0; ///< part of the sum of the weights

    bool operator==(const WeightedService &) const = default;
};

/// \brief Which requests go to which service, and on what terms.
struct Route
{
    RouteName name;
    std::string host;       ///< empty matches every host
    std::string pathPrefix; ///< begins with '/'
    ServiceName service;
    bool idempotent = false;
    Milliseconds timeout{1'000};
    WorkClass workClass = WorkClass::Interactive;
    std::vector<WeightedService> split; ///< divides the requests; empty sends all to service
    std::uint32_t attemptLimit = 0;     ///< most targets that one request is sent to; 0 takes the default
    Milliseconds targetLatency{0};      ///< time within which a response is of full use; 0 for none

    bool operator==(const Route &) const = default;
};

/// \brief Plan of a rollout of a new version.
struct RolloutPlan
{
    WallTime deadline;
    std::vector<Share> stageShares;   ///< rising; empty takes the default plan
    Milliseconds observation{30'000}; ///< time at full share before the rollout is completed

    bool operator==(const RolloutPlan &) const = default;
};

/// \brief A service and the version that carries its traffic.
struct Service
{
    ServiceName name;
    VersionName version;
    std::optional<VersionName> previousVersion; ///< set while a rollout runs: where the traffic comes from
    std::optional<RolloutPlan> rollout;         ///< set exactly when previousVersion is
    SlotCount slotsPerTarget{20};
    ConnectionCount connectionsPerTarget{130};
    std::uint32_t shedStatus = 0; ///< status with which a target refuses without running; 0 for none
    std::string healthPath;
    std::string drainHeader;         ///< header that a draining target sets on its answers
    bool versionFromTargets = false; ///< targets announce their versions; version is empty

    bool operator==(const Service &) const = default;
};

/// \brief A version of a service.
struct Version
{
    ServiceName service;
    VersionName name;

    bool operator==(const Version &) const = default;
};

using Resource = std::variant<Route, Service, Version>;

enum class ResourceKind { Route, Service, Version };

/// \brief Identity of a resource.
struct ResourceKey
{
    ResourceKind kind = ResourceKind::Route;
    std::string name;
    std::string service; ///< of a version only

    auto operator<=>(const ResourceKey &) const = default;
};

/// \brief Identity of \c resource. Thread-safe.
[[nodiscard]] ResourceKey keyOf(const Resource &resource);

/// \brief A key as people read it, such as "route orders" or "version ledger/v2". Thread-safe.
[[nodiscard]] std::string describe(const ResourceKey &key);

} // namespace dandeliondock
