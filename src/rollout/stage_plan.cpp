#include <dandeliondock/rollout/stage_plan.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr std::uint32_t fullShareValue = fullShare.value();
constexpr std::uint32_t highestDefaultShare = 9'000; // a stage above it would hardly differ from the last stage
constexpr std::uint32_t canaryGrowthFactor = 5;
constexpr Milliseconds completionReserve{2'000}; // time for the conditional write of the completion
// Bounds of a stage's duration, in percent of an even division of the remaining time among the stages.
constexpr int maximumPercent = 90; // the rest covers a change of the driver and the delay of evidence
constexpr int minimumPercent = 45; // good evidence may halve the duration of a stage

std::uint32_t shareForOneTarget(std::uint32_t newTargets)
{
    return std::max(canaryShare.value(), fullShareValue / std::max(newTargets, 1U));
}

std::vector<std::uint32_t> defaultShares(std::uint32_t newTargets)
{
    const std::uint32_t singleTargetShare = shareForOneTarget(newTargets);
    std::vector<std::uint32_t> shares;
    for (std::uint32_t share = canaryShare.value(); share * 2 <= singleTargetShare; share *= canaryGrowthFactor)
        shares.push_back(share);
    if (shares.empty() && singleTargetShare > canaryShare.value())
        shares.push_back(canaryShare.value());
    for (std::uint32_t share = singleTargetShare; share < highestDefaultShare; share *= 2)
        shares.push_back(share);
    shares.push_back(fullShareValue);
    return shares;
}

std::vector<std::uint32_t> explicitShares(const std::vector<Share> &stageShares)
{
    std::vector<std::uint32_t> shares;
    shares.reserve(stageShares.size() + 1);
    for (const Share share : stageShares)
        shares.push_back(std::min(share.value(), fullShareValue));
    if (shares.back() < fullShareValue)
        shares.push_back(fullShareValue);
    return shares;
}

} // namespace

StagePlan::StagePlan(const RolloutPlan &plan, std::uint32_t newTargets)
    : m_deadline(plan.deadline), m_observation(plan.observation)
{
    const std::vector<std::uint32_t> shares =
            plan.stageShares.empty() ? defaultShares(newTargets) : explicitShares(plan.stageShares);
    for (const std::uint32_t share : shares)
        m_stages.push_back({Share(std::min(share, fullShareValue - controlShare.value())), Share(share)});
}

const Stage &StagePlan::stage(StageIndex index) const
{
    return m_stages[std::min<std::size_t>(index.value(), m_stages.size() - 1)];
}

StageDurations StagePlan::durations(StageIndex index, WallTime stageStart) const
{
    if (isLast(index))
        return {m_observation, std::max(m_observation, Milliseconds(m_deadline - stageStart - completionReserve))};
    const Milliseconds available = m_deadline - m_observation - stageStart;
    const auto remainingStages = static_cast<Milliseconds::rep>(m_stages.size() - 1 - index.value());
    const Milliseconds evenDuration = available / remainingStages;
    return {std::max(minStageDuration, evenDuration * minimumPercent / 100),
            std::max(minStageDuration, evenDuration * maximumPercent / 100)};
}

} // namespace dandeliondock
