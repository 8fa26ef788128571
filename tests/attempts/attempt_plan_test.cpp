#include <dandeliondock/attempts/attempt_plan.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

constexpr MonotonicTime begin{Seconds(1'000)};

/// \brief One step of an attempt's life as the generator draws it.
struct Step
{
    std::uint8_t result;
    std::uint8_t milliseconds;
    bool tickFirst;
};

struct Run
{
    int attempts = 0;
    int mayHaveRun = 0;
    bool sentAfterDeadline = false;
    AttemptAction last;
};

/// \brief Drives a plan to its end with the outcomes of \c steps; missing steps are silence until the deadline.
Run drive(AttemptPlan &plan, const Deadline &deadline, const std::vector<Step> &steps)
{
    Run run;
    MonotonicTime now = begin;
    std::vector<std::size_t> open;
    std::size_t next = 0;
    run.last = plan.start(now);
    while (run.last.step == AttemptStep::Send || run.last.step == AttemptStep::Wait) {
        if (run.last.step == AttemptStep::Send) {
            run.sentAfterDeadline = run.sentAfterDeadline || deadline.hasPassed(now);
            open.push_back(plan.startAttempt(now));
            ++run.attempts;
            run.last = {};
            continue;
        }
        if (next >= steps.size() || open.empty()) {
            now = plan.nextTick();
            run.last = plan.tick(now);
            continue;
        }
        const Step &step = steps[next++];
        now += Milliseconds(step.milliseconds);
        if (step.tickFirst) {
            run.last = plan.tick(now);
            continue;
        }
        const std::size_t attempt = open.back();
        open.pop_back();
        const auto result = static_cast<AttemptResult>(step.result % 6);
        run.mayHaveRun += result == AttemptResult::NotSent || result == AttemptResult::Shed ? 0 : 1;
        plan.markSent(attempt);
        run.last = plan.conclude(attempt, result, now);
    }
    run.mayHaveRun += static_cast<int>(open.size());
    for (const std::size_t attempt : open)
        static_cast<void>(plan.conclude(attempt, AttemptResult::TimedOut, deadline.at()));
    return run;
}

std::vector<Step> toSteps(const std::vector<std::tuple<std::uint8_t, std::uint8_t, bool>> &drawn)
{
    std::vector<Step> steps;
    for (const auto &[result, milliseconds, tickFirst] : drawn)
        steps.push_back({result, milliseconds, tickFirst});
    return steps;
}

using Drawn = std::vector<std::tuple<std::uint8_t, std::uint8_t, bool>>;

} // namespace

// Guards against a request that runs twice, an attempt past the deadline and a false "not run".
TEST_CASE("every sequence of outcomes keeps the promises to the caller", "[attempts]")
{
    rc::prop("at most one run, three attempts, none after the deadline, and a true verdict",
             [](const Drawn &drawn, bool idempotent, std::uint16_t timeout) {
                 RetryBudget budget;
                 const Deadline deadline = Deadline::fromHeader(std::nullopt, Milliseconds(timeout % 600), begin);
                 AttemptPlan plan(idempotent, deadline, Microseconds(20'000), budget);
                 const Run run = drive(plan, deadline, toSteps(drawn));
                 RC_ASSERT(run.attempts <= static_cast<int>(maxAttempts));
                 RC_ASSERT(!run.sentAfterDeadline);
                 RC_ASSERT(idempotent || run.mayHaveRun <= 1);
                 const ExecutionState verdict = plan.verdict();
                 const bool saysNotRun = verdict == ExecutionState::NotRun || verdict == ExecutionState::NotSent;
                 RC_ASSERT(saysNotRun == (run.mayHaveRun == 0));
             });
}

// Guards against retries that multiply the load on targets that already fail.
TEST_CASE("extra attempts stay inside the budget", "[attempts]")
{
    rc::prop("extra attempts never exceed the share and the floor", [](std::uint16_t drawn) {
        const std::uint64_t requests = drawn % 500;
        RetryBudget budget({Share(1'000), 3});
        std::uint64_t extra = 0;
        for (std::uint64_t i = 0; i < requests; ++i) {
            const Deadline deadline = Deadline::fromHeader(std::nullopt, Milliseconds(1'000), begin);
            AttemptPlan plan(true, deadline, std::nullopt, budget);
            AttemptAction action = plan.start(begin);
            for (int attempts = 0; action.step == AttemptStep::Send; ++attempts) {
                extra += attempts > 0 ? 1 : 0;
                action = plan.conclude(plan.startAttempt(begin), AttemptResult::MayHaveRun, begin);
            }
        }
        RC_ASSERT(extra <= 3 + requests / 10);
    });
}

// Guards against a hedge that is sent for a request which must run once.
TEST_CASE("only an idempotent request is hedged", "[attempts]")
{
    const bool idempotent = GENERATE(true, false);
    RetryBudget budget;
    const Deadline deadline = Deadline::fromHeader(std::nullopt, Milliseconds(1'000), begin);
    AttemptPlan plan(idempotent, deadline, Microseconds(5'000), budget);
    REQUIRE(plan.start(begin).step == AttemptStep::Send);
    const std::size_t first = plan.startAttempt(begin);
    plan.markSent(first);
    CHECK(plan.tick(begin + Milliseconds(4)).step == AttemptStep::Wait);
    CHECK((plan.tick(begin + Milliseconds(5)).step == AttemptStep::Send) == idempotent);
    if (!idempotent)
        return;
    const std::size_t hedge = plan.startAttempt(begin + Milliseconds(5));
    CHECK(plan.conclude(first, AttemptResult::MayHaveRun, begin + Milliseconds(6)).step == AttemptStep::Wait);
    const AttemptAction answer = plan.conclude(hedge, AttemptResult::Responded, begin + Milliseconds(7));
    CHECK(answer.step == AttemptStep::Answer);
    CHECK(answer.attempt == hedge);
}

// Guards against a request that waits for ever when no other target can be had.
TEST_CASE("without a target the plan waits for open attempts and then refuses", "[attempts]")
{
    RetryBudget budget;
    const Deadline deadline = Deadline::fromHeader(std::nullopt, Milliseconds(1'000), begin);
    AttemptPlan plan(true, deadline, std::nullopt, budget);
    REQUIRE(plan.start(begin).step == AttemptStep::Send);
    const AttemptAction none = plan.noTarget();
    CHECK(none.step == AttemptStep::Refuse);
    CHECK(none.verdict == ExecutionState::NotSent);
    const std::size_t attempt = plan.startAttempt(begin);
    CHECK(plan.noTarget().step == AttemptStep::Wait);
    REQUIRE(plan.conclude(attempt, AttemptResult::MayHaveRun, begin).step == AttemptStep::Send);
    CHECK(plan.noTarget().verdict == ExecutionState::MayHaveRun);
}

} // namespace dandeliondock
