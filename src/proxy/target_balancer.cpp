#include <dandeliondock/proxy/target_balancer.h>
#include <dandeliondock/routing/rendezvous.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr double failureSmoothing = 0.1;
constexpr int waySmoothing = 8;
constexpr double tenKilobytes = 10'000;
constexpr double loadOrder = 0.1; // orders targets that are hardly busy
constexpr double tieNoise = 0.02; // keeps callers with the same knowledge from choosing alike
constexpr std::uint64_t noiseSteps = 1'000;

double distanceCost(LocalityTier tier, ByteCount responseSize)
{
    if (tier == LocalityTier::DataCentre)
        return 0;
    const double way = tier == LocalityTier::Region ? otherDataCentreCost : otherRegionCost;
    return way + distanceCostPerTenKilobytes * static_cast<double>(responseSize.value()) / tenKilobytes;
}

bool isTried(const PlacementRequest &request, const TargetId &target)
{
    return std::find(request.tried.begin(), request.tried.end(), target) != request.tried.end();
}

} // namespace

double Placement::cost(const PlacedTarget &target, ByteCount responseSize, MonotonicTime now)
{
    const bool isFresh = now - target.reportedAt < doorLoadLife && target.reported.slots > 0;
    const std::uint32_t announced = target.endpoint.slots.value();
    const std::uint32_t slots = std::max<std::uint32_t>(1, isFresh ? target.reported.slots : announced);
    const std::uint32_t known =
            isFresh ? target.reported.running + target.reported.waiting + target.sentSinceReport : target.inFlight;
    const double load = static_cast<double>(known + 1) / slots;
    double cost = load * load * load + loadOrder * load;
    cost += distanceCost(target.tier, responseSize) + failureCost * target.failurePart;
    cost += std::chrono::duration<double>(target.way) / std::chrono::duration<double>(fullWay);
    if (now - target.servingSince < coldTargetTime)
        cost += coldTargetCost;
    return cost;
}

void Placement::apply(const Endpoint &endpoint, MonotonicTime now)
{
    Targets &targets = m_services[endpoint.service];
    const auto held = std::find_if(targets.begin(), targets.end(), [&endpoint](const PlacedTargetPtr &item) {
        return item->endpoint.controlAddress == endpoint.controlAddress;
    });
    if (held != targets.end() && (*held)->endpoint.target == endpoint.target
        && (*held)->endpoint.stamp.incarnation == endpoint.stamp.incarnation
        && endpoint.stamp.state == EndpointState::Serving) {
        (*held)->endpoint = endpoint;
        (*held)->isLeaving = false;
        return;
    }
    remove(endpoint.controlAddress);
    if (endpoint.stamp.state != EndpointState::Serving)
        return;
    auto target = std::make_shared<PlacedTarget>();
    target->endpoint = endpoint;
    target->tier = tierOf(m_self, endpoint);
    target->servingSince = now;
    m_services[endpoint.service].push_back(std::move(target));
}

void Placement::remove(const Address &door)
{
    for (auto &[service, targets] : m_services) {
        std::erase_if(targets, [&door](const PlacedTargetPtr &item) { return item->endpoint.controlAddress == door; });
    }
}

Placement::Targets Placement::shareOf(const Targets &targets, const VersionChoice &version)
{
    Targets share;
    for (const PlacedTargetPtr &target : targets) {
        if (target->endpoint.version == version.version)
            share.push_back(target);
    }
    std::sort(share.begin(), share.end(), [&version](const PlacedTargetPtr &left, const PlacedTargetPtr &right) {
        return rendezvousRank(version.version, left->endpoint.target)
               < rendezvousRank(version.version, right->endpoint.target);
    });
    share.resize(targetsOfShare(version.targets, share.size()));
    return share;
}

