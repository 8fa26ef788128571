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

/// \brief Longest time between two decisions after which the driver counts as frozen; below the lease's term of 6 s.
inline constexpr Seconds maxDecisionGap{2};

/// \brief The rule that judges the evidence of one rollout; its hooks are called from the driver's thread only.
struct AnalysisHooks
{
    std::function<void(const RouteOutcomes &)> add;
    std::function<void()> startStage;
    std::function<Verdict()> verdict;
    std::function<std::string()> reason;
    std::function<Verdict(const RouteName &)> failureTrend; ///< short of a verdict
    std::function<std::uint64_t()> newResponses;
};

/// \brief A new VersionComparison behind hooks; the hooks share its ownership.
[[nodiscard]] AnalysisHooks sequentialAnalysis();

/// \brief Time after which a node's stop counts against the version although the sums do not lean against it. Nodes
/// that stopped send no more outcomes of the new version, so the sums alone may never decide.
inline constexpr Seconds guardStopTimeout{30};

/// \brief Time for which a driver that took over, or was paused, watches the outcomes itself before it moves on.
/// Reports come several times in it.
inline constexpr Milliseconds takeoverObservation{1'500};

/// \brief What the store said of the row.
struct StoredRow
{
    bool storeAvailable = false;
    std::optional<RolloutRow> row; ///< empty before the first write
};

/// \brief What a decision depends on.
struct DriverInput
{
    MonotonicTime now;
    WallTime wall;
    std::optional<FencingToken> leaseFence; ///< empty unless the lease is held and current
    StoredRow view;
    std::optional<RolloutRecord> merged; ///< what the tree knows
    std::uint32_t newTargets = 0;
    std::optional<WallTime> stageStartedAt{}; ///< when the stage began; empty: when this driver first saw it
};

enum class DriverStep { Hold, Advance, Complete, RollBack };

/// \brief What the driver wants done.
struct DriverDecision
{
    DriverStep step = DriverStep::Hold;
    RolloutRecord record;            ///< to be published, except after Hold
    std::optional<RolloutRow> write; ///< to be written on condition of the row and fence that were read
    bool publishFirst = false;       ///< the record is valid without the write; set for a rollback
    std::string notice;              ///< why it holds, or what the operator is to be told

    bool operator==(const DriverDecision &) const = default;
};

/// \brief Decides one rollout while this node holds the driver's lease.
///
/// \remark Belongs to one thread. It decides on the row that was read, and its writes are conditional on that row, so
/// one that was frozen or has a rival changes nothing.
class RolloutDriver
{
public:
    explicit RolloutDriver(RolloutDefinition definition, AnalysisHooks rule = sequentialAnalysis());

    /// \brief Takes summed outcomes of this rollout.
    void recordOutcomes(const RouteOutcomes &outcomes);

    [[nodiscard]] DriverDecision decide(const DriverInput &input);

    [[nodiscard]] const RolloutDefinition &definition() const noexcept { return m_definition; }

private:
    [[nodiscard]] bool wasFrozen(MonotonicTime now);
    [[nodiscard]] bool isBad(MonotonicTime now);
    [[nodiscard]] std::string badReason() const;
    [[nodiscard]] DriverDecision hold(std::string notice) const;
    [[nodiscard]] DriverDecision rollBack(const DriverInput &input, const RolloutRecord &known) const;
    [[nodiscard]] DriverDecision writeRecord(DriverStep step, const RolloutRecord &record, FencingToken fence) const;
    [[nodiscard]] DriverDecision moveOn(const DriverInput &input, const RolloutRecord &known);
    [[nodiscard]] DriverDecision finish(const DriverInput &input, const RolloutRecord &known,
                                        const StageDurations &times);
    void enterStage(const DriverInput &input, const RolloutRecord &known);

    RolloutDefinition m_definition;
    AnalysisHooks m_test;
    std::optional<RouteName> m_stoppedRoute;
    std::optional<MonotonicTime> m_stoppedSince;
    std::optional<MonotonicTime> m_lastDecision;
    std::optional<FencingToken> m_lastFence;
    std::optional<StageIndex> m_stage;
    MonotonicTime m_entered; ///< the stage began
    MonotonicTime m_watched; ///< this driver began to watch the stage
    WallTime m_enteredWall;
};

} // namespace dandeliondock
