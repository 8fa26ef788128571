#include <dandeliondock/http/transfer_hooks.h>
#include <dandeliondock/proxy/target_balancer.h>
#include <dandeliondock/routing/rendezvous.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

constexpr double failureSmoothing = 0.1;
constexpr int roundTripSmoothing = 8;
constexpr double tenKilobytes = 10'000;
constexpr double linearLoadCost = 0.1; // orders targets with little load, where the cube is close to 0
constexpr double tieBreakNoise = 0.02; // keeps proxies with the same load data from choosing the same target
constexpr std::uint64_t noiseSteps = 1'000;
constexpr double usualLoadSmoothing = 0.05;
constexpr double fullPercent = 100;

double distanceCost(LocalityTier tier, ByteCount responseSize)
{
    if (tier == LocalityTier::DataCentre)
        return 0;
    const double baseCost = tier == LocalityTier::Region ? otherDataCentreCost : otherRegionCost;
    return baseCost + distanceCostPerTenKilobytes * static_cast<double>(responseSize.value()) / tenKilobytes;
}

// Requests at a target: as reported and sent since, and with the age of the report more and more as many as targets of
// the service usually have. A target whose report is old must not look idle: all proxies would send to it at once.
double outstandingRequests(const BalancedTarget &target, std::uint32_t slots, double usualLoad, MonotonicTime now)
{
    const double assumed = std::max<double>(target.inFlight, usualLoad * slots);
    if (target.reported.slots == 0)
        return assumed;
    const std::chrono::duration<double> age = now - target.reportedAt - steadyTargetLoadAge;
    const std::chrono::duration<double> decayTime = targetLoadTtl - steadyTargetLoadAge;
    const double weight = std::clamp(1 - age / decayTime, 0.0, 1.0);
    const double reported = target.reported.running + target.reported.waiting + target.sentSinceReport;
    return weight * reported + (1 - weight) * assumed;
}

// Cost of a request whose work is expected to take this part of the time left.
double latenessCost(double workShare)
{
    return lateCost * std::clamp((workShare - onTimeWorkShare) / (1 - onTimeWorkShare), 0.0, 1.0);
}

bool isTried(const BalancerRequest &request, const TargetId &target)
{
    return std::find(request.tried.begin(), request.tried.end(), target) != request.tried.end();
}

} // namespace

double TargetBalancer::cost(const BalancedTarget &target, const TargetCostTerms &terms, MonotonicTime now)
{
    const bool isFresh = now - target.reportedAt < targetLoadTtl && target.reported.slots > 0;
    const std::uint32_t announcedSlots = target.endpoint.slots.value();
    const std::uint32_t slots = std::max<std::uint32_t>(1, isFresh ? target.reported.slots : announcedSlots);
    const double load = (outstandingRequests(target, slots, terms.usualLoad, now) + 1) / slots;
    const double workFactor = target.speed.expected(now).value();
    double cost = (load * load * load + linearLoadCost * load) * workFactor;
    cost += distanceCost(target.tier, terms.responseSize) + failureCost * target.failureRate;
    cost += std::chrono::duration<double>(target.roundTrip) / std::chrono::duration<double>(fullTargetRoundTrip);
    if (terms.timeLeft.count() > 0)
        cost += latenessCost(std::chrono::duration<double>(terms.workTime) * workFactor * std::max(1.0, load)
                             / std::chrono::duration<double>(terms.timeLeft));
    if (isFresh && terms.responseSize > maxShortResponse) {
        const double backlog = std::chrono::duration<double>(target.reported.linkBacklog)
                               / std::chrono::duration<double>(fullTargetLinkBacklog);
        cost += backlog * backlog * backlog;
    }
    // A target whose proxy paces its requests becomes warm only with traffic, so that its coldness is no cost.
    if (now - target.servingSince < coldTargetTime && !target.coldPacing.isCold(now))
        cost += coldTargetCost;
    return cost;
}

TargetCostTerms TargetBalancer::costTerms(const BalancerRequest &request) const
{
    TargetCostTerms terms;
    terms.responseSize = request.responseSize;
    terms.timeLeft = request.timeLeft;
    const auto reports = m_reports.find(request.service);
    if (reports == m_reports.end())
        return terms;
    terms.usualLoad = reports->second.usualLoad;
    terms.workTime = reports->second.workTimes.of(request.route);
    return terms;
}

