#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/rollout_control.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

// On a link that is full an answer takes a second and more.
constexpr Milliseconds reportPatience{3'000};

} // namespace

RolloutControl::RolloutControl(RolloutControlDependencies parts) : m_parts(std::move(parts)) {}

bool RolloutControl::isOpen() const
{
    return m_stored && m_stored->rollout && m_stored->rollout->record.state == RolloutState::Running;
}

bool RolloutControl::isDriver() const
{
    return m_versions && m_versions->rollout && m_versions->rollout->driver == m_parts.inboundAddress;
}

void RolloutControl::setRow(const ServiceVersions &versions, RowVersion version)
{
    if (version < m_rowVersion)
        return;
    m_rowVersion = version;
    const bool wasUnannounced = isUnannounced();
    m_stored = versions;
    if (isUnannounced() && !wasUnannounced)
        m_completedAt = EventLoop::now();
    adopt(versions);
    schedule();
}

// A rollback that is known here is not undone by a row that was read before it was written.
void RolloutControl::adopt(const ServiceVersions &versions)
{
    ServiceVersions next = versions;
    if (m_versions && m_versions->rollout && next.rollout
        && m_versions->rollout->record.ticket == next.rollout->record.ticket)
        next.rollout->record = mergeRecords(next.rollout->record, m_versions->rollout->record);
    const bool isNewRollout =
            next.rollout
            && (!m_versions || !m_versions->rollout || m_versions->rollout->record.ticket != next.rollout->record.ticket
                || m_versions->rollout->driver != next.rollout->driver);
    if (isNewRollout) {
        m_lastContact = EventLoop::now();
        m_driver.reset();
        m_window.onParentChanged();
        m_report.cancel();
        m_isReporting = false;
    }
    const bool hasChanged = m_versions != next;
    m_versions = std::move(next);
    if (hasChanged)
        m_parts.onVersions(*m_versions);
}

void RolloutControl::setOrder(const RolloutOrder &order)
{
    if (m_order && m_order->number >= order.number)
        return;
    m_order = order;
    m_orderedAt = m_parts.tableTime();
    m_claimFrom = EventLoop::now() + turn();
    LogEvent(LogLevel::Info, "rollout.ordered")
            .field("service", order.service)
            .field("target", order.target)
            .field("order", order.number)
            .field("duration_ms", order.duration.count())
            .write(m_parts.log);
    schedule();
}

void RolloutControl::record(const AttemptReport &report, TicketNumber rollout)
{
    m_window.record(rollout, report, EventLoop::now());
}

std::string RolloutControl::handleReport(absl::string_view body)
{
    const auto report = decodeOutcomeReport(body);
    if (!report.ok())
        LogEvent(LogLevel::Warn, "rollout.report_refused").error(report.status()).write(m_parts.log);
    else if (report->batch)
        m_window.addChildBatch(report->sender, *report->batch);
    return m_versions ? encodeServiceVersions(*m_versions) : std::string();
}

void RolloutControl::schedule()
{
    const bool hasOpenOrder =
            m_order && m_versions && (!m_versions->rollout || m_versions->rollout->record.ticket < m_order->number);
    if (!isOpen() && !hasOpenOrder && !isUnannounced())
        return;
    m_timer = m_parts.loop->after(rolloutInterval, [this] { tick(); });
}

void RolloutControl::stop()
{
    m_isStopped = true;
    giveUp();
}

void RolloutControl::giveUp()
{
    if (!isDriver() || m_isWriting || (!isOpen() && !isUnannounced()))
        return;
    LogEvent(LogLevel::Info, "rollout.given_up")
            .field("service", m_parts.service)
            .field("order", m_versions->rollout->record.ticket)
            .write(m_parts.log);
    ServiceVersions next = *m_versions;
    next.rollout->driver = Address();
    write(std::move(next), std::nullopt);
}

