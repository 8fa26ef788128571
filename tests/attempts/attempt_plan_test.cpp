#include <dandeliondock/attempts/attempt_plan.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

constexpr MonotonicTime startTime{Seconds(1'000)};

/// \brief One generated event: the result of an attempt, or a tick, after some time.
struct GeneratedEvent
{
    std::uint8_t result;
    std::uint8_t milliseconds;
    bool isTick;
};

/// \brief Result of running a plan.
struct PlanRun
{
    int attempts = 0;
    int mayHaveRun = 0;
    bool sentAfterDeadline = false;
    AttemptAction lastAction;
};

/// \brief Runs a plan to its end with \c events; after the last event no attempt gets a response before the deadline.
PlanRun runPlan(AttemptPlan &plan, const Deadline &deadline, const std::vector<GeneratedEvent> &events)
{
    PlanRun run;
    MonotonicTime now = startTime;
    std::vector<std::size_t> openAttempts;
    std::size_t nextEvent = 0;
    run.lastAction = plan.start(now);
    while (run.lastAction.step == AttemptStep::Send || run.lastAction.step == AttemptStep::Wait) {
        if (run.lastAction.step == AttemptStep::Send) {
            run.sentAfterDeadline = run.sentAfterDeadline || deadline.hasPassed(now);
            openAttempts.push_back(plan.startAttempt(now));
            ++run.attempts;
            run.lastAction = {};
            continue;
        }
        if (nextEvent >= events.size() || openAttempts.empty()) {
            now = plan.nextTick();
            run.lastAction = plan.tick(now);
            continue;
        }
        const GeneratedEvent &event = events[nextEvent++];
        now += Milliseconds(event.milliseconds);
        if (event.isTick) {
            run.lastAction = plan.tick(now);
            continue;
        }
        const std::size_t attempt = openAttempts.back();
        openAttempts.pop_back();
        const auto result = static_cast<AttemptResult>(event.result % 6);
        run.mayHaveRun += result == AttemptResult::NotSent || result == AttemptResult::Shed ? 0 : 1;
        plan.markSent(attempt);
        run.lastAction = plan.conclude(attempt, result, now);
    }
    run.mayHaveRun += static_cast<int>(openAttempts.size());
    for (const std::size_t attempt : openAttempts)
        static_cast<void>(plan.conclude(attempt, AttemptResult::TimedOut, deadline.at()));
    return run;
}

std::vector<GeneratedEvent> toEvents(const std::vector<std::tuple<std::uint8_t, std::uint8_t, bool>> &generated)
{
    std::vector<GeneratedEvent> events;
    for (const auto &[result, milliseconds, isTick] : generated)
        events.push_back({result, milliseconds, isTick});
    return events;
}

using GeneratedEvents = std::vector<std::tuple<std::uint8_t, std::uint8_t, bool>>;

} // namespace

// Guards against a non-idempotent request that is executed twice, an attempt after the deadline, and a verdict of "not
// run" although a target may have executed the request.
TEST_CASE("any sequence of attempt results respects execution, attempt and deadline limits", "[attempts]")
{
    rc::prop("at most one execution if not idempotent, three attempts, none after the deadline, and a correct verdict",
             [](const GeneratedEvents &generated, bool idempotent, std::uint16_t timeout) {
                 RetryBudget budget;
                 const Deadline deadline = Deadline::fromHeader(std::nullopt, Milliseconds(timeout % 600), startTime);
                 AttemptPlan plan(idempotent, deadline, Microseconds(20'000), budget);
                 const PlanRun run = runPlan(plan, deadline, toEvents(generated));
                 RC_ASSERT(run.attempts <= static_cast<int>(maxAttempts));
                 RC_ASSERT(!run.sentAfterDeadline);
                 RC_ASSERT(idempotent || run.mayHaveRun <= 1);
                 const ExecutionState verdict = plan.verdict();
                 const bool reportsNotRun = verdict == ExecutionState::NotRun || verdict == ExecutionState::NotSent;
                 RC_ASSERT(reportsNotRun == (run.mayHaveRun == 0));
             });
}

// Guards against retries that multiply the load on targets that already fail.
TEST_CASE("extra attempts stay within the retry budget", "[attempts]")
{
    rc::prop("extra attempts never exceed the floor plus the share of the requests", [](std::uint16_t generated) {
        const std::uint64_t requests = generated % 500;
        RetryBudget budget({Share(1'000), 3});
        std::uint64_t extra = 0;
        for (std::uint64_t i = 0; i < requests; ++i) {
            const Deadline deadline = Deadline::fromHeader(std::nullopt, Milliseconds(1'000), startTime);
            AttemptPlan plan(true, deadline, std::nullopt, budget);
            AttemptAction action = plan.start(startTime);
            for (int attempts = 0; action.step == AttemptStep::Send; ++attempts) {
                extra += attempts > 0 ? 1 : 0;
                action = plan.conclude(plan.startAttempt(startTime), AttemptResult::MayHaveRun, startTime);
            }
        }
        RC_ASSERT(extra <= 3 + requests / 10);
    });
}

// Guards against a hedge for a non-idempotent request, which could then be executed twice.
TEST_CASE("only an idempotent request is hedged", "[attempts]")
{
    const bool idempotent = GENERATE(true, false);
    RetryBudget budget;
    const Deadline deadline = Deadline::fromHeader(std::nullopt, Milliseconds(1'000), startTime);
    AttemptPlan plan(idempotent, deadline, Microseconds(5'000), budget);
    REQUIRE(plan.start(startTime).step == AttemptStep::Send);
    const std::size_t first = plan.startAttempt(startTime);
    plan.markSent(first);
    CHECK(plan.tick(startTime + Milliseconds(4)).step == AttemptStep::Wait);
    CHECK((plan.tick(startTime + Milliseconds(5)).step == AttemptStep::Send) == idempotent);
    if (!idempotent)
        return;
    const std::size_t hedge = plan.startAttempt(startTime + Milliseconds(5));
    CHECK(plan.conclude(first, AttemptResult::MayHaveRun, startTime + Milliseconds(6)).step == AttemptStep::Wait);
    const AttemptAction response = plan.conclude(hedge, AttemptResult::Responded, startTime + Milliseconds(7));
    CHECK(response.step == AttemptStep::Respond);
    CHECK(response.attempt == hedge);
}

// Guards against a request that waits forever when no other target is available.
TEST_CASE("without a target the plan waits for attempts in progress and then refuses", "[attempts]")
{
    RetryBudget budget;
    const Deadline deadline = Deadline::fromHeader(std::nullopt, Milliseconds(1'000), startTime);
    AttemptPlan plan(true, deadline, std::nullopt, budget);
    REQUIRE(plan.start(startTime).step == AttemptStep::Send);
    const AttemptAction refusal = plan.recordNoTarget();
    CHECK(refusal.step == AttemptStep::Refuse);
    CHECK(refusal.verdict == ExecutionState::NotSent);
    const std::size_t attempt = plan.startAttempt(startTime);
    CHECK(plan.recordNoTarget().step == AttemptStep::Wait);
    REQUIRE(plan.conclude(attempt, AttemptResult::MayHaveRun, startTime).step == AttemptStep::Send);
    CHECK(plan.recordNoTarget().verdict == ExecutionState::MayHaveRun);
}

} // namespace dandeliondock
