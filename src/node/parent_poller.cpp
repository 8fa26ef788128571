#include <dandeliondock/node/parent_poller.h>

#include <dandeliondock/codec/control_codec.h>
#include <dandeliondock/codec/snapshot_codec.h>
#include <dandeliondock/core/error.h>

#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

// Time after the end of its hold at which a poll times out, because the connection is then assumed to be lost.
constexpr Milliseconds pollTimeoutMargin{500};
constexpr Milliseconds snapshotTimeout{5'000};
constexpr Milliseconds rootCheckInterval{250};
constexpr Milliseconds maxHoldWithOutcomes{750};
constexpr Milliseconds leavingPollTimeout{500};

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

ParentPoller::ParentPoller(std::shared_ptr<RelayCoordinator> coordinator, std::shared_ptr<LeaseManager> leaseManager)
    : m_coordinator(std::move(coordinator)), m_leaseManager(std::move(leaseManager)),
      m_random(m_coordinator->hooks().random()),
      m_selection(m_coordinator->identity().node, m_coordinator->identity().controlAddress, m_random)
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
        const LeaseStatus leases = m_coordinator->leases();
        if (leases.holdsRootLease || (leases.holdsLease && !m_wasLeaseHolder)) {
            m_selection.detach();
            m_coordinator->setParent({}, Address());
        }
        m_wasLeaseHolder = leases.holdsLease;
        const MonotonicTime now = m_coordinator->hooks().time.monotonic();
        if (leases.holdsRootLease) {
            wait(now + rootCheckInterval);
            continue;
        }
        const CandidateAddresses known{leases.higherHolders, m_coordinator->identity().peers,
                                       m_coordinator->hooks().controlAddresses(), leases.holdsLease};
        const ParentSelectionStep step = m_selection.next(known, now);
        if (step.action == ParentSelectionAction::Poll)
            poll(step.candidate);
        // Without this wait the parent would respond to each poll immediately until the snapshot has been fetched.
        if (step.action == ParentSelectionAction::Poll && m_snapshotNeeded)
            wait(m_nextSnapshotRequest);
        if (step.action == ParentSelectionAction::ReadLeases)
            m_leaseManager->requestLeaseRead();
        if (step.action == ParentSelectionAction::Wait)
            wait(step.until);
    }
    sendLeavingPoll();
}

void ParentPoller::wait(MonotonicTime until)
{
    const MonotonicTime now = m_coordinator->hooks().time.monotonic();
    std::unique_lock lock(m_mutex);
    if (until > now)
        m_stopCondition.wait_for(lock, until - now, [this] { return m_stopRequested; });
}

PollRequest ParentPoller::buildRequest(bool attached)
{
    const ControlIdentity &identity = m_coordinator->identity();
    const ControlHooks &hooks = m_coordinator->hooks();
    PollRequest request;
    request.deployment = identity.deployment;
    request.node = identity.node;
    request.incarnation = identity.incarnation;
    request.region = identity.region;
    request.dataCentre = identity.dataCentre;
    request.controlAddress = identity.controlAddress;
    request.acknowledgement = m_coordinator->acknowledgement();
    request.revision = hooks.config()->revision();
    request.knownHead = m_coordinator->unappliedHead();
    request.directoryDigest = hooks.directoryDigest();
    request.outcomes = hooks.pendingOutcomes();
    // A candidate gets no records, because it may refuse the poll and they would then be lost.
    if (!attached)
        return request;
    // The hold is shorter while there are outcomes: new ones are only sent with the next poll, and failures of a bad
    // version would otherwise be known late.
    request.hold = request.outcomes ? std::min(identity.hold, maxHoldWithOutcomes) : identity.hold;
    request.resynchronise = std::exchange(m_resynchronise, false);
    const EndpointChanges changes = hooks.endpointChanges(m_endpointsSent.value_or(ChangeCursor()), m_parentRegion);
    m_endpointsPending = changes.cursor;
    request.fullEndpoints = m_sendFullEndpoints;
    request.endpoints = m_sendFullEndpoints ? hooks.allEndpoints(m_parentRegion) : changes.records;
    for (const RolloutRecord &record : hooks.rollouts()) {
        if (std::find(m_rolloutsSent.begin(), m_rolloutsSent.end(), record) == m_rolloutsSent.end())
            request.rollouts.push_back(record);
    }
    return request;
}