PlacedTargetPtr Placement::cheapest(const Targets &targets, const PlacementRequest &request, bool avoidTried,
                                    MonotonicTime now)
{
    PlacedTargetPtr best;
    double bestCost = 0;
    for (const PlacedTargetPtr &target : targets) {
        if (target->isLeaving || target->endpoint.version != request.version.version)
            continue;
        if (!target->ejection.isUsable(now) || (avoidTried && isTried(request, target->endpoint.target)))
            continue;
        if (target->tier == LocalityTier::OtherRegion && !m_link.hasRoom(request.responseSize, now))
            continue;
        const double noise = tieNoise * static_cast<double>(uniformBelow(m_random, noiseSteps)) / noiseSteps;
        const double targetCost = cost(*target, request.responseSize, now) + noise;
        if (!best || targetCost < bestCost) {
            best = target;
            bestCost = targetCost;
        }
    }
    return best;
}

std::optional<PlacementClaim> Placement::choose(const PlacementRequest &request, MonotonicTime now)
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end())
        return std::nullopt;
    const bool isDivided = request.version.targets < fullShare;
    const Targets share = isDivided ? shareOf(found->second, request.version) : Targets();
    const Targets &targets = isDivided ? share : found->second;
    PlacedTargetPtr target = cheapest(targets, request, true, now);
    if (!target && !request.tried.empty())
        target = cheapest(targets, request, false, now);
    if (!target)
        return std::nullopt;
    const bool isTrial = target->ejection.begin();
    ++target->inFlight;
    if (target->tier == LocalityTier::OtherRegion)
        m_link.begin(request.responseSize);
    ++target->sentSinceReport;
    return PlacementClaim{std::move(target), isTrial, request.responseSize};
}

void Placement::noteWay(const PlacementClaim &claim, Microseconds way, MonotonicTime now)
{
    if (claim.target->tier == LocalityTier::OtherRegion)
        m_link.note(claim.responseSize, way, now);
    claim.target->way += (way - claim.target->way) / waySmoothing;
}

void Placement::finish(const PlacementClaim &claim, PlacementSign sign, const std::optional<DoorLoad> &load,
                       MonotonicTime now)
{
    PlacedTarget &target = *claim.target;
    --target.inFlight;
    if (target.tier == LocalityTier::OtherRegion)
        m_link.end(claim.responseSize);
    if (load) {
        target.reported = *load;
        target.reportedAt = now;
        target.sentSinceReport = 0;
    }
    switch (sign) {
    case PlacementSign::Served:
        target.failurePart *= 1 - failureSmoothing;
        target.ejection.succeeded(claim.isTrial);
        return;
    case PlacementSign::Refused:
        target.ejection.succeeded(claim.isTrial);
        return;
    case PlacementSign::Failed:
        target.failurePart += failureSmoothing * (1 - target.failurePart);
        if (target.ejection.failed(false, claim.isTrial, now))
            tryEject(target, now);
        return;
    case PlacementSign::Unreachable:
        if (target.ejection.failed(true, claim.isTrial, now))
            target.ejection.eject(now);
        return;
    case PlacementSign::Leaving:
        target.isLeaving = true;
        target.ejection.abandon(claim.isTrial);
        return;
    case PlacementSign::Nothing:
        target.ejection.abandon(claim.isTrial);
        return;
    }
}

void Placement::tryEject(PlacedTarget &target, MonotonicTime now)
{
    const Targets &targets = m_services[target.endpoint.service];
    const auto ejected = std::count_if(targets.begin(), targets.end(), [&target](const PlacedTargetPtr &item) {
        return item->endpoint.version == target.endpoint.version && item->ejection.isEjected();
    });
    if (mayEject(static_cast<std::size_t>(ejected), serving(target.endpoint.service, target.endpoint.version)))
        target.ejection.eject(now);
}

std::size_t Placement::serving(const ServiceName &service, const VersionName &version) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return 0;
    return static_cast<std::size_t>(
            std::count_if(found->second.begin(), found->second.end(),
                          [&version](const PlacedTargetPtr &item) { return item->endpoint.version == version; }));
}

} // namespace dandeliondock
