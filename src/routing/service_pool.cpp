#include <dandeliondock/routing/service_pool.h>

#include <dandeliondock/routing/rendezvous.h>
#include <dandeliondock/routing/slow_start.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

// Room for the lists used during a rollout: of the old version, of the new version, and of the new version with its
// previous target share.
constexpr std::size_t maxCandidateLists = 4;
constexpr int maxWeightedDraws = 4;
constexpr std::uint64_t weightScale = 1'000'000;
constexpr int latencySmoothingDivisor = 8;
constexpr int firstServerError = 500;

bool isTried(const PickRequest &request, const TargetId &target)
{
    return std::find(request.tried.begin(), request.tried.end(), target) != request.tried.end();
}

// At most half of the targets of the own region may be ejected. The targets of other regions are counted separately,
// since not every work class may use them.
std::size_t ejectionScope(LocalityTier tier)
{
    return tier == LocalityTier::OtherRegion ? 1 : 0;
}

using TierList = std::array<std::vector<PoolTargetPtr>, localityTierCount>;

std::vector<PoolTargetPtr> targetsInScope(const TierList &tiers, std::size_t scope)
{
    std::vector<PoolTargetPtr> targets;
    for (std::size_t tier = 0; tier < localityTierCount; ++tier) {
        if (ejectionScope(static_cast<LocalityTier>(tier)) == scope)
            targets.insert(targets.end(), tiers.at(tier).begin(), tiers.at(tier).end());
    }
    return targets;
}

std::size_t countEjected(const std::vector<PoolTargetPtr> &targets)
{
    return static_cast<std::size_t>(std::count_if(
            targets.begin(), targets.end(), [](const PoolTargetPtr &target) { return target->ejection.isEjected(); }));
}

} // namespace

ServicePool::ServicePool(PoolCaller caller, RandomSource random)
    : m_caller(std::move(caller)), m_random(std::move(random))
{
}

void ServicePool::apply(const Endpoint &record, SlotCount defaultSlots, MonotonicTime now)
{
    if (record.stamp.state != EndpointState::Serving) {
        remove(record.target);
        return;
    }
    const auto known = m_targets.find(record.target);
    const bool isSameIncarnation =
            known != m_targets.end() && known->second->endpoint.stamp.incarnation == record.stamp.incarnation
            && known->second->endpoint.address == record.address && known->second->endpoint.version == record.version;
    if (isSameIncarnation) {
        known->second->endpoint = record;
        return;
    }
    const SlotCount slots = record.slots.value() == 0 ? defaultSlots : record.slots;
    m_targets[record.target] = std::make_shared<PoolTarget>(record, localityTier(m_caller.locality, record),
                                                            ConcurrencyLimit(slots, 1), now);
    m_candidates.clear();
}

void ServicePool::remove(const TargetId &target)
{
    if (m_targets.erase(target) > 0)
        m_candidates.clear();
}

void ServicePool::setCallers(std::size_t callers)
{
    const std::size_t current = m_caller.callers;
    const std::size_t difference = std::max(current, callers) - std::min(current, callers);
    if (difference * 10 < current)
        return;
    m_caller.callers = callers;
    m_candidates.clear();
}

Pick ServicePool::pick(const PickRequest &request, MonotonicTime now)
{
    const Candidates &candidates = cachedCandidates(request.version, request.connectionsPerTarget);
    Pick pick = pickAmong(candidates, request, true, now);
    if (pick.verdict == PickVerdict::None && !request.tried.empty())
        pick = pickAmong(candidates, request, false, now);
    if (pick.verdict != PickVerdict::Chosen)
        return pick;
    pick.isTrial = pick.target->ejection.startRequest();
    ++pick.target->inFlight;
    ++m_inFlight;
    return pick;
}

void ServicePool::finish(const Pick &claim, const AttemptOutcome &outcome, MonotonicTime now)
{
    PoolTarget &target = *claim.target;
    if (outcome.reportedLoad)
        target.load.report(*outcome.reportedLoad, now);
    if (outcome.result == AttemptResult::Responded) {
        target.limit.recordResponse(target.inFlight);
        m_meanLatency += (outcome.latency - m_meanLatency) / latencySmoothingDivisor;
        if (!outcome.draining)
            target.lastVerified = now;
    }
    applyResult(claim, outcome, now);
    if (outcome.draining)
        markDraining(target);
    --target.inFlight;
    --m_inFlight;
}

void ServicePool::abandon(const Pick &claim) noexcept
{
    claim.target->ejection.abandon(claim.isTrial);
    --claim.target->inFlight;
    --m_inFlight;
}

