#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/rollout_control.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

// On a saturated link a response takes a second or more.
constexpr Milliseconds reportTimeout{3'000};

} // namespace

RolloutControl::RolloutControl(RolloutControlDependencies dependencies) : m_dependencies(std::move(dependencies)) {}

bool RolloutControl::isRolloutRunning() const
{
    return m_storedVersions && m_storedVersions->rollout
           && m_storedVersions->rollout->record.state == RolloutState::Running;
}

bool RolloutControl::isDriver() const
{
    return m_knownVersions && m_knownVersions->rollout
           && m_knownVersions->rollout->driver == m_dependencies.inboundAddress;
}

void RolloutControl::setRow(const ServiceVersions &versions, RowVersion version)
{
    if (version < m_rowVersion)
        return;
    m_rowVersion = version;
    const bool neededCompletionNotice = needsCompletionNotice();
    m_storedVersions = versions;
    if (needsCompletionNotice() && !neededCompletionNotice)
        m_completionSeenAt = EventLoop::now();
    updateKnownVersions(versions);
    scheduleTick();
}

// A row that was read before a known rollback was written does not undo that rollback.
void RolloutControl::updateKnownVersions(const ServiceVersions &versions)
{
    ServiceVersions next = versions;
    if (m_knownVersions && m_knownVersions->rollout && next.rollout
        && m_knownVersions->rollout->record.ticket == next.rollout->record.ticket)
        next.rollout->record = mergeRecords(next.rollout->record, m_knownVersions->rollout->record);
    const bool isNewRolloutOrDriver = next.rollout
                                      && (!m_knownVersions || !m_knownVersions->rollout
                                          || m_knownVersions->rollout->record.ticket != next.rollout->record.ticket
                                          || m_knownVersions->rollout->driver != next.rollout->driver);
    if (isNewRolloutOrDriver) {
        m_lastDriverContact = EventLoop::now();
        m_driver.reset();
        m_outcomes.onParentChanged();
        m_reportCall.cancel();
        m_isReporting = false;
    }
    const bool hasChanged = m_knownVersions != next;
    m_knownVersions = std::move(next);
    if (hasChanged)
        m_dependencies.onVersions(*m_knownVersions);
}

void RolloutControl::setOrder(const RolloutOrder &order)
{
    if (m_order && m_order->number >= order.number)
        return;
    m_order = order;
    m_orderReadAt = m_dependencies.tableTime();
    m_earliestClaim = EventLoop::now() + claimDelay();
    LogEvent(LogLevel::Info, "rollout.ordered")
            .field("service", order.service)
            .field("target", order.target)
            .field("order", order.number)
            .field("duration_ms", order.duration.count())
            .write(m_dependencies.log);
    scheduleTick();
}

void RolloutControl::record(const AttemptReport &report, TicketNumber rollout)
{
    m_outcomes.record(rollout, report, EventLoop::now());
}

std::string RolloutControl::handleReport(absl::string_view body)
{
    const auto report = decodeOutcomeReport(body);
    if (!report.ok())
        LogEvent(LogLevel::Warn, "rollout.report_refused").error(report.status()).write(m_dependencies.log);
    else if (report->batch)
        m_outcomes.addChildBatch(report->sender, *report->batch);
    return m_knownVersions ? encodeServiceVersions(*m_knownVersions) : std::string();
}

void RolloutControl::scheduleTick()
{
    const bool hasPendingOrder =
            m_order && m_knownVersions
            && (!m_knownVersions->rollout || m_knownVersions->rollout->record.ticket < m_order->number);
    if (!isRolloutRunning() && !hasPendingOrder && !needsCompletionNotice())
        return;
    m_tickTimer = m_dependencies.loop->after(rolloutInterval, [this] { tick(); });
}

void RolloutControl::stop()
{
    m_isStopped = true;
    releaseRollout();
}

void RolloutControl::releaseRollout()
{
    if (!isDriver() || m_isWriting || (!isRolloutRunning() && !needsCompletionNotice()))
        return;
    LogEvent(LogLevel::Info, "rollout.given_up")
            .field("service", m_dependencies.service)
            .field("order", m_knownVersions->rollout->record.ticket)
            .write(m_dependencies.log);
    ServiceVersions next = *m_knownVersions;
    next.rollout->driver = Address();
    writeRow(std::move(next), std::nullopt);
}

