#include <dandeliondock/node/parent_poller.h>

#include <dandeliondock/codec/control_codec.h>
#include <dandeliondock/codec/snapshot_codec.h>
#include <dandeliondock/core/error.h>

#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

// A poll that takes this much longer than its hold is on a silent connection.
constexpr Milliseconds pollMargin{500};
constexpr Milliseconds snapshotLimit{5'000};
constexpr Milliseconds rootCheck{250};
constexpr Milliseconds outcomeHold{750};
constexpr Milliseconds goodbyeLimit{500};

absl::string_view outcomeName(AttachOutcome outcome)
{
    switch (outcome) {
    case AttachOutcome::Attached:
        return "attached";
    case AttachOutcome::Refused:
        return "refused";
    case AttachOutcome::Redirected:
        return "redirected";
    case AttachOutcome::Loop:
        return "loop";
    case AttachOutcome::PathLost:
        return "path_lost";
    case AttachOutcome::WrongDeployment:
        return "wrong_deployment";
    }
    return "unknown";
}

} // namespace

ParentPoller::ParentPoller(std::shared_ptr<RelayCoordinator> hub, std::shared_ptr<LeaseManager> keeper)
    : m_hub(std::move(hub)), m_keeper(std::move(keeper)), m_random(m_hub->hooks().random()),
      m_selection(m_hub->identity().node, m_hub->identity().controlAddress, m_random)
{
    m_thread = std::thread([this] { run(); });
}

ParentPoller::~ParentPoller()
{
    stop();
}

bool ParentPoller::stopRequested()
{
    const std::scoped_lock lock(m_mutex);
    return m_stopRequested;
}

void ParentPoller::run()
{
    while (!stopRequested()) {
        const LeaseStatus leases = m_hub->leases();
        if (leases.holdsRootLease || (leases.holdsLease && !m_wasHolder)) {
            m_selection.detach();
            m_hub->setParent({}, Address());
        }
        m_wasHolder = leases.holdsLease;
        const MonotonicTime now = m_hub->hooks().time.monotonic();
        if (leases.holdsRootLease) {
            wait(now + rootCheck);
            continue;
        }
        const CandidateAddresses known{leases.higherHolders, m_hub->identity().peers, m_hub->hooks().controlAddresses(),
                                       leases.holdsLease};
        const ParentSelectionStep step = m_selection.next(known, now);
        if (step.action == ParentSelectionAction::Poll)
            poll(step.candidate);
        // Without a pause the parent would answer each poll at once until the snapshot is there.
        if (step.action == ParentSelectionAction::Poll && m_snapshotWanted)
            wait(m_nextSnapshot);
        if (step.action == ParentSelectionAction::ReadLeases)
            m_keeper->requestLeaseRead();
        if (step.action == ParentSelectionAction::Wait)
            wait(step.until);
    }
    sayGoodbye();
}

void ParentPoller::wait(MonotonicTime until)
{
    const MonotonicTime now = m_hub->hooks().time.monotonic();
    std::unique_lock lock(m_mutex);
    if (until > now)
        m_stopping.wait_for(lock, until - now, [this] { return m_stopRequested; });
}