void ServicePool::recordProbe(const Pick &claim, ProbeResult result, MonotonicTime now)
{
    switch (result) {
    case ProbeResult::AcceptsRequests:
        claim.target->lastVerified = now;
        return;
    case ProbeResult::Draining:
        markDraining(*claim.target);
        return;
    case ProbeResult::Unreachable:
        recordFailure(claim, true, now);
        return;
    }
}

DrainEstimate ServicePool::drainEstimate() const noexcept
{
    return {m_meanLatency / std::max<std::uint32_t>(1, m_inFlight), m_meanLatency};
}

std::vector<PoolTargetPtr> ServicePool::candidates(const VersionChoice &version, ConnectionCount connections)
{
    const Candidates &lists = cachedCandidates(version, connections);
    TargetList targets;
    for (const TargetList &tier : lists.tiers)
        targets.insert(targets.end(), tier.begin(), tier.end());
    return targets;
}

const ServicePool::Candidates &ServicePool::cachedCandidates(const VersionChoice &version, ConnectionCount connections)
{
    for (const Candidates &cached : m_candidates) {
        if (cached.key.share == version.targetShare && cached.key.version == version.version)
            return cached;
    }
    if (m_candidates.size() >= maxCandidateLists)
        m_candidates.erase(m_candidates.begin());
    m_candidates.push_back(buildCandidates({version.version, version.targetShare}, connections));
    readmitExcessEjections(m_candidates.back());
    return m_candidates.back();
}

ServicePool::Candidates ServicePool::buildCandidates(const CandidateKey &key, ConnectionCount connections) const
{
    Candidates candidates;
    candidates.key = key;
    for (const bool ownRegion : {true, false}) {
        for (const PoolTargetPtr &target : activeTargets(key, ownRegion))
            candidates.tiers.at(static_cast<std::size_t>(target->tier)).push_back(target);
    }
    for (TargetList &tier : candidates.tiers)
        reduceToSubset(tier, connections);
    return candidates;
}

// The share is taken from all targets announced as serving, draining ones included, so that a draining target is not
// replaced by one outside the share.
ServicePool::TargetList ServicePool::activeTargets(const CandidateKey &key, bool ownRegion) const
{
    TargetList targets;
    for (const auto &[id, target] : m_targets) {
        const bool isOwn = target->tier != LocalityTier::OtherRegion;
        if (target->endpoint.version == key.version && isOwn == ownRegion)
            targets.push_back(target);
    }
    std::sort(targets.begin(), targets.end(), [&key](const PoolTargetPtr &left, const PoolTargetPtr &right) {
        const auto rank = [&key](const PoolTarget &item) {
            return versionTargetRank(key.version, item.endpoint.target);
        };
        return rank(*left) < rank(*right);
    });
    targets.resize(targetCountForShare(key.share, targets.size()));
    std::erase_if(targets, [](const PoolTargetPtr &target) { return target->isDraining; });
    return targets;
}

void ServicePool::reduceToSubset(TargetList &targets, ConnectionCount connections) const
{
    std::sort(targets.begin(), targets.end(), [this](const PoolTargetPtr &left, const PoolTargetPtr &right) {
        return callerTargetRank(m_caller.node, left->endpoint.target)
               < callerTargetRank(m_caller.node, right->endpoint.target);
    });
    if (targets.empty())
        return;
    const std::size_t callers = std::max<std::size_t>(1, m_caller.callers);
    const std::size_t subsetCount = subsetSize(targets.size(), callers, connections.value());
    const std::size_t callersPerTarget = (callers * subsetCount + targets.size() - 1) / targets.size();
    targets.resize(subsetCount);
    for (const PoolTargetPtr &target : targets) {
        target->connections = connectionShare(connections, callersPerTarget);
        if (!std::exchange(target->isLimitInitialised, true))
            target->limit = ConcurrencyLimit(SlotCount(target->limit.slots()), callersPerTarget);
    }
}

// Readmits ejected targets, those whose ejection ends first before the others, until at most half are ejected. More
// than half may be ejected after other targets have left.
void ServicePool::readmitExcessEjections(Candidates &candidates)
{
    for (const std::size_t scope : {0, 1}) {
        TargetList targets = targetsInScope(candidates.tiers, scope);
        std::sort(targets.begin(), targets.end(), [](const PoolTargetPtr &left, const PoolTargetPtr &right) {
            return left->ejection.endsAt() < right->ejection.endsAt();
        });
        std::size_t ejected = countEjected(targets);
        for (const PoolTargetPtr &target : targets) {
            if (ejected * 2 <= targets.size())
                break;
            if (!target->ejection.isEjected())
                continue;
            target->ejection.readmit();
            --ejected;
        }
    }
}

