#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/membership/endpoint.h>
#include <dandeliondock/places/allowed_regions.h>
#include <dandeliondock/places/cold_pacing.h>
#include <dandeliondock/proxy/congestion_window.h>
#include <dandeliondock/proxy/target_load.h>
#include <dandeliondock/routing/locality.h>
#include <dandeliondock/routing/outlier_ejection.h>
#include <dandeliondock/routing/target_speed.h>
#include <dandeliondock/routing/version_chooser.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace dandeliondock {

/// \brief Age at which the reported load of a target is ignored.
inline constexpr Milliseconds targetLoadTtl{1'000};
/// \brief Age up to which a reported load counts in full; then its weight decreases linearly until targetLoadTtl.
inline constexpr Milliseconds steadyTargetLoadAge{200};
/// \brief Cost of a target in another data centre or region; it represents the round trip and the metered bytes of the
/// link. It is added to the cube of the load per slot, by which a half-loaded target costs little and a full one 1.
inline constexpr double otherDataCentreCost = 0.10;
inline constexpr double otherRegionCost = 0.30;
/// \brief Cost added outside the own data centre for each 10 kB of the expected response: the link between regions is
/// narrow, and a long response delays all other traffic on it.
inline constexpr double distanceCostPerTenKilobytes = 0.10;
/// \brief Cost added while a target is cold; it then runs at about half of its speed.
inline constexpr double coldTargetCost = 0.40;
/// \brief Time after which a newly added target no longer counts as cold.
inline constexpr Milliseconds coldTargetTime{3'000};
/// \brief Round trip that costs as much as a full target. On a saturated link, responses are delayed by hundreds of
/// milliseconds regardless of the load of the target.
inline constexpr Milliseconds fullTargetRoundTrip{250};
/// \brief Backlog of a target's link that costs a long response as much as a full target; the cost grows with the cube
/// of the backlog, as it does with the load.
inline constexpr Milliseconds fullTargetLinkBacklog{600};
/// \brief Load per slot up to which a target counts as having room, and the age up to which its report is believed.
inline constexpr double roomyTargetLoad = 0.8;
inline constexpr Milliseconds roomReportAge{500};
/// \brief Part of the target latency for which a request waits at a target while others have room, as divisor. Holding
/// a request costs its caller nothing for that time.
inline constexpr int maxWaitDivisor = 8;

/// \brief Weight of the recent failure rate in the cost of a target.
inline constexpr double failureCost = 1.5;

/// \brief Time for which the targets of a data centre are not used after the proxy of one of them reported its
/// evacuation. The record of the evacuation reaches this proxy within that time.
inline constexpr Milliseconds reportedEvacuationTime{1'000};
/// \brief Cost of a target on which the request is expected to end after its soft deadline. Work on a slow target can
/// take longer than the target latency of a route although the target has free slots.
inline constexpr double lateCost = 0.6;
/// \brief Part of the time left that the expected work may take without a cost.
inline constexpr double onTimeWorkShare = 0.6;

/// \brief A target with the statistics that the balancer keeps about it and its proxy.
struct BalancedTarget
{
    Endpoint endpoint;
    LocalityTier tier = LocalityTier::DataCentre;
    OutlierEjection ejection;
    TargetLoad reported;
    MonotonicTime reportedAt;
    std::uint32_t sentSinceReport = 0; ///< requests sent since the last load report
    std::uint32_t inFlight = 0;
    double failureRate = 0;    ///< smoothed over recent attempts
    Microseconds roundTrip{0}; ///< smoothed network round trip, without the time at the target's proxy
    TargetSpeed speed;
    MonotonicTime servingSince;
    bool isLeaving = false; ///< reported by the target's proxy before the endpoint record changed
    bool isEvacuated = false;
    MonotonicTime evacuatedUntil; ///< end of an evacuation reported by a proxy in the data centre of the target
    ColdPacing coldPacing;
};

using BalancedTargetPtr = std::shared_ptr<BalancedTarget>;

/// \brief Criteria for choosing a target.
struct BalancerRequest
{
    ServiceName service;
    VersionChoice version;
    std::vector<TargetId> tried{}; ///< targets of earlier attempts; selected again only when no other target is usable
    ByteCount responseSize{};      ///< mean response size of the route
    AllowedRegions allowedRegions{};
    RouteName route{};
    Microseconds timeLeft{0}; ///< until the soft deadline; 0 or less when the request cannot be in time any more
};

/// \brief What the cost of a target depends on besides the target.
struct TargetCostTerms
{
    ByteCount responseSize{};
    double usualLoad = 0;     ///< load per slot that is assumed for a target without a recent report
    Microseconds workTime{0}; ///< usual work time of the route; 0 when it is unknown
    Microseconds timeLeft{0}; ///< until the soft deadline; 0 or less when it does not matter
};

/// \brief Reservation of a target for one request; ended by TargetBalancer::finish().
struct BalancerClaim
{
    BalancedTargetPtr target;
    bool isTrial = false;     ///< the single request that tests an ejected target
    ByteCount responseSize{}; ///< expected response size
    RouteName route{};
};

/// \brief What an attempt showed about its target.
enum class TargetFeedback {
    Served,       ///< the target responded without a failure
    Failed,       ///< the target responded with a failure, did not run the request or did not respond
    Refused,      ///< the target's proxy refused the request
    Full,         ///< the target had no room: it shed the request or reset its connection
    Leaving,      ///< the target accepts no new requests
    Evacuated,    ///< the target's proxy refused the request, because its data centre is evacuated
    Unreachable,  ///< no connection could be opened
    Inconclusive, ///< the attempt says nothing about the target, because the caller disconnected or a call of the
                  ///< target failed
};

/// \brief Load balancer: chooses the target with the lowest cost from the feedback of earlier requests.
///
/// Load pattern: callers are spread unevenly over the data centres. The balancer chooses the target with the least
/// known load and counts distance as load, so that requests stay near until the near targets are busy.
///
/// \remark Not thread-safe.
class TargetBalancer
{
public:
    TargetBalancer(Locality self, RandomSource random) : m_self(std::move(self)), m_random(std::move(random)) {}

    /// \brief Adds or updates the target of an endpoint record; removes it if the state is not Serving.
    void apply(const Endpoint &endpoint, MonotonicTime now);

    /// \brief Removes the target whose proxy has this inbound address.
    void remove(const Address &controlAddress);

    /// \brief Sets the evacuated data centres, whose targets are not chosen.
    void setEvacuated(std::set<DataCentreName> dataCentres, MonotonicTime now);

    /// \brief Chooses and reserves a target for a request; empty when no target is usable.
    [[nodiscard]] std::optional<BalancerClaim> choose(const BalancerRequest &request, MonotonicTime now);

    /// \brief Returns the time after which the next cold target may be chosen for a request, if all usable ones are
    /// cold; otherwise 0.
    [[nodiscard]] Microseconds timeToColdTarget(const BalancerRequest &request, MonotonicTime now) const;

    /// \brief Whether another target of the region, not yet tried, has room by a recent report. A request then need not
    /// wait at the chosen one.
    [[nodiscard]] bool hasRoomElsewhere(const BalancerRequest &request, const BalancerClaim &claim,
                                        MonotonicTime now) const;

    /// \brief Records a network round trip to the proxy of a claimed target.
    void recordRoundTrip(const BalancerClaim &claim, Microseconds roundTrip, MonotonicTime now);

    /// \brief Ends a claim and records the feedback and the reported load, if there is one.
    /// \pre The claim came from choose() and has not been finished.
    void finish(const BalancerClaim &claim, TargetFeedback feedback, const std::optional<TargetLoad> &load,
                MonotonicTime now);

    /// \brief Returns the number of targets of a service that have a version.
    [[nodiscard]] std::size_t servingCount(const ServiceName &service, const VersionName &version) const;

    /// \brief Returns the cost of sending one more request to a target; lower is better. For tests and the status page.
    [[nodiscard]] static double cost(const BalancedTarget &target, const TargetCostTerms &terms, MonotonicTime now);

private:
    using Targets = std::vector<BalancedTargetPtr>;

    /// What the reports of all targets of a service say.
    struct ServiceReports
    {
        double usualLoad = 0; ///< load per slot, smoothed
        UsualWorkTimes workTimes;
    };

    /// Returns the targets of a version that its target share allows.
    [[nodiscard]] static Targets targetsInShare(const Targets &targets, const VersionChoice &version);
    /// Whether a target may serve the request, regardless of its load and its failures.
    [[nodiscard]] static bool isEligible(const BalancedTarget &target, const BalancerRequest &request,
                                         MonotonicTime now);
    void recordReportedEvacuation(const DataCentreName &dataCentre, MonotonicTime now);
    [[nodiscard]] BalancedTargetPtr cheapest(const Targets &targets, const BalancerRequest &request, bool avoidTried,
                                             MonotonicTime now);
    [[nodiscard]] TargetCostTerms costTerms(const BalancerRequest &request) const;
    void recordReport(const BalancerClaim &claim, const TargetLoad &load, MonotonicTime now);
    void tryEject(BalancedTarget &target, MonotonicTime now);

    Locality m_self;
    CongestionWindow m_congestionWindow; ///< for the link to other regions
    RandomSource m_random;
    absl::flat_hash_map<ServiceName, Targets> m_services;
    std::set<DataCentreName> m_evacuated;
    absl::flat_hash_map<ServiceName, ServiceReports> m_reports;
};

} // namespace dandeliondock
