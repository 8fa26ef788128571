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
    Share share;          ///< of the requests
    Share newTargetShare; ///< part of the new version's targets that carry the share

    bool operator==(const Stage &) const = default;
};

/// \brief When a stage may be left.
struct StageDurations
{
    Milliseconds earliest{0}; ///< after entering the stage; with sufficient evidence
    Milliseconds latest{0};   ///< after entering the stage; without contrary evidence

    bool operator==(const StageDurations &) const = default;
};

/// \brief Share of the default plan's first stage.
inline constexpr Share canaryShare{100};
/// \brief Traffic that stays on the old version until completion, so that a fault of both sides can be told apart.
inline constexpr Share controlShare{200};
/// \brief Shortest time in a stage, also when the deadline is near.
inline constexpr Milliseconds stageMinimum{3'000};

/// \brief The stages of a rollout and their times against the deadline.
///
/// \remark Immutable; const methods are thread-safe.
class StagePlan
{
public:
    /// \brief Makes the plan of a ticket; its explicit shares override the default stages.
    ///
    /// \remark A node whose view of \c newTargets differs gets other shares for an index; indices past the last stage
    /// mean the last stage.
    StagePlan(const RolloutPlan &plan, std::uint32_t newTargets);

    [[nodiscard]] const std::vector<Stage> &stages() const noexcept { return m_stages; }

    /// \brief The stage of an index, limited to the last one.
    [[nodiscard]] const Stage &stage(StageIndex index) const;

    [[nodiscard]] bool isLast(StageIndex index) const noexcept { return index.value() + 1 >= m_stages.size(); }

    /// \brief When a stage entered at \c entered may be left. The time left until the deadline less the observation
    /// period is divided evenly among the remaining stages, so a new driver needs only the stage in the store.
    [[nodiscard]] StageDurations times(StageIndex index, WallTime entered) const;

    [[nodiscard]] WallTime deadline() const noexcept { return m_deadline; }

    [[nodiscard]] Milliseconds observation() const noexcept { return m_observation; }

private:
    std::vector<Stage> m_stages;
    WallTime m_deadline;
    Milliseconds m_observation;
};

} // namespace dandeliondock