PollRequest ParentPoller::buildRequest(bool attached)
{
    const ControlIdentity &identity = m_hub->identity();
    const ControlHooks &hooks = m_hub->hooks();
    PollRequest request;
    request.deployment = identity.deployment;
    request.node = identity.node;
    request.incarnation = identity.incarnation;
    request.region = identity.region;
    request.dataCentre = identity.dataCentre;
    request.controlAddress = identity.controlAddress;
    request.acknowledgement = m_hub->acknowledgement();
    request.revision = hooks.config()->revision();
    request.knownHead = m_hub->unappliedHead();
    request.directoryDigest = hooks.directoryDigest();
    request.outcomes = hooks.pendingOutcomes();
    // A candidate that may refuse gets no records, which would be lost with the refusal.
    if (!attached)
        return request;
    // Outcomes that wait for the end of a poll would make a bad version's faults known late.
    request.hold = request.outcomes ? std::min(identity.hold, outcomeHold) : identity.hold;
    request.resynchronise = std::exchange(m_resynchronise, false);
    const EndpointChanges changes = hooks.endpointChanges(m_endpointsSent.value_or(ChangeCursor()), m_parentRegion);
    m_endpointsPending = changes.cursor;
    request.fullEndpoints = m_sendFull;
    request.endpoints = m_sendFull ? hooks.allEndpoints(m_parentRegion) : changes.records;
    for (const RolloutRecord &record : hooks.rollouts()) {
        if (std::find(m_rolloutsSent.begin(), m_rolloutsSent.end(), record) == m_rolloutsSent.end())
            request.rollouts.push_back(record);
    }
    return request;
}

absl::StatusOr<PollAnswer> ParentPoller::exchange(const Address &to, const PollRequest &request, Milliseconds limit)
{
    HttpRequest message;
    message.method = "POST";
    message.target = "/control/poll";
    message.body = encodePollRequest(request);
    SendOptions options;
    options.timeout = limit;
    MetricsRegistry &metrics = *m_hub->hooks().metrics;
    metrics.counter("dandeliondock_control_bytes_total", "to_parent").add(message.body.size());
    options.cancellation = &m_hub->parentPollCancellation();
    const SendResult result = m_hub->hooks().send(to, message, options);
    if (!result.response.ok())
        return result.response.status();
    metrics.counter("dandeliondock_control_bytes_total", "from_parent").add(result.response->body.size());
    if (result.response->status != 200)
        return makeError(ErrorKind::InvalidMessage, result.response->body);
    return decodePollAnswer(result.response->body);
}

void ParentPoller::poll(const ParentCandidate &candidate)
{
    const bool attached = m_selection.attached();
    m_hub->parentPollCancellation().reset();
    const MonotonicTime asked = m_hub->hooks().time.monotonic();
    const PollRequest request = buildRequest(attached);
    const absl::StatusOr<PollAnswer> answer = exchange(candidate.address, request, request.hold + pollMargin);
    if (!answer.ok() && errorKind(answer.status()) == ErrorKind::Interrupted) {
        m_resynchronise = attached;
        return;
    }
    if (!answer.ok()) {
        m_hub->hooks()
                .metrics->counter("dandeliondock_poll_failures_total", errorKindName(errorKind(answer.status())))
                .add();
        LogEvent(attached ? LogLevel::Warn : LogLevel::Debug, "uplink.poll_failed")
                .field("parent", candidate.address)
                .error(answer.status())
                .write(m_hub->hooks().log);
        m_selection.onFailure();
        m_hub->setParent({}, Address());
        return;
    }
    const AttachOutcome outcome = m_selection.onResponse(*answer, m_hub->hooks().time.monotonic());
    if (outcome != AttachOutcome::Attached) {
        m_hub->report(LogLevel::Debug, "uplink.not_attached", "dandeliondock_attach_retries_total",
                      outcomeName(outcome));
        m_hub->setParent({}, Address());
        return;
    }
    if (!attached) {
        LogEvent(LogLevel::Info, "uplink.attached").field("parent", candidate.address).write(m_hub->hooks().log);
        m_hub->hooks().metrics->counter("dandeliondock_attachments_total").add();
        m_joinRevision = answer->revision;
        m_parentRegion = answer->region;
        m_hub->hooks().parentChanged();
        m_resynchronise = true;
        m_endpointsSent.reset();
        m_rolloutsSent.clear();
        m_sendFull = true;
    }
    m_hub->setParent(m_selection.parentPath(), candidate.address);
    merge(request, *answer, asked);
    if (attached)
        takeAnswer(request, *answer);
}