void RolloutControl::tick()
{
    if (m_isStopped) {
        releaseRollout();
        scheduleTick();
        return;
    }
    claimIfDue();
    if (isRolloutRunning() && isDriver())
        runDriver();
    else if (isRolloutRunning())
        sendReport();
    else if (needsCompletionNotice())
        sendCompletionNotice();
    scheduleTick();
}

void RolloutControl::claimIfDue()
{
    if (!m_knownVersions || m_isWriting)
        return;
    const MonotonicTime now = EventLoop::now();
    const bool isOrderUnclaimed =
            m_order && (!m_knownVersions->rollout || m_knownVersions->rollout->record.ticket < m_order->number);
    const bool isDriverGone = isRolloutRunning() && !isDriver() && now - m_lastDriverContact > takeoverDelay();
    if ((isOrderUnclaimed && now >= m_earliestClaim) || isDriverGone)
        claim();
}

Milliseconds RolloutControl::claimDelay() const
{
    const std::size_t rank = m_dependencies.rank();
    const auto staggered = static_cast<Milliseconds::rep>(std::min(rank, staggeredClaims));
    const auto others = static_cast<Milliseconds::rep>(rank) - staggered;
    return driverStagger * staggered + std::min(lateClaimStagger * others, maxLateClaimStagger);
}

Milliseconds RolloutControl::takeoverDelay() const
{
    const bool wasReleased = m_knownVersions->rollout->driver.value().empty();
    return (wasReleased ? Milliseconds{0} : driverTimeout) + claimDelay();
}

void RolloutControl::claim()
{
    ServiceVersions next = *m_knownVersions;
    const FencingToken fence(next.rollout ? next.rollout->fence.value() + 1 : 1);
    if (m_order && (!next.rollout || next.rollout->record.ticket < m_order->number)) {
        RolloutProgress progress;
        progress.record = {m_order->number, m_dependencies.service, StageIndex(0), RolloutState::Running, {}};
        if (m_order->target == next.current)
            progress.record.state = RolloutState::Completed;
        progress.isNotified = progress.record.state == RolloutState::Completed;
        progress.target = m_order->target;
        progress.startedAt = m_orderReadAt;
        progress.stageStartedAt = m_dependencies.tableTime();
        progress.deadline = m_orderReadAt + m_order->duration - std::min(noticeReserve, m_order->duration / 2);
        next.rollout = progress;
    }
    next.rollout->driver = m_dependencies.inboundAddress;
    next.rollout->fence = fence;
    const RolloutState state = next.rollout->record.state;
    const auto sinceContact = m_knownVersions->rollout
                                      ? std::chrono::duration_cast<Milliseconds>(EventLoop::now() - m_lastDriverContact)
                                      : Milliseconds{0};
    LogEvent(LogLevel::Info, "rollout.claimed")
            .field("service", m_dependencies.service)
            .field("order", next.rollout->record.ticket)
            .field("fence", fence)
            .field("former_driver", m_knownVersions->rollout ? m_knownVersions->rollout->driver.value() : "none")
            .field("silent_ms", sinceContact.count())
            .write(m_dependencies.log);
    writeRow(std::move(next), state);
}

void RolloutControl::runDriver()
{
    const std::uint32_t newTargets = m_dependencies.servingCount(m_knownVersions->rollout->target);
    if (!m_driver)
        m_driver.emplace(rolloutDefinition(*m_knownVersions, newTargets));
    for (const RouteOutcomes &outcomes : m_outcomes.takeTotals()) {
        if (outcomes.rollout == m_knownVersions->rollout->record.ticket)
            m_driver->recordOutcomes(outcomes);
    }
    DriverInput input;
    input.now = EventLoop::now();
    input.wallNow = m_dependencies.tableTime();
    input.leaseFence = m_knownVersions->rollout->fence;
    input.storedRow.storeAvailable = m_dependencies.isTableCurrent() && !m_isWriting;
    input.storedRow.row = RolloutRow{m_storedVersions->rollout->record, m_storedVersions->rollout->fence};
    input.mergedRecord = m_knownVersions->rollout->record;
    input.newTargetCount = newTargets;
    input.stageStartedAt = m_storedVersions->rollout->stageStartedAt;
    applyDecision(m_driver->decide(input));
}

