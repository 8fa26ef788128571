#include <dandeliondock/proxy/forward_plan.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

const MonotonicTime now{Seconds(100)};
const MonotonicTime deadline = now + Seconds(1);
const RetryBudgetLimits ampleBudget{fullShare, 1'000};
const RetryBudgetLimits emptyBudget{noShare, 0};

bool mayHaveExecuted(ForwardOutcome outcome)
{
    return outcome != ForwardOutcome::Refused && outcome != ForwardOutcome::NotSent
           && outcome != ForwardOutcome::NotRun;
}

} // namespace

// Guards against a non-idempotent request that runs twice, and against a refusal although the request may have run.
TEST_CASE("at most one attempt of a non-idempotent request may have run it", "[proxy]")
{
    rc::prop("outcomes in any order", [] {
        RetryBudget budget(ampleBudget);
        ForwardPlan plan({false, 3, deadline}, budget);
        int mayHaveRun = 0;
        ForwardStep step = ForwardStep::Send;
        while (step == ForwardStep::Send) {
            plan.startAttempt();
            const auto outcome = *rc::gen::element(
                    ForwardOutcome::Responded, ForwardOutcome::Failed, ForwardOutcome::Refused, ForwardOutcome::NotSent,
                    ForwardOutcome::NotRun, ForwardOutcome::MayHaveRun, ForwardOutcome::TimedOut);
            mayHaveRun += mayHaveExecuted(outcome) ? 1 : 0;
            step = plan.conclude(outcome, now);
        }
        RC_ASSERT(mayHaveRun <= 1);
        RC_ASSERT((step == ForwardStep::Refuse) == (mayHaveRun == 0));
    });
}

// Guards against retries that multiply load: refused attempts do not load a target, all others need the retry budget.
TEST_CASE("an attempt that reached a target is retried only within the budget and the attempt limit", "[proxy]")
{
    rc::prop("outcomes in any order", [] {
        RetryBudget budget(emptyBudget);
        ForwardPlan plan({true, 3, deadline}, budget);
        int targetAttempts = 0;
        ForwardStep step = ForwardStep::Send;
        while (step == ForwardStep::Send) {
            plan.startAttempt();
            const auto outcome =
                    *rc::gen::element(ForwardOutcome::Refused, ForwardOutcome::NotSent, ForwardOutcome::NotRun,
                                      ForwardOutcome::Failed, ForwardOutcome::MayHaveRun);
            targetAttempts += mayHaveExecuted(outcome) || outcome == ForwardOutcome::NotRun ? 1 : 0;
            step = plan.conclude(outcome, now);
        }
        RC_ASSERT(targetAttempts <= 1);
    });
    RetryBudget budget(ampleBudget);
    ForwardPlan plan({true, 2, deadline}, budget);
    plan.startAttempt();
    CHECK(plan.conclude(ForwardOutcome::MayHaveRun, now) == ForwardStep::Send);
    plan.startAttempt();
    CHECK(plan.conclude(ForwardOutcome::MayHaveRun, now) == ForwardStep::Fail);
}

// Guards against an endless series of refused attempts.
TEST_CASE("refused attempts are limited in number and end at the deadline", "[proxy]")
{
    RetryBudget budget(ampleBudget);
    ForwardPlan plan({true, 3, deadline}, budget);
    std::size_t attempts = 0;
    ForwardStep step = ForwardStep::Send;
    while (step == ForwardStep::Send) {
        plan.startAttempt();
        ++attempts;
        step = plan.conclude(ForwardOutcome::Refused, now);
    }
    CHECK(attempts == maxRefusedAttempts);
    CHECK(step == ForwardStep::Refuse);
    ForwardPlan expired({true, 3, now}, budget);
    expired.startAttempt();
    CHECK(expired.conclude(ForwardOutcome::Refused, now) == ForwardStep::Refuse);
}

// Guards against returning a target's failure to the caller although another target could have served the request.
TEST_CASE("a target's own failure is retried on another target only if the request is idempotent", "[proxy]")
{
    RetryBudget budget(ampleBudget);
    ForwardPlan idempotent({true, 2, deadline}, budget);
    idempotent.startAttempt();
    CHECK(idempotent.conclude(ForwardOutcome::Failed, now) == ForwardStep::Send);
    ForwardPlan withFailedCall({true, 2, deadline}, budget);
    withFailedCall.startAttempt();
    CHECK(withFailedCall.conclude(ForwardOutcome::CallFailed, now) == ForwardStep::Respond);
    ForwardPlan nonIdempotent({false, 2, deadline}, budget);
    nonIdempotent.startAttempt();
    CHECK(nonIdempotent.conclude(ForwardOutcome::Failed, now) == ForwardStep::Respond);
}

} // namespace dandeliondock