void RolloutControl::tick()
{
    if (m_isStopped) {
        giveUp();
        schedule();
        return;
    }
    considerClaim();
    if (isOpen() && isDriver())
        drive();
    else if (isOpen())
        sendReport();
    else if (isUnannounced())
        announceCompletion();
    schedule();
}

void RolloutControl::considerClaim()
{
    if (!m_versions || m_isWriting)
        return;
    const MonotonicTime now = EventLoop::now();
    const bool isUnclaimed = m_order && (!m_versions->rollout || m_versions->rollout->record.ticket < m_order->number);
    const bool isAbandoned = isOpen() && !isDriver() && now - m_lastContact > patience();
    if ((isUnclaimed && now >= m_claimFrom) || isAbandoned)
        claim();
}

Milliseconds RolloutControl::turn() const
{
    return driverStagger * static_cast<Milliseconds::rep>(m_parts.rank());
}

Milliseconds RolloutControl::patience() const
{
    const bool wasGivenUp = m_versions->rollout->driver.value().empty();
    return (wasGivenUp ? Milliseconds{0} : driverTimeout) + turn();
}

void RolloutControl::claim()
{
    ServiceVersions next = *m_versions;
    const FencingToken fence(next.rollout ? next.rollout->fence.value() + 1 : 1);
    if (m_order && (!next.rollout || next.rollout->record.ticket < m_order->number)) {
        RolloutProgress progress;
        progress.record = {m_order->number, m_parts.service, StageIndex(0), RolloutState::Running, {}};
        if (m_order->target == next.current)
            progress.record.state = RolloutState::Completed;
        progress.isNotified = progress.record.state == RolloutState::Completed;
        progress.target = m_order->target;
        progress.startedAt = m_orderedAt;
        progress.stageStartedAt = m_parts.tableTime();
        progress.deadline = m_orderedAt + m_order->duration - std::min(noticeReserve, m_order->duration / 2);
        next.rollout = progress;
    }
    next.rollout->driver = m_parts.inboundAddress;
    next.rollout->fence = fence;
    const RolloutState state = next.rollout->record.state;
    const auto silence = m_versions->rollout
                                 ? std::chrono::duration_cast<Milliseconds>(EventLoop::now() - m_lastContact)
                                 : Milliseconds{0};
    LogEvent(LogLevel::Info, "rollout.claimed")
            .field("service", m_parts.service)
            .field("order", next.rollout->record.ticket)
            .field("fence", fence)
            .field("former_driver", m_versions->rollout ? m_versions->rollout->driver.value() : "none")
            .field("silent_ms", silence.count())
            .write(m_parts.log);
    write(std::move(next), state);
}

void RolloutControl::drive()
{
    if (!m_driver)
        m_driver.emplace(definitionOf(*m_versions));
    for (const RouteOutcomes &outcomes : m_window.takeTotals()) {
        if (outcomes.rollout == m_versions->rollout->record.ticket)
            m_driver->recordOutcomes(outcomes);
    }
    DriverInput input;
    input.now = EventLoop::now();
    input.wall = m_parts.tableTime();
    input.leaseFence = m_versions->rollout->fence;
    input.view.storeAvailable = m_parts.isTableCurrent() && !m_isWriting;
    input.view.row = RolloutRow{m_stored->rollout->record, m_stored->rollout->fence};
    input.merged = m_versions->rollout->record;
    input.newTargets = m_parts.servingCount(m_versions->rollout->target);
    input.stageStartedAt = m_stored->rollout->stageStartedAt;
    apply(m_driver->decide(input));
}

