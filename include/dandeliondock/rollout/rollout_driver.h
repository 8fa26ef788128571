#pragma once

#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/rollout/rollout_record.h>
#include <dandeliondock/rollout/rollout_table.h>
#include <dandeliondock/rollout/stage_plan.h>
#include <dandeliondock/rollout/version_comparison.h>
#include <dandeliondock/store/row_types.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dandeliondock {

/// \brief Time between two decisions above which the driver counts as paused; shorter than the lease's duration of 6 s.
inline constexpr Seconds maxDecisionGap{2};

/// \brief Hooks of the statistical analysis that judges one rollout; called from the driver's thread only.
struct AnalysisHooks
{
    std::function<void(const RouteOutcomes &)> add;
    std::function<void()> startStage;
    std::function<Verdict()> verdict;
    std::function<std::string()> reason;
    std::function<Verdict(const RouteName &)> failureTrend; ///< of a route, before a verdict is reached
    std::function<std::uint64_t()> newResponses;
};

/// \brief Returns hooks backed by a new VersionComparison, which they own jointly.
[[nodiscard]] AnalysisHooks sequentialAnalysis();

/// \brief Time after which a node's guard stop leads to a rollback although the totals are inconclusive. Nodes that
/// stopped send no more outcomes of the new version, so the totals alone may never lead to a verdict.
inline constexpr Seconds guardStopTimeout{30};

/// \brief Time for which a driver that took over, or was paused, collects outcomes itself before it advances the
/// rollout; long enough for several reports.
inline constexpr Milliseconds takeoverObservation{1'500};

/// \brief Result of reading the rollout's row from the store.
struct StoredRow
{
    bool storeAvailable = false;
    std::optional<RolloutRow> row; ///< empty before the first write
};

/// \brief Input of a decision.
struct DriverInput
{
    MonotonicTime now;
    WallTime wallNow;
    std::optional<FencingToken> leaseFence; ///< fencing token; empty unless the lease is held and has not expired
    StoredRow storedRow;
    std::optional<RolloutRecord> mergedRecord; ///< record merged from the records of other nodes
    std::uint32_t newTargetCount = 0;          ///< number of serving targets of the new version
    std::optional<WallTime> stageStartedAt{};  ///< if empty, the driver uses the time at which it first saw the stage
};

/// \brief What a decision does with the rollout.
enum class DriverStep { Hold, Advance, Complete, RollBack };

/// \brief Decision of the driver, to be carried out by the caller.
struct DriverDecision
{
    DriverStep step = DriverStep::Hold;
    RolloutRecord record;            ///< to be published, unless the step is Hold
    std::optional<RolloutRow> write; ///< to be written if the row and its fence are still those that were read
    bool publishFirst = false;       ///< the record may be published before the write; set for a rollback
    std::string notice;              ///< why the driver holds, or a message for the operator

    bool operator==(const DriverDecision &) const = default;
};

/// \brief Decides when one rollout advances, completes or is rolled back, while this node holds the driver's lease.
///
/// \remark Used by one thread only. Decisions are based on the row that was read, and writes are conditional on that
/// row, so a driver that was paused, or replaced by another one, changes nothing.
class RolloutDriver
{
public:
    explicit RolloutDriver(RolloutDefinition definition, AnalysisHooks analysis = sequentialAnalysis());

    /// \brief Adds summed outcomes of this rollout.
    void recordOutcomes(const RouteOutcomes &outcomes);

    /// \brief Decides on the next step from the input and the outcomes added so far.
    [[nodiscard]] DriverDecision decide(const DriverInput &input);

    [[nodiscard]] const RolloutDefinition &definition() const noexcept { return m_definition; }

private:
    [[nodiscard]] bool wasPaused(MonotonicTime now);
    [[nodiscard]] bool shouldRollBack(MonotonicTime now);
    [[nodiscard]] std::string rollbackReason() const;
    [[nodiscard]] DriverDecision hold(std::string notice) const;
    [[nodiscard]] DriverDecision rollBack(const DriverInput &input, const RolloutRecord &known) const;
    [[nodiscard]] DriverDecision decisionWithWrite(DriverStep step, const RolloutRecord &record,
                                                   FencingToken fence) const;
    [[nodiscard]] DriverDecision tryAdvance(const DriverInput &input, const RolloutRecord &known);
    [[nodiscard]] DriverDecision tryComplete(const DriverInput &input, const RolloutRecord &known,
                                             const StageDurations &durations);
    void enterStage(const DriverInput &input, const RolloutRecord &known);

    RolloutDefinition m_definition;
    AnalysisHooks m_analysis;
    std::optional<RouteName> m_guardStopRoute; ///< first route with a reported guard stop
    std::optional<MonotonicTime> m_guardStopSeenAt;
    std::optional<MonotonicTime> m_lastDecision;
    std::optional<FencingToken> m_lastFence;
    std::optional<StageIndex> m_stage;
    MonotonicTime m_stageStart;    ///< start of the stage; may be before this driver took over
    MonotonicTime m_observedSince; ///< when this driver began to observe the stage
    WallTime m_stageStartWall;     ///< the same start by the wall clock
};

} // namespace dandeliondock