void RolloutControl::applyDecision(const DriverDecision &decision)
{
    if (decision.step == DriverStep::Hold)
        return;
    ServiceVersions next = *m_knownVersions;
    if (decision.record.stage != m_storedVersions->rollout->record.stage)
        next.rollout->stageStartedAt = m_dependencies.tableTime();
    next.rollout->record = decision.record;
    LogEvent(LogLevel::Info, "rollout.decided")
            .field("service", m_dependencies.service)
            .field("target", next.rollout->target)
            .field("order", decision.record.ticket)
            .field("stage", decision.record.stage)
            .field("state", static_cast<int>(decision.record.state))
            .field("notice", decision.notice)
            .write(m_dependencies.log);
    if (decision.record.state == RolloutState::Completed)
        next.current = next.rollout->target;
    if (decision.publishFirst)
        updateKnownVersions(next);
    // The operator is notified of a completion later, by sendCompletionNotice().
    if (decision.record.state == RolloutState::Completed)
        writeRow(next, std::nullopt);
    else
        writeRow(next, decision.record.state);
}

void RolloutControl::writeRow(ServiceVersions next, std::optional<RolloutState> operatorStatus)
{
    if (m_isWriting)
        return;
    m_isWriting = true;
    TableTransaction transaction;
    transaction.conditions.push_back(
            {m_dependencies.sharedTable, {serviceRowKey(m_dependencies.service), m_rowVersion}});
    transaction.writes.push_back(
            {m_dependencies.sharedTable, {serviceRowKey(m_dependencies.service), encodeServiceVersions(next)}});
    if (operatorStatus)
        transaction.writes.push_back(
                m_dependencies.documents->status(m_dependencies.service, next.rollout->target, *operatorStatus));
    m_dependencies.table->commit(transaction, [this, next, operatorStatus](absl::StatusOr<TableCommitResult> result) {
        m_isWriting = false;
        if (!result.ok() || !result->committed) {
            LogEvent event(LogLevel::Info, "rollout.write_failed");
            event.field("service", m_dependencies.service).field("row_version", m_rowVersion);
            if (!result.ok())
                event.error(result.status());
            event.write(m_dependencies.log);
            // A known rollback is written again, because the driver repeats its decision.
            scheduleTick();
            return;
        }
        setRow(next, result->version);
    });
}

bool RolloutControl::needsCompletionNotice() const
{
    return m_storedVersions && m_storedVersions->rollout
           && m_storedVersions->rollout->record.state == RolloutState::Completed
           && !m_storedVersions->rollout->isNotified;
}

// The old targets stop as soon as the operator is notified, so the notice waits until no proxy sends requests to them.
// When the driver is gone by then, the other proxies send the notice, in the order of their ranks.
void RolloutControl::sendCompletionNotice()
{
    const Milliseconds extraDelay = isDriver() ? Milliseconds{0} : takeoverDelay();
    if (m_isWriting || EventLoop::now() - m_completionSeenAt < completionNoticeDelay + extraDelay)
        return;
    ServiceVersions next = *m_knownVersions;
    next.rollout->isNotified = true;
    writeRow(std::move(next), RolloutState::Completed);
}

void RolloutControl::sendReport()
{
    if (m_isReporting || m_knownVersions->rollout->driver.value().empty())
        return;
    m_isReporting = true;
    OutcomeReport report;
    report.sender = {m_dependencies.node, m_dependencies.incarnation};
    report.batch = m_outcomes.batch();
    HttpRequest request;
    request.method = "POST";
    request.target = std::string(outcomesPath);
    request.body = encodeOutcomeReport(report);
    AsyncCallOptions options;
    options.deadline = EventLoop::now() + reportTimeout;
    m_reportCall = m_dependencies.client->send(
            m_knownVersions->rollout->driver, request, options,
            [this, sequence = report.batch ? report.batch->sequence : SequenceNumber()](const AsyncCallResult &result) {
                m_isReporting = false;
                handleReportResult(result, sequence);
            });
}

void RolloutControl::handleReportResult(const AsyncCallResult &result, SequenceNumber sequence)
{
    if (!result.status.ok() || result.response.status != 200)
        return;
    m_lastDriverContact = EventLoop::now();
    m_outcomes.acknowledge(sequence);
    const auto driverVersions = decodeServiceVersions(m_dependencies.service, result.response.body);
    // The driver may know of a rollback that is not stored in the table yet.
    if (driverVersions.ok() && m_knownVersions && driverVersions->rollout && m_knownVersions->rollout
        && driverVersions->rollout->record.ticket == m_knownVersions->rollout->record.ticket
        && driverVersions->rollout->record.state == RolloutState::RolledBack)
        updateKnownVersions(*driverVersions);
}

} // namespace dandeliondock