void RolloutControl::apply(const DriverDecision &decision)
{
    if (decision.step == DriverStep::Hold)
        return;
    ServiceVersions next = *m_versions;
    if (decision.record.stage != m_stored->rollout->record.stage)
        next.rollout->stageStartedAt = m_parts.tableTime();
    next.rollout->record = decision.record;
    LogEvent(LogLevel::Info, "rollout.decided")
            .field("service", m_parts.service)
            .field("target", next.rollout->target)
            .field("order", decision.record.ticket)
            .field("stage", decision.record.stage)
            .field("state", static_cast<int>(decision.record.state))
            .field("notice", decision.notice)
            .write(m_parts.log);
    if (decision.record.state == RolloutState::Completed)
        next.current = next.rollout->target;
    if (decision.publishFirst)
        adopt(next);
    // The operator is told of a completion later.
    if (decision.record.state == RolloutState::Completed)
        write(next, std::nullopt);
    else
        write(next, decision.record.state);
}

void RolloutControl::write(ServiceVersions next, std::optional<RolloutState> status)
{
    if (m_isWriting)
        return;
    m_isWriting = true;
    TableTransaction transaction;
    transaction.conditions.push_back({m_parts.sharedTable, {serviceRowKey(m_parts.service), m_rowVersion}});
    transaction.writes.push_back({m_parts.sharedTable, {serviceRowKey(m_parts.service), encodeServiceVersions(next)}});
    if (status)
        transaction.writes.push_back(m_parts.documents->status(m_parts.service, next.rollout->target, *status));
    m_parts.table->commit(transaction, [this, next, status](absl::StatusOr<TableCommitResult> result) {
        m_isWriting = false;
        if (!result.ok() || !result->committed) {
            LogEvent event(LogLevel::Info, "rollout.write_failed");
            event.field("service", m_parts.service).field("row_version", m_rowVersion);
            if (!result.ok())
                event.error(result.status());
            event.write(m_parts.log);
            // A rollback that is known here is written again, as the driver repeats the decision.
            schedule();
            return;
        }
        setRow(next, result->version);
    });
}

bool RolloutControl::isUnannounced() const
{
    return m_stored && m_stored->rollout && m_stored->rollout->record.state == RolloutState::Completed
           && !m_stored->rollout->isNotified;
}

// The old targets end at once when the operator is told, so that the notice waits until no proxy sends to them. When
// the driver is gone by then, the others tell the operator in their order.
void RolloutControl::announceCompletion()
{
    const Milliseconds wait = isDriver() ? Milliseconds{0} : patience();
    if (m_isWriting || EventLoop::now() - m_completedAt < completionNotice + wait)
        return;
    ServiceVersions next = *m_versions;
    next.rollout->isNotified = true;
    write(std::move(next), RolloutState::Completed);
}

void RolloutControl::sendReport()
{
    if (m_isReporting || m_versions->rollout->driver.value().empty())
        return;
    m_isReporting = true;
    OutcomeReport report;
    report.sender = {m_parts.node, m_parts.incarnation};
    report.batch = m_window.batch();
    HttpRequest request;
    request.method = "POST";
    request.target = std::string(outcomesPath);
    request.body = encodeOutcomeReport(report);
    AsyncCallOptions options;
    options.deadline = EventLoop::now() + reportPatience;
    m_report = m_parts.client->send(
            m_versions->rollout->driver, request, options,
            [this, sequence = report.batch ? report.batch->sequence : SequenceNumber()](const AsyncCallResult &result) {
                m_isReporting = false;
                reportSent(result, sequence);
            });
}

void RolloutControl::reportSent(const AsyncCallResult &result, SequenceNumber sequence)
{
    if (!result.status.ok() || result.response.status != 200)
        return;
    m_lastContact = EventLoop::now();
    m_window.acknowledge(sequence);
    const auto known = decodeServiceVersions(m_parts.service, result.response.body);
    // The driver may know of a rollback that is not in the table yet.
    if (known.ok() && m_versions && known->rollout && m_versions->rollout
        && known->rollout->record.ticket == m_versions->rollout->record.ticket
        && known->rollout->record.state == RolloutState::RolledBack)
        adopt(*known);
}

} // namespace dandeliondock