void TargetBalancer::apply(const Endpoint &endpoint, MonotonicTime now)
{
    Targets &targets = m_services[endpoint.service];
    const auto existing = std::find_if(targets.begin(), targets.end(), [&endpoint](const BalancedTargetPtr &item) {
        return item->endpoint.controlAddress == endpoint.controlAddress;
    });
    if (existing != targets.end() && (*existing)->endpoint.target == endpoint.target
        && (*existing)->endpoint.stamp.incarnation == endpoint.stamp.incarnation
        && endpoint.stamp.state == EndpointState::Serving) {
        (*existing)->endpoint = endpoint;
        (*existing)->isLeaving = false;
        return;
    }
    remove(endpoint.controlAddress);
    if (endpoint.stamp.state != EndpointState::Serving)
        return;
    auto target = std::make_shared<BalancedTarget>();
    target->endpoint = endpoint;
    target->tier = localityTier(m_self, endpoint);
    target->servingSince = now;
    target->isEvacuated = m_evacuated.contains(endpoint.dataCentre);
    m_services[endpoint.service].push_back(std::move(target));
}

void TargetBalancer::remove(const Address &controlAddress)
{
    for (auto &[service, targets] : m_services) {
        std::erase_if(targets, [&controlAddress](const BalancedTargetPtr &item) {
            return item->endpoint.controlAddress == controlAddress;
        });
    }
}

void TargetBalancer::setEvacuated(std::set<DataCentreName> dataCentres, MonotonicTime now)
{
    m_evacuated = std::move(dataCentres);
    for (auto &[service, targets] : m_services) {
        for (const BalancedTargetPtr &target : targets) {
            const bool wasEvacuated =
                    std::exchange(target->isEvacuated, m_evacuated.contains(target->endpoint.dataCentre));
            // Targets without traffic may have become cold.
            if (wasEvacuated && !target->isEvacuated)
                target->servingSince = now;
        }
    }
}

void TargetBalancer::recordReportedEvacuation(const DataCentreName &dataCentre, MonotonicTime now)
{
    for (auto &[service, targets] : m_services) {
        for (const BalancedTargetPtr &target : targets) {
            if (target->endpoint.dataCentre == dataCentre)
                target->evacuatedUntil = now + reportedEvacuationTime;
        }
    }
}

bool TargetBalancer::isEligible(const BalancedTarget &target, const BalancerRequest &request, MonotonicTime now)
{
    return !target.isLeaving && !target.isEvacuated && now >= target.evacuatedUntil
           && target.endpoint.version == request.version.version
           && request.allowedRegions.allows(target.endpoint.region);
}

Microseconds TargetBalancer::timeToColdTarget(const BalancerRequest &request, MonotonicTime now) const
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end())
        return Microseconds{0};
    std::optional<Microseconds> shortest;
    for (const BalancedTargetPtr &target : found->second) {
        if (!isEligible(*target, request, now) || !target->ejection.isUsable(now))
            continue;
        const Microseconds time = target->coldPacing.timeToSend(now);
        shortest = std::min(shortest.value_or(time), time);
    }
    return shortest.value_or(Microseconds{0});
}

TargetBalancer::Targets TargetBalancer::targetsInShare(const Targets &targets, const VersionChoice &version)
{
    Targets share;
    for (const BalancedTargetPtr &target : targets) {
        if (target->endpoint.version == version.version)
            share.push_back(target);
    }
    std::sort(share.begin(), share.end(), [&version](const BalancedTargetPtr &left, const BalancedTargetPtr &right) {
        return versionTargetRank(version.version, left->endpoint.target)
               < versionTargetRank(version.version, right->endpoint.target);
    });
    share.resize(targetCountForShare(version.targetShare, share.size()));
    return share;
}

BalancedTargetPtr TargetBalancer::cheapest(const Targets &targets, const BalancerRequest &request, bool avoidTried,
                                           MonotonicTime now)
{
    BalancedTargetPtr best;
    double bestCost = 0;
    const TargetCostTerms terms = costTerms(request);
    for (const BalancedTargetPtr &target : targets) {
        if (!isEligible(*target, request, now) || !target->coldPacing.maySend(now))
            continue;
        if (!target->ejection.isUsable(now) || (avoidTried && isTried(request, target->endpoint.target)))
            continue;
        if (target->tier == LocalityTier::OtherRegion && !m_congestionWindow.hasRoom(request.responseSize, now))
            continue;
        const double noise = tieBreakNoise * static_cast<double>(uniformBelow(m_random, noiseSteps)) / noiseSteps;
        const double targetCost = cost(*target, terms, now) + noise;
        if (!best || targetCost < bestCost) {
            best = target;
            bestCost = targetCost;
        }
    }
    return best;
}

std::optional<BalancerClaim> TargetBalancer::choose(const BalancerRequest &request, MonotonicTime now)
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end())
        return std::nullopt;
    const bool isPartial = request.version.targetShare < fullShare;
    const Targets share = isPartial ? targetsInShare(found->second, request.version) : Targets();
    const Targets &targets = isPartial ? share : found->second;
    BalancedTargetPtr target = cheapest(targets, request, true, now);
    if (!target && !request.tried.empty())
        target = cheapest(targets, request, false, now);
    if (!target)
        return std::nullopt;
    const bool isTrial = target->ejection.startRequest();
    ++target->inFlight;
    if (target->tier == LocalityTier::OtherRegion)
        m_congestionWindow.startTransfer(request.responseSize);
    ++target->sentSinceReport;
    target->coldPacing.recordSent(now);
    return BalancerClaim{std::move(target), isTrial, request.responseSize, request.route};
}