absl::StatusOr<PollAnswer> ParentPoller::sendPoll(const Address &to, const PollRequest &request, Milliseconds timeout)
{
    HttpRequest message;
    message.method = "POST";
    message.target = "/control/poll";
    message.body = encodePollRequest(request);
    SendOptions options;
    options.timeout = timeout;
    MetricsRegistry &metrics = *m_coordinator->hooks().metrics;
    metrics.counter("dandeliondock_control_bytes_total", "to_parent").add(message.body.size());
    options.cancellation = &m_coordinator->parentPollCancellation();
    const SendResult result = m_coordinator->hooks().send(to, message, options);
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
    m_coordinator->parentPollCancellation().reset();
    const MonotonicTime requestedAt = m_coordinator->hooks().time.monotonic();
    const PollRequest request = buildRequest(attached);
    const absl::StatusOr<PollAnswer> response = sendPoll(candidate.address, request, request.hold + pollTimeoutMargin);
    if (!response.ok() && errorKind(response.status()) == ErrorKind::Interrupted) {
        m_resynchronise = attached;
        return;
    }
    if (!response.ok()) {
        m_coordinator->hooks()
                .metrics->counter("dandeliondock_poll_failures_total", errorKindName(errorKind(response.status())))
                .add();
        LogEvent(attached ? LogLevel::Warn : LogLevel::Debug, "uplink.poll_failed")
                .field("parent", candidate.address)
                .error(response.status())
                .write(m_coordinator->hooks().log);
        m_selection.onFailure();
        m_coordinator->setParent({}, Address());
        return;
    }
    const AttachOutcome outcome = m_selection.onResponse(*response, m_coordinator->hooks().time.monotonic());
    if (outcome != AttachOutcome::Attached) {
        m_coordinator->report(LogLevel::Debug, "uplink.not_attached", "dandeliondock_attach_retries_total",
                              outcomeName(outcome));
        m_coordinator->setParent({}, Address());
        return;
    }
    if (!attached) {
        LogEvent(LogLevel::Info, "uplink.attached")
                .field("parent", candidate.address)
                .write(m_coordinator->hooks().log);
        m_coordinator->hooks().metrics->counter("dandeliondock_attachments_total").add();
        m_parentRevisionAtAttach = response->revision;
        m_parentRegion = response->region;
        m_coordinator->hooks().onParentChanged();
        m_resynchronise = true;
        m_endpointsSent.reset();
        m_rolloutsSent.clear();
        m_sendFullEndpoints = true;
    }
    m_coordinator->setParent(m_selection.parentPath(), candidate.address);
    merge(request, *response, requestedAt);
    if (attached)
        recordDelivery(request, *response);
}

void ParentPoller::recordDelivery(const PollRequest &request, const PollAnswer &response)
{
    m_endpointsSent = m_endpointsPending;
    {
        const std::scoped_lock lock(m_mutex);
        m_endpointsAcknowledged = m_endpointsPending;
    }
    m_acknowledgedCondition.notify_all();
    m_rolloutsSent.insert(m_rolloutsSent.end(), request.rollouts.begin(), request.rollouts.end());
    // When the digests still differ after merging the parent's records, the parent lacks records of this node.
    m_sendFullEndpoints = !response.endpoints.empty()
                          && m_coordinator->hooks().directoryDigest() != response.directoryDigest
                          && !request.fullEndpoints;
}

void ParentPoller::merge(const PollRequest &request, const PollAnswer &response, MonotonicTime requestedAt)
{
    const ControlHooks &hooks = m_coordinator->hooks();
    hooks.upstreamResponded();
    hooks.recordRegionContact(response.recentRegions);
    if (response.acknowledgement)
        m_coordinator->setTreeAcknowledgement(*response.acknowledgement);
    if (request.outcomes && response.outcomeSequence == request.outcomes->sequence)
        hooks.outcomesAcknowledged(response.outcomeSequence);
    const bool endpoints = !response.endpoints.empty() && hooks.mergeEndpoints(response.endpoints);
    const bool rollouts = !response.rollouts.empty() && hooks.mergeRollouts(response.rollouts);
    if (endpoints || rollouts)
        m_coordinator->wakeHeldPolls();
    if (!m_coordinator->applyRevisions(response.revisions).ok())
        m_snapshotNeeded = true;
    m_snapshotNeeded = m_snapshotNeeded || response.snapshotNeeded;
    if (m_snapshotNeeded && hooks.time.monotonic() >= m_nextSnapshotRequest)
        fetchSnapshot(m_selection.parent()->address);
    if (hooks.config()->revision() >= m_parentRevisionAtAttach)
        m_coordinator->confirmCurrent(requestedAt);
}

void ParentPoller::fetchSnapshot(const Address &parent)
{
    const ControlHooks &hooks = m_coordinator->hooks();
    HttpRequest message;
    message.method = "POST";
    message.target = "/control/snapshot";
    message.body = encodeSnapshotRequest({m_coordinator->identity().deployment, m_coordinator->identity().node,
                                          hooks.config()->revision(), m_coordinator->identity().region});
    SendOptions options;
    options.timeout = snapshotTimeout;
    const SendResult result = hooks.send(parent, message, options);
    if (result.response.ok() && result.response->status == 200) {
        absl::StatusOr<ConfigState> state = decodeSnapshot(result.response->body);
        if (state.ok()) {
            m_snapshotNeeded = false;
            return m_coordinator->applySnapshot(*std::move(state));
        }
    }
    Milliseconds retryDelay = backoffCap;
    std::uint32_t retryAfterMs = 0;
    if (result.response.ok()
        && absl::SimpleAtoi(result.response->headers.first("Retry-After-Ms").value_or(""), &retryAfterMs))
        retryDelay = std::min(retryDelay, Milliseconds(retryAfterMs));
    m_nextSnapshotRequest = hooks.time.monotonic() + retryDelay;
    m_coordinator->report(LogLevel::Warn, "uplink.snapshot_failed", "dandeliondock_snapshot_retries_total",
                          result.response.ok() ? "refused" : errorKindName(errorKind(result.response.status())));
}

void ParentPoller::sendLeavingPoll()
{
    if (!m_selection.attached())
        return;
    PollRequest request = buildRequest(true);
    request.leaving = true;
    request.hold = Milliseconds(0);
    const auto response = sendPoll(m_selection.parent()->address, request, leavingPollTimeout);
    LogEvent(LogLevel::Info, "uplink.left").field("answered", response.ok()).write(m_coordinator->hooks().log);
}

bool ParentPoller::waitAcknowledged(ChangeCursor cursor, Milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    return m_acknowledgedCondition.wait_for(lock, timeout, [&] { return m_endpointsAcknowledged >= cursor; });
}

void ParentPoller::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopRequested = true;
    }
    m_stopCondition.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

} // namespace dandeliondock
