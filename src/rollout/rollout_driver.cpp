#include <dandeliondock/rollout/rollout_driver.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace dandeliondock {

AnalysisHooks sequentialAnalysis()
{
    const auto test = std::make_shared<VersionComparison>();
    AnalysisHooks rule;
    rule.add = [test](const RouteOutcomes &outcomes) { test->add(outcomes); };
    rule.startStage = [test] { test->startStage(); };
    rule.verdict = [test] { return test->verdict(); };
    rule.reason = [test] { return test->reason(); };
    rule.failureTrend = [test](const RouteName &route) { return test->failureTrend(route); };
    rule.newResponses = [test] { return test->newResponses(); };
    return rule;
}

RolloutDriver::RolloutDriver(RolloutDefinition definition, AnalysisHooks rule)
    : m_definition(std::move(definition)), m_test(std::move(rule))
{
}

void RolloutDriver::recordOutcomes(const RouteOutcomes &outcomes)
{
    m_test.add(outcomes);
    if (outcomes.guardStops > 0 && !m_stoppedRoute)
        m_stoppedRoute = outcomes.route;
}

DriverDecision RolloutDriver::decide(const DriverInput &input)
{
    if (wasFrozen(input.now)) {
        // Evidence for the version is asked for again, evidence against it stays.
        m_stage.reset();
        return hold("held: the driver was paused and reads again");
    }
    const std::optional<RolloutRow> &row = input.view.row;
    if (input.leaseFence)
        m_lastFence = input.leaseFence;
    if (!m_lastFence || (row && row->fence > *m_lastFence))
        return hold("held: another driver holds the rollout");
    RolloutRecord known{m_definition.ticket, m_definition.service, {}, RolloutState::Running, {}};
    if (row)
        known = mergeRecords(known, row->record);
    if (input.merged)
        known = mergeRecords(known, *input.merged);
    if (known.state == RolloutState::RolledBack || isBad(input.now))
        return rollBack(input, known);
    if (!input.view.storeAvailable)
        return hold(input.wall >= m_definition.plan.deadline ? "late, held: store unavailable"
                                                             : "held: store unavailable");
    if (!input.leaseFence)
        return hold("held: the lease is not held");
    if (known.state == RolloutState::Completed)
        return hold("completed");
    if (!row)
        return writeRecord(DriverStep::Advance, known, *input.leaseFence);
    return moveOn(input, row->record);
}

bool RolloutDriver::wasFrozen(MonotonicTime now)
{
    const bool frozen = m_lastDecision && now - *m_lastDecision > maxDecisionGap;
    m_lastDecision = now;
    return frozen;
}

bool RolloutDriver::isBad(MonotonicTime now)
{
    if (m_test.verdict() == Verdict::Bad)
        return true;
    if (!m_stoppedRoute)
        return false;
    if (!m_stoppedSince)
        m_stoppedSince = now;
    const Verdict failureTrend = m_test.failureTrend(*m_stoppedRoute);
    return failureTrend == Verdict::Bad || (failureTrend != Verdict::Good && now - *m_stoppedSince >= guardStopTimeout);
}

std::string RolloutDriver::badReason() const
{
    if (m_test.verdict() == Verdict::Bad)
        return m_test.reason();
    return absl::StrCat("route ", m_stoppedRoute->value(), ": nodes saw plain failures of the new version");
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
        record.reason = badReason();
    record.state = RolloutState::RolledBack;
    DriverDecision decision;
    decision.step = DriverStep::RollBack;
    decision.record = record;
    decision.publishFirst = true;
    decision.notice = record.reason;
    const bool isWritten = input.view.row && input.view.row->record.state == RolloutState::RolledBack;
    if (input.leaseFence && input.view.storeAvailable && !isWritten)
        decision.write = RolloutRow{record, *input.leaseFence};
    return decision;
}

DriverDecision RolloutDriver::writeRecord(DriverStep step, const RolloutRecord &record, FencingToken fence) const
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
    m_watched = input.now;
    m_enteredWall = std::min(input.stageStartedAt.value_or(input.wall), input.wall);
    m_entered = input.now - (input.wall - m_enteredWall);
    m_test.startStage();
}

DriverDecision RolloutDriver::moveOn(const DriverInput &input, const RolloutRecord &known)
{
    enterStage(input, known);
    if (input.newTargets == 0)
        return hold("held: no target of the new version serves");
    const bool tookOver = m_watched - m_entered > maxDecisionGap;
    if (tookOver && input.now - m_watched < takeoverObservation)
        return hold("held: the driver is new and watches");
    const StagePlan plan(m_definition.plan, input.newTargets);
    const StageDurations times = plan.times(known.stage, m_enteredWall);
    if (plan.isLast(known.stage))
        return finish(input, known, times);
    const auto inStage = std::chrono::duration_cast<Milliseconds>(input.now - m_entered);
    if (m_stoppedRoute && m_test.failureTrend(*m_stoppedRoute) != Verdict::Good)
        return hold("held: nodes stopped their share");
    const bool hasEvidence = m_test.verdict() == Verdict::Good && inStage >= times.earliest;
    if (!hasEvidence && inStage < times.latest)
        return hold("held: the stage needs more evidence");
    RolloutRecord next = known;
    next.stage = StageIndex(known.stage.value() + 1);
    DriverDecision decision = writeRecord(DriverStep::Advance, next, *input.leaseFence);
    decision.notice = hasEvidence ? "evidence is sufficient" : "the deadline allows no longer stage";
    return decision;
}

DriverDecision RolloutDriver::finish(const DriverInput &input, const RolloutRecord &known, const StageDurations &times)
{
    const auto observed = std::chrono::duration_cast<Milliseconds>(input.now - m_entered);
    if (observed < times.earliest)
        return hold("held: observing the whole traffic");
    if (m_stoppedRoute && m_test.failureTrend(*m_stoppedRoute) != Verdict::Good)
        return hold("held: nodes stopped their share");
    const bool hasEvidence = m_test.verdict() == Verdict::Good;
    if (!hasEvidence && observed < times.latest)
        return hold("held: the observation needs more evidence");
    RolloutRecord done = known;
    done.state = RolloutState::Completed;
    DriverDecision decision = writeRecord(DriverStep::Complete, done, *input.leaseFence);
    if (!hasEvidence)
        decision.notice = m_test.newResponses() == 0 ? "completed at the deadline without traffic"
                                                     : "completed at the deadline without contrary evidence";
    return decision;
}

} // namespace dandeliondock
