#include <dandeliondock/rollout/stage_plan.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr std::uint32_t whole = fullShare.value();
constexpr std::uint32_t nearWhole = 9'000; // a stage above it would hardly differ from the last one
constexpr std::uint32_t riseToOneTarget = 5;
constexpr Milliseconds completionReserve{2'000}; // for the conditional write of the completion
constexpr int latestPercent = 90;                // the rest covers the change of the driver and the transit of evidence
constexpr int earliestPercent = 45;              // good evidence may halve the time of a stage

std::uint32_t oneTargetShare(std::uint32_t newTargets)
{
    return std::max(canaryShare.value(), whole / std::max(newTargets, 1U));
}

std::vector<std::uint32_t> doublingShares(std::uint32_t newTargets)
{
    const std::uint32_t oneTarget = oneTargetShare(newTargets);
    std::vector<std::uint32_t> shares;
    for (std::uint32_t share = canaryShare.value(); share * 2 <= oneTarget; share *= riseToOneTarget)
        shares.push_back(share);
    if (shares.empty() && oneTarget > canaryShare.value())
        shares.push_back(canaryShare.value());
    for (std::uint32_t share = oneTarget; share < nearWhole; share *= 2)
        shares.push_back(share);
    shares.push_back(whole);
    return shares;
}

std::vector<std::uint32_t> explicitShares(const std::vector<Share> &given)
{
    std::vector<std::uint32_t> shares;
    shares.reserve(given.size() + 1);
    for (const Share share : given)
        shares.push_back(std::min(share.value(), whole));
    if (shares.back() < whole)
        shares.push_back(whole);
    return shares;
}

} // namespace

StagePlan::StagePlan(const RolloutPlan &plan, std::uint32_t newTargets)
    : m_deadline(plan.deadline), m_observation(plan.observation)
{
    const std::vector<std::uint32_t> shares =
            plan.stageShares.empty() ? doublingShares(newTargets) : explicitShares(plan.stageShares);
    for (const std::uint32_t share : shares)
        m_stages.push_back({Share(std::min(share, whole - controlShare.value())), Share(share)});
}

const Stage &StagePlan::stage(StageIndex index) const
{
    return m_stages[std::min<std::size_t>(index.value(), m_stages.size() - 1)];
}

StageDurations StagePlan::times(StageIndex index, WallTime entered) const
{
    if (isLast(index))
        return {m_observation, std::max(m_observation, Milliseconds(m_deadline - entered - completionReserve))};
    const Milliseconds left = m_deadline - m_observation - entered;
    const auto remaining = static_cast<Milliseconds::rep>(m_stages.size() - 1 - index.value());
    const Milliseconds even = left / remaining;
    return {std::max(stageMinimum, even * earliestPercent / 100), std::max(stageMinimum, even * latestPercent / 100)};
}

} // namespace dandeliondock
