#pragma once

#include <dandeliondock/config/resources.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/rollout/rollout_record.h>

#include <cstdint>
#include <vector>

namespace dandeliondock {

/// \brief One stage of a rollout.
struct Stage
{
    Share share;          ///< of the requests, sent to the new version
    Share newTargetShare; ///< share of the new version's targets that receive these requests

    bool operator==(const Stage &) const = default;
};

/// \brief How long a rollout stays in a stage, counted from its start.
struct StageDurations
{
    Milliseconds minimum{0}; ///< with sufficient evidence for the new version
    Milliseconds maximum{0}; ///< without evidence against the new version

    bool operator==(const StageDurations &) const = default;
};

/// \brief Share of the requests in the first stage of the default plan.
inline constexpr Share canaryShare{100};
/// \brief Share of the traffic that stays on the old version until completion, so that a fault shared by both versions
/// can be distinguished from a fault of the new one.
inline constexpr Share controlShare{200};
/// \brief Minimum time in a stage, also when the deadline is near.
inline constexpr Milliseconds minStageDuration{3'000};

/// \brief The stages of a rollout and how long each lasts so that the deadline is met.
///
/// \remark Immutable; const methods are thread-safe.
class StagePlan
{
public:
    /// \brief Builds the stages of a ticket's plan; explicit shares in the plan replace the default stages.
    ///
    /// \remark Nodes that know a different number of \c newTargets get different shares for the same index; an index
    /// past the last stage means the last stage.
    StagePlan(const RolloutPlan &plan, std::uint32_t newTargets);

    [[nodiscard]] const std::vector<Stage> &stages() const noexcept { return m_stages; }

    /// \brief Returns the stage with an index; the last stage for a higher index.
    [[nodiscard]] const Stage &stage(StageIndex index) const;

    [[nodiscard]] bool isLast(StageIndex index) const noexcept { return index.value() + 1 >= m_stages.size(); }

    /// \brief Returns the durations of a stage that began at \c stageStart. The time from then until the deadline, less
    /// the observation period, is divided evenly among the remaining stages, so a new driver needs only the stage in
    /// the store.
    [[nodiscard]] StageDurations durations(StageIndex index, WallTime stageStart) const;

    [[nodiscard]] WallTime deadline() const noexcept { return m_deadline; }

    [[nodiscard]] Milliseconds observation() const noexcept { return m_observation; }

private:
    std::vector<Stage> m_stages;
    WallTime m_deadline;
    Milliseconds m_observation;
};

} // namespace dandeliondock
