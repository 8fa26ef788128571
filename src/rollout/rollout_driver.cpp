#include <dandeliondock/rollout/rollout_driver.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace dandeliondock {

AnalysisHooks sequentialAnalysis()
{
    const auto comparison = std::make_shared<VersionComparison>();
    AnalysisHooks hooks;
    hooks.add = [comparison](const RouteOutcomes &outcomes) { comparison->add(outcomes); };
    hooks.startStage = [comparison] { comparison->startStage(); };
    hooks.verdict = [comparison] { return comparison->verdict(); };
    hooks.reason = [comparison] { return comparison->reason(); };
    hooks.failureTrend = [comparison](const RouteName &route) { return comparison->failureTrend(route); };
    hooks.newResponses = [comparison] { return comparison->newResponses(); };
    return hooks;
}

RolloutDriver::RolloutDriver(RolloutDefinition definition, AnalysisHooks analysis)
    : m_definition(std::move(definition)), m_analysis(std::move(analysis))
{
}

void RolloutDriver::recordOutcomes(const RouteOutcomes &outcomes)
{
    m_analysis.add(outcomes);
    if (outcomes.guardStops > 0 && !m_guardStopRoute)
        m_guardStopRoute = outcomes.route;
}

DriverDecision RolloutDriver::decide(const DriverInput &input)
{
    if (wasPaused(input.now)) {
        // A later decision then enters the stage again, which discards the evidence for the new version and keeps the
        // evidence against it.
        m_stage.reset();
        return hold("held: the driver was paused and reads again");
    }
    const std::optional<RolloutRow> &row = input.storedRow.row;
    if (input.leaseFence)
        m_lastFence = input.leaseFence;
    if (!m_lastFence || (row && row->fence > *m_lastFence))
        return hold("held: another driver holds the rollout");
    RolloutRecord known{m_definition.ticket, m_definition.service, {}, RolloutState::Running, {}};
    if (row)
        known = mergeRecords(known, row->record);
    if (input.mergedRecord)
        known = mergeRecords(known, *input.mergedRecord);
    if (known.state == RolloutState::RolledBack || shouldRollBack(input.now))
        return rollBack(input, known);
    if (!input.storedRow.storeAvailable)
        return hold(input.wallNow >= m_definition.plan.deadline ? "late, held: store unavailable"
                                                                : "held: store unavailable");
    if (!input.leaseFence)
        return hold("held: the lease is not held");
    if (known.state == RolloutState::Completed)
        return hold("completed");
    if (!row)
        return decisionWithWrite(DriverStep::Advance, known, *input.leaseFence);
    return tryAdvance(input, row->record);
}

bool RolloutDriver::wasPaused(MonotonicTime now)
{
    const bool paused = m_lastDecision && now - *m_lastDecision > maxDecisionGap;
    m_lastDecision = now;
    return paused;
}

bool RolloutDriver::shouldRollBack(MonotonicTime now)
{
    if (m_analysis.verdict() == Verdict::Bad)
        return true;
    if (!m_guardStopRoute)
        return false;
    if (!m_guardStopSeenAt)
        m_guardStopSeenAt = now;
    const Verdict trend = m_analysis.failureTrend(*m_guardStopRoute);
    return trend == Verdict::Bad || (trend != Verdict::Good && now - *m_guardStopSeenAt >= guardStopTimeout);
}

std::string RolloutDriver::rollbackReason() const
{
    if (m_analysis.verdict() == Verdict::Bad)
        return m_analysis.reason();
    return absl::StrCat("route ", m_guardStopRoute->value(), ": nodes saw plain failures of the new version");
}

DriverDecision RolloutDriver::hold(std::string notice) const
{
    DriverDecision decision;
    decision.notice = std::move(notice);
    return decision;
}

DriverDecision RolloutDriver::rollBack(const DriverInput &input, const RolloutRecord &known) const
{
    RolloutRecord record = known;
    if (record.state != RolloutState::RolledBack)
        record.reason = rollbackReason();
    record.state = RolloutState::RolledBack;
    DriverDecision decision;
    decision.step = DriverStep::RollBack;
    decision.record = record;
    decision.publishFirst = true;
    decision.notice = record.reason;
    const bool isWritten = input.storedRow.row && input.storedRow.row->record.state == RolloutState::RolledBack;
    if (input.leaseFence && input.storedRow.storeAvailable && !isWritten)
        decision.write = RolloutRow{record, *input.leaseFence};
    return decision;
}

DriverDecision RolloutDriver::decisionWithWrite(DriverStep step, const RolloutRecord &record, FencingToken fence) const
{
    DriverDecision decision;
    decision.step = step;
    decision.record = record;
    decision.write = RolloutRow{record, fence};
    return decision;
}

void RolloutDriver::enterStage(const DriverInput &input, const RolloutRecord &known)
{
    if (m_stage == known.stage)
        return;
    m_stage = known.stage;
    m_observedSince = input.now;
    m_stageStartWall = std::min(input.stageStartedAt.value_or(input.wallNow), input.wallNow);
    m_stageStart = input.now - (input.wallNow - m_stageStartWall);
    m_analysis.startStage();
}

DriverDecision RolloutDriver::tryAdvance(const DriverInput &input, const RolloutRecord &known)
{
    enterStage(input, known);
    if (input.newTargetCount == 0)
        return hold("held: no target of the new version serves");
    const bool tookOver = m_observedSince - m_stageStart > maxDecisionGap;
    if (tookOver && input.now - m_observedSince < takeoverObservation)
        return hold("held: the driver is new and watches");
    const StagePlan plan(m_definition.plan, input.newTargetCount);
    const StageDurations durations = plan.durations(known.stage, m_stageStartWall);
    if (plan.isLast(known.stage))
        return tryComplete(input, known, durations);
    const auto timeInStage = std::chrono::duration_cast<Milliseconds>(input.now - m_stageStart);
    if (m_guardStopRoute && m_analysis.failureTrend(*m_guardStopRoute) != Verdict::Good)
        return hold("held: nodes stopped their share");
    const bool hasEvidence = m_analysis.verdict() == Verdict::Good && timeInStage >= durations.minimum;
    if (!hasEvidence && timeInStage < durations.maximum)
        return hold("held: the stage needs more evidence");
    RolloutRecord next = known;
    next.stage = StageIndex(known.stage.value() + 1);
    DriverDecision decision = decisionWithWrite(DriverStep::Advance, next, *input.leaseFence);
    decision.notice = hasEvidence ? "evidence is sufficient" : "the deadline allows no longer stage";
    return decision;
}

DriverDecision RolloutDriver::tryComplete(const DriverInput &input, const RolloutRecord &known,
                                          const StageDurations &durations)
{
    const auto observed = std::chrono::duration_cast<Milliseconds>(input.now - m_stageStart);
    if (observed < durations.minimum)
        return hold("held: observing the whole traffic");
    if (m_guardStopRoute && m_analysis.failureTrend(*m_guardStopRoute) != Verdict::Good)
        return hold("held: nodes stopped their share");
    const bool hasEvidence = m_analysis.verdict() == Verdict::Good;
    if (!hasEvidence && observed < durations.maximum)
        return hold("held: the observation needs more evidence");
    RolloutRecord done = known;
    done.state = RolloutState::Completed;
    DriverDecision decision = decisionWithWrite(DriverStep::Complete, done, *input.leaseFence);
    if (!hasEvidence)
        decision.notice = m_analysis.newResponses() == 0 ? "completed at the deadline without traffic"
                                                         : "completed at the deadline without contrary evidence";
    return decision;
}

} // namespace dandeliondock