bool TargetBalancer::hasRoomElsewhere(const BalancerRequest &request, const BalancerClaim &claim,
                                      MonotonicTime now) const
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const BalancedTargetPtr &target) {
        if (target == claim.target || target->tier == LocalityTier::OtherRegion || target->isLeaving
            || now - target->reportedAt > roomReportAge || target->endpoint.version != request.version.version)
            return false;
        const double outstanding = target->reported.running + target->reported.waiting + target->sentSinceReport;
        return outstanding < roomyTargetLoad * target->reported.slots && target->ejection.isUsable(now)
               && !isTried(request, target->endpoint.target);
    });
}

void TargetBalancer::recordRoundTrip(const BalancerClaim &claim, Microseconds roundTrip, MonotonicTime now)
{
    if (claim.target->tier == LocalityTier::OtherRegion)
        m_congestionWindow.recordRoundTrip(claim.responseSize, roundTrip, now);
    claim.target->roundTrip += (roundTrip - claim.target->roundTrip) / roundTripSmoothing;
}

void TargetBalancer::finish(const BalancerClaim &claim, TargetFeedback feedback, const std::optional<TargetLoad> &load,
                            MonotonicTime now)
{
    BalancedTarget &target = *claim.target;
    --target.inFlight;
    if (target.tier == LocalityTier::OtherRegion)
        m_congestionWindow.endTransfer(claim.responseSize);
    if (load) {
        target.coldPacing.record(load->cold, now);
        recordReport(claim, *load, now);
    }
    switch (feedback) {
    case TargetFeedback::Served:
        target.failureRate *= 1 - failureSmoothing;
        target.ejection.recordSuccess(claim.isTrial);
        return;
    case TargetFeedback::Refused:
        target.ejection.recordSuccess(claim.isTrial);
        return;
    // A full target is avoided by its cost. Ejecting it would move its load to the others, and five sheds in a row are
    // usual at a service that has too little capacity.
    case TargetFeedback::Full:
        target.failureRate += failureSmoothing * (1 - target.failureRate);
        target.ejection.abandon(claim.isTrial);
        return;
    case TargetFeedback::Failed:
        target.failureRate += failureSmoothing * (1 - target.failureRate);
        if (target.ejection.recordFailure(false, claim.isTrial, now))
            tryEject(target, now);
        return;
    case TargetFeedback::Unreachable:
        if (target.ejection.recordFailure(true, claim.isTrial, now))
            target.ejection.eject(now);
        return;
    case TargetFeedback::Leaving:
        target.isLeaving = true;
        target.ejection.abandon(claim.isTrial);
        return;
    case TargetFeedback::Evacuated:
        recordReportedEvacuation(target.endpoint.dataCentre, now);
        target.ejection.abandon(claim.isTrial);
        return;
    case TargetFeedback::Inconclusive:
        target.ejection.abandon(claim.isTrial);
        return;
    }
}

void TargetBalancer::recordReport(const BalancerClaim &claim, const TargetLoad &load, MonotonicTime now)
{
    BalancedTarget &target = *claim.target;
    target.reported = load;
    target.reportedAt = now;
    target.sentSinceReport = 0;
    ServiceReports &reports = m_reports[target.endpoint.service];
    if (load.slots > 0) {
        const double loadPerSlot = static_cast<double>(load.running + load.waiting) / load.slots;
        reports.usualLoad += usualLoadSmoothing * (loadPerSlot - reports.usualLoad);
    }
    if (load.workTime.count() > 0) {
        const WorkFactor speed = target.speed.learnt(now);
        target.speed.record(reports.workTimes.record(claim.route, load.workTime, speed), now);
    }
    if (load.workPercent > 0)
        target.speed.recordCurrent(WorkFactor(load.workPercent / fullPercent), now);
}

void TargetBalancer::tryEject(BalancedTarget &target, MonotonicTime now)
{
    const Targets &targets = m_services[target.endpoint.service];
    const auto ejected = std::count_if(targets.begin(), targets.end(), [&target](const BalancedTargetPtr &item) {
        return item->endpoint.version == target.endpoint.version && item->ejection.isEjected();
    });
    if (mayEject(static_cast<std::size_t>(ejected), servingCount(target.endpoint.service, target.endpoint.version)))
        target.ejection.eject(now);
}

std::size_t TargetBalancer::servingCount(const ServiceName &service, const VersionName &version) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return 0;
    return static_cast<std::size_t>(
            std::count_if(found->second.begin(), found->second.end(),
                          [&version](const BalancedTargetPtr &item) { return item->endpoint.version == version; }));
}

} // namespace dandeliondock
