#include <dandeliondock/node/relay_coordinator.h>

#include <dandeliondock/core/error.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr std::size_t revisionLogCapacity = 256;
constexpr std::size_t maxRevisionsPerResponse = 64;
constexpr Milliseconds noPathRetryDelay{250};
constexpr Milliseconds maxHold{10'000};

absl::string_view refusalName(PollRefusal refusal)
{
    switch (refusal) {
    case PollRefusal::None:
        return "none";
    case PollRefusal::WrongDeployment:
        return "wrong_deployment";
    case PollRefusal::NoPath:
        return "no_path";
    case PollRefusal::Loop:
        return "loop";
    case PollRefusal::Full:
        return "full";
    case PollRefusal::Leaving:
        return "leaving";
    case PollRefusal::StaleIncarnation:
        return "stale_incarnation";
    }
    return "unknown";
}

} // namespace

RelayCoordinator::RelayCoordinator(ControlIdentity identity, ControlHooks hooks)
    : m_identity(std::move(identity)), m_hooks(std::move(hooks)),
      m_children(m_identity.deployment, m_identity.node, m_identity.region, m_identity.fanOut),
      m_log(revisionLogCapacity)
{
}

void RelayCoordinator::report(LogLevel level, absl::string_view event, absl::string_view counter,
                              absl::string_view reason) const
{
    m_hooks.metrics->counter(counter, reason).add();
    LogEvent(level, event).field("reason", reason).write(m_hooks.log);
}

LocalState RelayCoordinator::localState() const
{
    return {m_hooks.config()->revision(), m_hooks.directoryDigest(), m_hooks.endpointCursor(), m_hooks.rollouts()};
}

PollAnswer RelayCoordinator::servePoll(const PollRequest &request)
{
    PollAnswer response;
    PollDecision decision;
    {
        const std::scoped_lock lock(m_mutex);
        decision = m_children.onPoll(request, m_hooks.time.monotonic());
    }
    response.result = decision.result;
    response.redirects = std::move(decision.redirects);
    if (decision.result == PollResult::NoPath)
        response.retryAfter = noPathRetryDelay;
    if (decision.refusal != PollRefusal::None) {
        report(LogLevel::Debug, "control.poll_refused", "dandeliondock_polls_refused_total",
               refusalName(decision.refusal));
        return response;
    }
    if (decision.isNewChild)
        LogEvent(LogLevel::Info, "control.child_joined").field("node", request.node).write(m_hooks.log);
    mergeFromChild(request, decision.acceptOutcomes);
    if (request.outcomes)
        response.outcomeSequence = request.outcomes->sequence;
    if (request.leaving)
        return response;
    LocalState state;
    const PendingUpdate update = waitForUpdate(request, decision.poll, state);
    fillResponse(request, decision.poll, update, state, response);
    return response;
}

void RelayCoordinator::mergeFromChild(const PollRequest &request, bool acceptOutcomes)
{
    m_hooks.recordRegionContact({request.region});
    recordStoreHead(request.knownHead);
    if (acceptOutcomes)
        m_hooks.acceptOutcomes({request.node, request.incarnation}, *request.outcomes);
    const bool endpoints = !request.endpoints.empty() && m_hooks.mergeEndpoints(request.endpoints);
    const bool rollouts = !request.rollouts.empty() && m_hooks.mergeRollouts(request.rollouts);
    if (endpoints || rollouts)
        notifyParent();
}

PendingUpdate RelayCoordinator::waitForUpdate(const PollRequest &request, PollNumber poll, LocalState &state)
{
    const MonotonicTime end = m_hooks.time.monotonic() + std::min(request.hold, maxHold);
    std::unique_lock lock(m_mutex);
    while (true) {
        const std::uint64_t generation = m_generation;
        lock.unlock();
        state = localState();
        const MonotonicTime now = m_hooks.time.monotonic();
        lock.lock();
        PendingUpdate update = m_children.pendingUpdateFor(request.node, state, now);
        if (update.any() || now >= end || m_children.leaving() || !m_children.isLatest(request.node, poll))
            return update;
        m_changed.wait_for(lock, end - now, [&] { return m_generation != generation; });
    }
}

void RelayCoordinator::fillResponse(const PollRequest &request, PollNumber poll, const PendingUpdate &update,
                                    const LocalState &state, PollAnswer &response)
{
    if (update.fullEndpoints)
        response.endpoints = m_hooks.allEndpoints(request.region);
    else if (update.endpointsAfter)
        response.endpoints = m_hooks.endpointChanges(*update.endpointsAfter, request.region).records;
    response.rollouts = update.rollouts;
    response.revision = state.revision;
    response.directoryDigest = state.directoryDigest;
    response.acknowledgement = treeAcknowledgement();
    response.region = m_identity.region;
    response.recentRegions = m_hooks.reachableRegions();
    const std::scoped_lock lock(m_mutex);
    if (m_children.leaving())
        response.result = PollResult::Leaving;
    RevisionDelta delta = m_log.after(request.revision, maxRevisionsPerResponse);
    response.revisions = std::move(delta.revisions);
    response.snapshotNeeded = delta.snapshotNeeded;
    response.path = m_children.path();
    response.grandparent = m_parent;
    m_children.onResponseSent(request.node, poll, state, update, m_hooks.time.monotonic());
}

