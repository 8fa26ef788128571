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

/// \brief Priority class of a request. Under overload, Deferrable requests are shed first and Critical ones last.
enum class WorkClass { Critical, Interactive, Deferrable };

/// \brief A service that receives a part of the requests of a route.
struct WeightedService
{
    ServiceName service;
    std::uint32_t weight = 0; ///< relative to the sum of all weights of the route

    bool operator==(const WeightedService &) const = default;
};

/// \brief Rule that sends matching requests to a service and sets their timeout, work class and attempt limit.
struct Route
{
    RouteName name;
    std::string host;       ///< empty matches every host
    std::string pathPrefix; ///< begins with '/'
    ServiceName service;
    bool idempotent = false;
    Milliseconds timeout{1'000};
    WorkClass workClass = WorkClass::Interactive;
    std::vector<WeightedService> split; ///< divides the requests by weight; if empty, all go to service
    std::uint32_t attemptLimit = 0;     ///< maximum number of targets that one request is sent to; 0 uses the default
    Milliseconds targetLatency{0}; ///< response time above which a response is worth less to the caller; 0 for none
    std::vector<RegionName> allowedRegions; ///< regions whose targets may serve the route; if empty, every region
    bool isKeyExempt = false;               ///< requests need no key of a client account

    bool operator==(const Route &) const = default;
};

/// \brief Schedule for the rollout of a new version.
struct RolloutPlan
{
    WallTime deadline;
    std::vector<Share> stageShares;   ///< traffic shares of the stages, rising; if empty, the default stages are used
    Milliseconds observation{30'000}; ///< time at full share before the rollout completes

    bool operator==(const RolloutPlan &) const = default;
};

/// \brief A service and the version that receives its traffic.
struct Service
{
    ServiceName name;
    VersionName version;
    std::optional<VersionName> previousVersion; ///< set during a rollout: the version that traffic is moved from
    std::optional<RolloutPlan> rollout;         ///< set if and only if previousVersion is set
    SlotCount slotsPerTarget{20};
    ConnectionCount connectionsPerTarget{130};
    std::uint32_t shedStatus = 0; ///< HTTP status of a target that rejects a request unexecuted; 0 for none
    std::string healthPath;
    std::string drainHeader;         ///< header that a draining target sets on its responses
    bool versionFromTargets = false; ///< targets announce their versions; version must then be empty
    Milliseconds coldStart{0};       ///< time for which a target is cold after its start
    RequestRate coldRate{0.0};       ///< requests per second that a cold target can process; 0 for no bound

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

/// \brief Identifies a resource by kind and name.
struct ResourceKey
{
    ResourceKind kind = ResourceKind::Route;
    std::string name;
    std::string service; ///< set only for a version: the service it belongs to

    auto operator<=>(const ResourceKey &) const = default;
};

/// \brief Returns the key of \c resource. Thread-safe.
[[nodiscard]] ResourceKey keyOf(const Resource &resource);

/// \brief Returns a readable form of a key, such as "route orders" or "version ledger/v2". Thread-safe.
[[nodiscard]] std::string describe(const ResourceKey &key);

} // namespace dandeliondock
