#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/membership/endpoint.h>
#include <dandeliondock/proxy/congestion_window.h>
#include <dandeliondock/proxy/target_load.h>
#include <dandeliondock/routing/locality.h>
#include <dandeliondock/routing/outlier_ejection.h>
#include <dandeliondock/routing/version_chooser.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Age at which the load that a proxy reported is no longer believed.
inline constexpr Milliseconds targetLoadTtl{1'000};
/// \brief Costs of distance beside the cube of a target's load as a part of its slots: a target that is half busy costs
/// little, one that is full costs 1. They stand for the time that the way takes and the bytes that are paid for on it.
inline constexpr double otherDataCentreCost = 0.10;
inline constexpr double otherRegionCost = 0.30;
/// \brief Added outside the own data centre for each 10 kB of a response: the link between regions is narrow, and a
/// long response holds up everything on it.
inline constexpr double distanceCostPerTenKilobytes = 0.10;
/// \brief Added while a target is new: it works at about half of its speed.
inline constexpr double coldTargetCost = 0.40;
/// \brief Time for which a target counts as new.
inline constexpr Milliseconds coldTargetTime{3'000};
/// \brief Time on the way that costs as much as a full target. On a link that is full, responses wait for hundreds of
/// milliseconds, whatever the load of the target.
inline constexpr Milliseconds fullTargetRoundTrip{250};
/// \brief Weight of the recent part of failures in the cost of a target.
inline constexpr double failureCost = 1.5;

/// \brief What is known of a target and its door.
struct BalancedTarget
{
    Endpoint endpoint;
    LocalityTier tier = LocalityTier::DataCentre;
    OutlierEjection ejection;
    TargetLoad reported;
    MonotonicTime reportedAt;
    std::uint32_t sentSinceReport = 0;
    std::uint32_t inFlight = 0;
    double failureRate = 0;    ///< of the recent answers
    Microseconds roundTrip{0}; ///< recent time of requests and responses on the way between the proxies
    MonotonicTime servingSince;
    bool isLeaving = false; ///< its door said so, ahead of the directory
};

using BalancedTargetPtr = std::shared_ptr<BalancedTarget>;

/// \brief What a placement depends on.
struct BalancerRequest
{
    ServiceName service;
    VersionChoice version;
    std::vector<TargetId> tried{}; ///< used only when nothing else is left
    ByteCount responseSize{};      ///< mean of the route
};

/// \brief A claim on a target; it ends with TargetBalancer::finish().
struct BalancerClaim
{
    BalancedTargetPtr target;
    bool isTrial = false;     ///< the one request that may end an ejection
    ByteCount responseSize{}; ///< as expected
};

/// \brief What an attempt showed of its target.
enum class TargetFeedback {
    Served,       ///< the target answered
    Failed,       ///< it answered with a failure, or not at all
    Refused,      ///< it or its door had no room
    Leaving,      ///< it takes no new work
    Unreachable,  ///< no connection could be made
    Inconclusive, ///< the attempt was given up for another reason
};

/// \brief Chooses the target of each request from what earlier answers told of all of them.
///
/// Load pattern: callers spread unevenly over the data centres. The target with the least known load is taken, where
/// distance counts as load, so that work stays near until the near targets are busy.
///
/// \remark Not thread-safe.
class TargetBalancer
{
public:
    TargetBalancer(Locality self, RandomSource random) : m_self(std::move(self)), m_random(std::move(random)) {}

    /// \brief Takes a record of the directory over; a state other than Serving takes the target out.
    void apply(const Endpoint &endpoint, MonotonicTime now);

    /// \brief Takes the target behind a door out.
    void remove(const Address &door);

    /// \brief The target for a request; empty when none can be used.
    [[nodiscard]] std::optional<BalancerClaim> choose(const BalancerRequest &request, MonotonicTime now);

    /// \brief Notes the time that a request and its response were on the way.
    void recordRoundTrip(const BalancerClaim &claim, Microseconds way, MonotonicTime now);

    /// \brief Ends a claim.
    void finish(const BalancerClaim &claim, TargetFeedback sign, const std::optional<TargetLoad> &load,
                MonotonicTime now);

    /// \brief Serving targets of a version of a service.
    [[nodiscard]] std::size_t servingCount(const ServiceName &service, const VersionName &version) const;

    /// \brief What a request would find at a target, as a part of its slots. For tests and the status page.
    [[nodiscard]] static double cost(const BalancedTarget &target, ByteCount responseSize, MonotonicTime now);

private:
    using Targets = std::vector<BalancedTargetPtr>;

    /// The targets that a version's share of the targets leaves for its requests.
    [[nodiscard]] static Targets shareOf(const Targets &targets, const VersionChoice &version);
    [[nodiscard]] BalancedTargetPtr cheapest(const Targets &targets, const BalancerRequest &request, bool avoidTried,
                                             MonotonicTime now);
    void tryEject(BalancedTarget &target, MonotonicTime now);

    Locality m_self;
    CongestionWindow m_link; ///< to other regions
    RandomSource m_random;
    absl::flat_hash_map<ServiceName, Targets> m_services;
};

} // namespace dandeliondock