Pick ServicePool::pickAmong(const Candidates &candidates, const PickRequest &request, bool avoidTried,
                            MonotonicTime now)
{
    bool isBusy = false;
    const PoolTargetPtr *best = nullptr;
    double bestLoad = 0;
    for (std::size_t index = 0; index < localityTierCount; ++index) {
        const auto tier = static_cast<LocalityTier>(index);
        if (!isPermitted(request.workClass, tier))
            continue;
        m_usable.clear();
        for (const PoolTargetPtr &target : candidates.tiers.at(index)) {
            if (!target->ejection.isUsable(now) || (avoidTried && isTried(request, target->endpoint.target)))
                continue;
            if (target->isBusy())
                isBusy = true;
            else
                m_usable.push_back(&target);
        }
        const PoolTargetPtr *choice = chooseLessLoaded(m_usable, now);
        if (choice == nullptr)
            continue;
        const double load = (*choice)->load.value((*choice)->inFlight, (*choice)->limit.slots(), now);
        if (best == nullptr || load < bestLoad) {
            best = choice;
            bestLoad = load;
        }
        if (load < spillThreshold(request.workClass, tier))
            break;
    }
    if (best != nullptr)
        return {PickVerdict::Chosen, *best};
    return {isBusy ? PickVerdict::Busy : PickVerdict::None, nullptr};
}

const PoolTargetPtr *ServicePool::chooseLessLoaded(const std::vector<const PoolTargetPtr *> &usable, MonotonicTime now)
{
    if (usable.empty())
        return nullptr;
    if (usable.size() == 1)
        return usable.front();
    const PoolTargetPtr *first = drawByWeight(usable, now);
    const PoolTargetPtr *second = drawByWeight(usable, now);
    const auto load = [now](const PoolTarget &target) {
        return target.load.value(target.inFlight, target.limit.slots(), now);
    };
    return load(**second) < load(**first) ? second : first;
}

// Rejects a drawn target in slow start with a probability that falls as its weight grows. The last draw is always
// accepted, which bounds the work.
const PoolTargetPtr *ServicePool::drawByWeight(const std::vector<const PoolTargetPtr *> &usable, MonotonicTime now)
{
    const PoolTargetPtr *drawn = nullptr;
    for (int attempt = 0; attempt < maxWeightedDraws; ++attempt) {
        drawn = usable.at(uniformBelow(m_random, usable.size()));
        const double weight = slowStartWeight((*drawn)->servingSince, now);
        if (weight >= 1.0 || static_cast<double>(uniformBelow(m_random, weightScale)) < weight * weightScale)
            return drawn;
    }
    return drawn;
}

void ServicePool::recordFailure(const Pick &claim, bool isConnectionRefused, MonotonicTime now)
{
    if (claim.target->ejection.recordFailure(isConnectionRefused, claim.isTrial, now))
        tryEject(*claim.target, now);
}

void ServicePool::tryEject(PoolTarget &target, MonotonicTime now)
{
    for (const Candidates &candidates : m_candidates) {
        if (candidates.key.version != target.endpoint.version)
            continue;
        const TargetList targets = targetsInScope(candidates.tiers, ejectionScope(target.tier));
        const bool isMember = std::any_of(targets.begin(), targets.end(),
                                          [&target](const PoolTargetPtr &item) { return item.get() == &target; });
        if (isMember && !mayEject(countEjected(targets), targets.size()))
            return;
    }
    target.ejection.eject(now);
    ++m_ejections;
}

void ServicePool::markDraining(PoolTarget &target)
{
    if (std::exchange(target.isDraining, true))
        return;
    m_candidates.clear();
}

void ServicePool::applyResult(const Pick &claim, const AttemptOutcome &outcome, MonotonicTime now)
{
    switch (outcome.result) {
    case AttemptResult::Responded:
        if (outcome.status < firstServerError)
            claim.target->ejection.recordSuccess(claim.isTrial);
        else
            recordFailure(claim, false, now);
        return;
    case AttemptResult::Shed:
        claim.target->limit.recordShed();
        claim.target->ejection.recordSuccess(claim.isTrial);
        return;
    case AttemptResult::NotSent:
    case AttemptResult::MayHaveRun:
    case AttemptResult::TimedOut:
        recordFailure(claim, outcome.result == AttemptResult::NotSent, now);
        return;
    case AttemptResult::Cancelled:
        claim.target->ejection.abandon(claim.isTrial);
        return;
    }
}

} // namespace dandeliondock
