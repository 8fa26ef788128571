#include <dandeliondock/distribution/child_registry.h>

#include <algorithm>

namespace dandeliondock {

namespace {

PollResult pollResultOf(PollRefusal refusal)
{
    switch (refusal) {
    case PollRefusal::None:
        return PollResult::Attached;
    case PollRefusal::WrongDeployment:
        return PollResult::WrongDeployment;
    case PollRefusal::Full:
        return PollResult::Full;
    case PollRefusal::Leaving:
        return PollResult::Leaving;
    case PollRefusal::NoPath:
    case PollRefusal::Loop:
    case PollRefusal::StaleIncarnation:
        break;
    }
    return PollResult::NoPath;
}

} // namespace

void ChildRegistry::Child::clearSent()
{
    endpointsSent.reset();
    rolloutsSent.clear();
    pathSent.reset();
}

ChildRegistry::ChildRegistry(DeploymentName deployment, NodeId self, RegionName region, std::size_t fanOut)
    : m_deployment(std::move(deployment)), m_self(std::move(self)), m_region(std::move(region)), m_fanOut(fanOut)
{
}

void ChildRegistry::setPath(std::vector<NodeId> path)
{
    m_path = std::move(path);
}

PollRefusal ChildRegistry::rejectionReason(const PollRequest &request) const
{
    if (request.deployment != m_deployment)
        return PollRefusal::WrongDeployment;
    if (m_leaving)
        return PollRefusal::Leaving;
    if (request.node == m_self || std::find(m_path.begin(), m_path.end(), request.node) != m_path.end())
        return PollRefusal::Loop;
    const auto existing = m_children.find(request.node);
    if (existing != m_children.end()) {
        const bool isStale = request.incarnation < existing->second.incarnation;
        return isStale ? PollRefusal::StaleIncarnation : PollRefusal::None;
    }
    if (m_path.empty())
        return PollRefusal::NoPath;
    return m_children.size() >= m_fanOut ? PollRefusal::Full : PollRefusal::None;
}

PollDecision ChildRegistry::onPoll(const PollRequest &request, MonotonicTime now)
{
    const PollRefusal refusal = rejectionReason(request);
    if (refusal == PollRefusal::Loop)
        m_children.erase(request.node);
    if (refusal != PollRefusal::None)
        return reject(refusal);
    if (request.leaving) {
        m_children.erase(request.node);
        return {PollResult::Attached, PollRefusal::None, {}, false, request.outcomes.has_value(), {}};
    }
    return accept(request, now);
}

PollDecision ChildRegistry::reject(PollRefusal refusal) const
{
    PollDecision decision;
    decision.result = pollResultOf(refusal);
    decision.refusal = refusal;
    if (refusal != PollRefusal::Full && refusal != PollRefusal::Leaving)
        return decision;
    for (const auto &[node, child] : m_children)
        decision.redirects.push_back(child.controlAddress);
    return decision;
}

PollDecision ChildRegistry::accept(const PollRequest &request, MonotonicTime now)
{
    PollDecision decision;
    decision.result = PollResult::Attached;
    const auto [entry, inserted] = m_children.try_emplace(request.node);
    Child &child = entry->second;
    decision.isNewChild = inserted || child.incarnation != request.incarnation;
    if (decision.isNewChild)
        child = Child();
    if (request.resynchronise)
        child.clearSent();
    child.poll = PollNumber(child.poll.value() + 1);
    decision.poll = child.poll;
    child.incarnation = request.incarnation;
    child.region = request.region;
    child.controlAddress = request.controlAddress;
    child.revision = request.revision;
    child.digest = request.directoryDigest;
    child.acknowledgement = request.acknowledgement;
    child.lastPoll = now;
    if (request.outcomes && request.outcomes->sequence > child.outcomeSequence) {
        child.outcomeSequence = request.outcomes->sequence;
        decision.acceptOutcomes = true;
    }
    return decision;
}

PendingUpdate ChildRegistry::pendingUpdateFor(const NodeId &node, const LocalState &state, MonotonicTime now) const
{
    PendingUpdate update;
    const auto entry = m_children.find(node);
    if (entry == m_children.end())
        return update;
    const Child &child = entry->second;
    update.revisions = child.revision < state.revision;
    update.path = child.pathSent != m_path;
    if (!child.endpointsSent)
        update.fullEndpoints = child.region != m_region || child.digest != state.directoryDigest;
    else if (*child.endpointsSent < state.endpointCursor)
        update.endpointsAfter = child.endpointsSent;
    else if (child.region == m_region && now - child.lastResync >= directoryResyncInterval)
        update.fullEndpoints = child.digest != state.directoryDigest;
    for (const RolloutRecord &record : state.rollouts) {
        if (std::find(child.rolloutsSent.begin(), child.rolloutsSent.end(), record) == child.rolloutsSent.end())
            update.rollouts.push_back(record);
    }
    return update;
}

bool ChildRegistry::isLatest(const NodeId &node, PollNumber poll) const
{
    const auto entry = m_children.find(node);
    return entry != m_children.end() && entry->second.poll == poll;
}

void ChildRegistry::onResponseSent(const NodeId &node, PollNumber poll, const LocalState &state,
                                   const PendingUpdate &update, MonotonicTime now)
{
    if (!isLatest(node, poll))
        return;
    Child &child = m_children.at(node);
    child.endpointsSent = state.endpointCursor;
    child.rolloutsSent = state.rollouts;
    child.pathSent = m_path;
    if (update.fullEndpoints)
        child.lastResync = now;
}

std::vector<LostChild> ChildRegistry::expire(MonotonicTime now)
{
    std::vector<LostChild> lost;
    for (auto child = m_children.begin(); child != m_children.end();) {
        if (now - child->second.lastPoll < childTimeout) {
            ++child;
            continue;
        }
        lost.push_back({child->first, child->second.incarnation, child->second.controlAddress});
        child = m_children.erase(child);
    }
    return lost;
}

AcknowledgementSum ChildRegistry::acknowledgement(RevisionNumber own) const
{
    AcknowledgementSum sum{own, NodeCount(1)};
    for (const auto &[node, child] : m_children) {
        sum.lowest = std::min(sum.lowest, child.acknowledgement.lowest);
        sum.nodes = NodeCount(sum.nodes.value() + child.acknowledgement.nodes.value());
    }
    return sum;
}

std::vector<NodeId> ChildRegistry::children() const
{
    std::vector<NodeId> nodes;
    for (const auto &[node, child] : m_children)
        nodes.push_back(node);
    return nodes;
}

std::vector<NodeId> pathFromRoot(const NodeId &self, const std::vector<NodeId> &parentPath, bool startsPath)
{
    std::vector<NodeId> path = parentPath;
    if (startsPath || !path.empty())
        path.push_back(self);
    return path;
}

} // namespace dandeliondock
