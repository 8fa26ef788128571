#include <dandeliondock/rollout/stage_plan.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

namespace dandeliondock {
namespace {

RolloutPlan planUntil(Seconds deadline)
{
    return {WallTime(deadline), {}, Milliseconds{30'000}};
}

} // namespace

// Guards against a fault under load that is detected only when the share is already large.
TEST_CASE("one stage loads a single new target as much as after completion", "[rollout]")
{
    rc::prop("there is a stage with the share of one target, and shares rise until only the control share is left", [] {
        const auto targets = *rc::gen::inRange(1U, 100U);
        const StagePlan plan(planUntil(Seconds{600}), targets);
        const auto &stages = plan.stages();
        const bool hasOneTargetStage = std::any_of(stages.begin(), stages.end(), [targets](const Stage &stage) {
            return stage.newTargetShare.value() == fullShare.value() / targets;
        });
        RC_ASSERT(hasOneTargetStage);
        RC_ASSERT(stages.front().share == canaryShare);
        for (std::size_t index = 1; index < stages.size(); ++index)
            RC_ASSERT(stages[index].share > stages[index - 1].share);
        RC_ASSERT(stages.back() == (Stage{Share(fullShare.value() - controlShare.value()), fullShare}));
    });
}

// Guards against a plan whose stages leave no time for the observation period before the deadline.
TEST_CASE("stages of maximum duration leave time for the observation before the deadline", "[rollout]")
{
    rc::prop("the maximum durations and the observation end by the deadline", [] {
        const auto targets = *rc::gen::inRange(1U, 30'000U);
        const auto deadline = Seconds(*rc::gen::inRange(120, 36'000));
        const StagePlan plan(planUntil(deadline), targets);
        WallTime now{};
        for (std::uint32_t index = 0; index + 1 < plan.stages().size(); ++index)
            now += plan.durations(StageIndex(index), now).maximum;
        RC_ASSERT(now + plan.observation() <= plan.deadline());
    });
}

// Guards against explicit shares that are ignored, or that do not end with the full share.
TEST_CASE("explicit shares override the default stages", "[rollout]")
{
    RolloutPlan plan = planUntil(Seconds{600});
    plan.stageShares = {Share(300), Share(4'000)};
    const StagePlan stages(plan, 6);
    REQUIRE(stages.stages().size() == 3);
    CHECK(stages.stage(StageIndex(0)).share == Share(300));
    CHECK(stages.stage(StageIndex(1)).share == Share(4'000));
    CHECK(stages.stage(StageIndex(9)).newTargetShare == fullShare);
}

} // namespace dandeliondock