void ParentPoller::takeAnswer(const PollRequest &request, const PollAnswer &answer)
{
    m_endpointsSent = m_endpointsPending;
    {
        const std::scoped_lock lock(m_mutex);
        m_endpointsTaken = m_endpointsPending;
    }
    m_taken.notify_all();
    m_rolloutsSent.insert(m_rolloutsSent.end(), request.rollouts.begin(), request.rollouts.end());
    // After merging the parent's records, a difference means that the parent lacks some of this node's.
    m_sendFull = !answer.endpoints.empty() && m_hub->hooks().directoryDigest() != answer.directoryDigest
                 && !request.fullEndpoints;
}

void ParentPoller::merge(const PollRequest &request, const PollAnswer &answer, MonotonicTime asked)
{
    const ControlHooks &hooks = m_hub->hooks();
    hooks.upstreamResponded();
    hooks.recordRegionContact(answer.recentRegions);
    if (answer.acknowledgement)
        m_hub->setTreeAcknowledgement(*answer.acknowledgement);
    if (request.outcomes && answer.outcomeSequence == request.outcomes->sequence)
        hooks.outcomesAcknowledged(answer.outcomeSequence);
    const bool endpoints = !answer.endpoints.empty() && hooks.mergeEndpoints(answer.endpoints);
    const bool rollouts = !answer.rollouts.empty() && hooks.mergeRollouts(answer.rollouts);
    if (endpoints || rollouts)
        m_hub->wakeHeldPolls();
    if (!m_hub->applyRevisions(answer.revisions).ok())
        m_snapshotWanted = true;
    m_snapshotWanted = m_snapshotWanted || answer.snapshotNeeded;
    if (m_snapshotWanted && hooks.time.monotonic() >= m_nextSnapshot)
        fetchSnapshot(m_selection.parent()->address);
    if (hooks.config()->revision() >= m_joinRevision)
        m_hub->confirmCurrent(asked);
}

void ParentPoller::fetchSnapshot(const Address &parent)
{
    const ControlHooks &hooks = m_hub->hooks();
    HttpRequest message;
    message.method = "POST";
    message.target = "/control/snapshot";
    message.body = encodeSnapshotRequest({m_hub->identity().deployment, m_hub->identity().node,
                                          hooks.config()->revision(), m_hub->identity().region});
    SendOptions options;
    options.timeout = snapshotLimit;
    const SendResult result = hooks.send(parent, message, options);
    if (result.response.ok() && result.response->status == 200) {
        absl::StatusOr<ConfigState> state = decodeSnapshot(result.response->body);
        if (state.ok()) {
            m_snapshotWanted = false;
            return m_hub->applySnapshot(*std::move(state));
        }
    }
    Milliseconds hint = backoffCap;
    std::uint32_t hintMs = 0;
    if (result.response.ok()
        && absl::SimpleAtoi(result.response->headers.first("Retry-After-Ms").value_or(""), &hintMs))
        hint = std::min(hint, Milliseconds(hintMs));
    m_nextSnapshot = hooks.time.monotonic() + hint;
    m_hub->report(LogLevel::Warn, "uplink.snapshot_failed", "dandeliondock_snapshot_retries_total",
                  result.response.ok() ? "refused" : errorKindName(errorKind(result.response.status())));
}

void ParentPoller::sayGoodbye()
{
    if (!m_selection.attached())
        return;
    PollRequest request = buildRequest(true);
    request.leaving = true;
    request.hold = Milliseconds(0);
    const auto answer = exchange(m_selection.parent()->address, request, goodbyeLimit);
    LogEvent(LogLevel::Info, "uplink.left").field("answered", answer.ok()).write(m_hub->hooks().log);
}

bool ParentPoller::waitAcknowledged(ChangeCursor cursor, Milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    return m_taken.wait_for(lock, limit, [&] { return m_endpointsTaken >= cursor; });
}

void ParentPoller::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopRequested = true;
    }
    m_stopping.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

} // namespace dandeliondock
