#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/peer_message.h>
#include <dandeliondock/proxy/rollout_control.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

// On a saturated link a response takes a second or more.
constexpr Milliseconds reportTimeout{3'000};
// Orders that are remembered to recognise them in an older copy of the table, which is some seconds old.
constexpr std::size_t maxEarlierOrders = 16;

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

void RolloutControl::setRow(const ServiceVersions &versions, const TableVersion &version)
{
    if (version < m_rowVersion)
        return;
    const bool isOtherEra = version.era != m_rowVersion.era || m_restoreAt;
    m_rowVersion = version;
    if (isOtherEra && m_knownVersions && isBehind(versions, *m_knownVersions)) {
        scheduleRestore();
        return;
    }
    m_restoreAt.reset();
    const bool neededCompletionNotice = needsCompletionNotice();
    m_storedVersions = versions;
    if (needsCompletionNotice() && !neededCompletionNotice)
        m_completionSeenAt = EventLoop::now();
    updateKnownVersions(versions);
    scheduleTick();
}

void RolloutControl::handleRowAbsent(const TableVersion &asOfVersion)
{
    if (!m_knownVersions || m_rowVersion.isAbsent() || asOfVersion < m_rowVersion)
        return;
    m_rowVersion = {asOfVersion.era, RowVersion()};
    scheduleRestore();
}

// The driver writes first, because it knows of decisions that the others do not know yet.
void RolloutControl::scheduleRestore()
{
    if (!m_restoreAt) {
        m_restoreAt = EventLoop::now() + (isDriver() ? Milliseconds{0} : driverStagger + claimDelay());
        LogEvent(LogLevel::Warn, "rollout.row_lost")
                .field("service", m_dependencies.service)
                .field("row_version", m_rowVersion)
                .field("order", m_knownVersions->rollout ? m_knownVersions->rollout->record.ticket : TicketNumber())
                .write(m_dependencies.log);
    }
    scheduleTick();
}

void RolloutControl::restoreRow()
{
    if (m_isWriting || EventLoop::now() < *m_restoreAt)
        return;
    std::optional<RolloutState> operatorStatus;
    if (m_knownVersions->rollout) {
        const RolloutProgress &rollout = *m_knownVersions->rollout;
        if (rollout.record.state != RolloutState::Completed || rollout.isNotified)
            operatorStatus = rollout.record.state;
    }
    writeRow(*m_knownVersions, operatorStatus);
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
    if (m_order && m_latestOrderNumber >= order.number)
        return;
    m_latestOrderNumber = order.number;
    const StoreEra era = orderVersion(order.number).era;
    if (m_orderEraSeenAt == MonotonicTime() || era > m_orderEra) {
        m_orderEra = era;
        m_orderEraSeenAt = EventLoop::now();
    }
    if (isKnownOrder(order)) {
        LogEvent(LogLevel::Info, "rollout.order_known")
                .field("service", order.service)
                .field("target", order.target)
                .field("order", order.number)
                .write(m_dependencies.log);
        return;
    }
    m_isOrderRewritten = EventLoop::now() - m_orderEraSeenAt < orderRewriteTime;
    m_earlierOrders.push_back(order);
    if (m_earlierOrders.size() > maxEarlierOrders)
        m_earlierOrders.pop_front();
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

bool RolloutControl::isKnownOrder(const RolloutOrder &order) const
{
    const TableVersion version = orderVersion(order.number);
    const bool mayBeRewritten = EventLoop::now() - m_orderEraSeenAt < orderRewriteTime;
    return std::any_of(m_earlierOrders.begin(), m_earlierOrders.end(), [&](const RolloutOrder &earlier) {
        const TableVersion earlierVersion = orderVersion(earlier.number);
        const bool isSameRow = earlierVersion.version == version.version;
        return earlierVersion.era < version.era && earlier.target == order.target && (isSameRow || mayBeRewritten);
    });
}

// A process that started after the table came back from an older copy knows no earlier order: the rollout in the
// service's row tells which version the operator had ordered.
bool RolloutControl::isOrderPending() const
{
    if (!m_order || !m_knownVersions)
        return false;
    const std::optional<RolloutProgress> &rollout = m_knownVersions->rollout;
    if (!rollout)
        return true;
    const bool isOfEarlierEra = orderVersion(rollout->record.ticket).era < orderVersion(m_order->number).era;
    if (isOfEarlierEra && m_isOrderRewritten && rollout->target == m_order->target)
        return false;
    return rollout->record.ticket < m_order->number;
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
    if (!isRolloutRunning() && !isOrderPending() && !needsCompletionNotice() && !m_restoreAt)
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
    if (m_restoreAt) {
        restoreRow();
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
    const bool isDriverGone = isRolloutRunning() && !isDriver() && now - m_lastDriverContact > takeoverDelay();
    if ((isOrderPending() && now >= m_earliestClaim) || isDriverGone)
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
    if (isOrderPending()) {
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
    transaction.conditions.push_back({m_dependencies.sharedTable, serviceRowKey(m_dependencies.service), m_rowVersion});
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
    AsyncCallOptions options;
    options.deadline = EventLoop::now() + reportTimeout;
    m_reportCall = m_dependencies.client->send(
            m_knownVersions->rollout->driver,
            encodePeerMessage(PeerMessageKind::OutcomeReport, encodeOutcomeReport(report)), options,
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