void RelayCoordinator::notifyParent()
{
    wakeHeldPolls();
    m_parentPollCancellation.cancel();
}

void RelayCoordinator::wakeHeldPolls()
{
    {
        const std::scoped_lock lock(m_mutex);
        ++m_generation;
    }
    m_changed.notify_all();
}

absl::Status RelayCoordinator::applyRevisions(const std::vector<Revision> &revisions)
{
    absl::Status status;
    bool changed = false;
    for (const Revision &revision : revisions) {
        if (revision.number <= m_hooks.config()->revision())
            continue;
        status = m_hooks.applyRevision(revision);
        if (!status.ok())
            break;
        changed = true;
        const std::scoped_lock lock(m_mutex);
        m_log.add(revision);
    }
    if (!status.ok())
        LogEvent(LogLevel::Error, "config.refused").error(status).write(m_hooks.log);
    if (changed) {
        LogEvent(LogLevel::Info, "config.applied").field("revision", m_hooks.config()->revision()).write(m_hooks.log);
        wakeHeldPolls();
    }
    return status;
}

void RelayCoordinator::applySnapshot(ConfigState state)
{
    const RevisionNumber revision = state.revision();
    m_hooks.applySnapshot(std::move(state));
    {
        const std::scoped_lock lock(m_mutex);
        m_log.resetTo(revision);
    }
    LogEvent(LogLevel::Info, "config.snapshot_applied").field("revision", revision).write(m_hooks.log);
    wakeHeldPolls();
}

void RelayCoordinator::recordStoreHead(RevisionNumber head)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (head <= m_storeHead)
            return;
        m_storeHead = head;
    }
    if (head <= m_hooks.config()->revision())
        return;
    m_hooks.headAdvanced();
    m_parentPollCancellation.cancel();
}

RevisionNumber RelayCoordinator::unappliedHead() const
{
    const RevisionNumber applied = m_hooks.config()->revision();
    const std::scoped_lock lock(m_mutex);
    return m_storeHead > applied ? m_storeHead : RevisionNumber();
}

void RelayCoordinator::updatePath()
{
    m_children.setPath(pathFromRoot(m_identity.node, m_parentPath, m_leases.startsPath));
    ++m_generation;
}

void RelayCoordinator::setParent(std::vector<NodeId> path, Address address)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (path == m_parentPath && address == m_parent)
            return;
        m_parentPath = std::move(path);
        m_parent = std::move(address);
        updatePath();
    }
    m_changed.notify_all();
}

void RelayCoordinator::setLeases(LeaseStatus leases)
{
    {
        const std::scoped_lock lock(m_mutex);
        const bool startsPathChanged = leases.startsPath != m_leases.startsPath;
        m_leases = std::move(leases);
        if (!startsPathChanged)
            return;
        updatePath();
    }
    m_changed.notify_all();
}

void RelayCoordinator::setTreeAcknowledgement(AcknowledgementSum sum)
{
    const std::scoped_lock lock(m_mutex);
    m_treeAcknowledgement = sum;
}

void RelayCoordinator::leave()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_children.setLeaving();
        ++m_generation;
    }
    m_changed.notify_all();
}

void RelayCoordinator::expireChildren()
{
    std::vector<LostChild> lost;
    {
        const std::scoped_lock lock(m_mutex);
        lost = m_children.expire(m_hooks.time.monotonic());
    }
    for (const LostChild &child : lost) {
        m_hooks.metrics->counter("dandeliondock_children_lost_total").add();
        LogEvent(LogLevel::Warn, "control.child_lost").field("node", child.node).write(m_hooks.log);
        m_hooks.childLost(child);
    }
    m_hooks.metrics->gauge("dandeliondock_children").set(static_cast<std::int64_t>(children()));
}

void RelayCoordinator::confirmCurrent(MonotonicTime requestedAt)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_ready || requestedAt < m_lastPause)
            return;
        m_ready = true;
    }
    m_hooks.readyChanged(true);
}

void RelayCoordinator::onPause()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_ready = false;
        m_lastPause = m_hooks.time.monotonic();
    }
    m_hooks.readyChanged(false);
}

bool RelayCoordinator::ready() const
{
    const std::scoped_lock lock(m_mutex);
    return m_ready;
}

LeaseStatus RelayCoordinator::leases() const
{
    const std::scoped_lock lock(m_mutex);
    return m_leases;
}

Address RelayCoordinator::parent() const
{
    const std::scoped_lock lock(m_mutex);
    return m_parent;
}

std::vector<NodeId> RelayCoordinator::path() const
{
    const std::scoped_lock lock(m_mutex);
    return m_children.path();
}

std::size_t RelayCoordinator::children() const
{
    const std::scoped_lock lock(m_mutex);
    return m_children.children().size();
}

AcknowledgementSum RelayCoordinator::acknowledgement() const
{
    // The revision is read before the children's acknowledgements, so that it is never higher than the applied one.
    const RevisionNumber ownRevision = m_hooks.config()->revision();
    const std::scoped_lock lock(m_mutex);
    return m_children.acknowledgement(ownRevision);
}

AcknowledgementSum RelayCoordinator::treeAcknowledgement() const
{
    if (leases().holdsRootLease)
        return acknowledgement();
    const std::scoped_lock lock(m_mutex);
    return m_treeAcknowledgement;
}

} // namespace dandeliondock
