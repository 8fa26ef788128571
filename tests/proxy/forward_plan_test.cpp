#include <dandeliondock/proxy/forward_plan.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

const MonotonicTime now{Seconds(100)};
const MonotonicTime later = now + Seconds(1);
const RetryBudgetLimits ample{fullShare, 1'000};
const RetryBudgetLimits none{noShare, 0};

bool reachedTarget(ForwardOutcome outcome)
{
    return outcome != ForwardOutcome::Refused && outcome != ForwardOutcome::NotSent
           && outcome != ForwardOutcome::NotRun;
}

} // namespace

// Guards against an order that runs twice, and against a refusal that is not true.
TEST_CASE("a request that must not run twice reaches a target at most once without a known end", "[proxy]")
{
    rc::prop("outcomes in any order", [] {
        RetryBudget budget(ample);
        ForwardPlan plan({false, 3, later}, budget);
        int mayHaveRun = 0;
        ForwardStep step = ForwardStep::Send;
        while (step == ForwardStep::Send) {
            plan.begin();
            const auto outcome = *rc::gen::element(
                    ForwardOutcome::Answered, ForwardOutcome::Failed, ForwardOutcome::Refused, ForwardOutcome::NotSent,
                    ForwardOutcome::NotRun, ForwardOutcome::MayHaveRun, ForwardOutcome::TimedOut);
            mayHaveRun += reachedTarget(outcome) ? 1 : 0;
            step = plan.conclude(outcome, now);
        }
        RC_ASSERT(mayHaveRun <= 1);
        RC_ASSERT((step == ForwardStep::Refuse) == (mayHaveRun == 0));
    });
}

// Guards against retries that multiply load: doors that refuse cost no target anything, everything else is budgeted.
TEST_CASE("an attempt that reached a target is repeated only within the budget and the route's bound", "[proxy]")
{
    rc::prop("outcomes in any order", [] {
        RetryBudget budget(none);
        ForwardPlan plan({true, 3, later}, budget);
        int reached = 0;
        ForwardStep step = ForwardStep::Send;
        while (step == ForwardStep::Send) {
            plan.begin();
            const auto outcome =
                    *rc::gen::element(ForwardOutcome::Refused, ForwardOutcome::NotSent, ForwardOutcome::NotRun,
                                      ForwardOutcome::Failed, ForwardOutcome::MayHaveRun);
            reached += reachedTarget(outcome) || outcome == ForwardOutcome::NotRun ? 1 : 0;
            step = plan.conclude(outcome, now);
        }
        RC_ASSERT(reached <= 1);
    });
    RetryBudget budget(ample);
    ForwardPlan plan({true, 2, later}, budget);
    plan.begin();
    CHECK(plan.conclude(ForwardOutcome::MayHaveRun, now) == ForwardStep::Send);
    plan.begin();
    CHECK(plan.conclude(ForwardOutcome::MayHaveRun, now) == ForwardStep::Fail);
}

// Guards against an endless walk from door to door.
TEST_CASE("a request is offered to a bounded number of doors and not past its deadline", "[proxy]")
{
    RetryBudget budget(ample);
    ForwardPlan plan({true, 3, later}, budget);
    std::size_t offers = 0;
    ForwardStep step = ForwardStep::Send;
    while (step == ForwardStep::Send) {
        plan.begin();
        ++offers;
        step = plan.conclude(ForwardOutcome::Refused, now);
    }
    CHECK(offers == maxRefusedAttempts);
    CHECK(step == ForwardStep::Refuse);
    ForwardPlan late({true, 3, now}, budget);
    late.begin();
    CHECK(late.conclude(ForwardOutcome::Refused, now) == ForwardStep::Refuse);
}

// Guards against the failure of one target that reaches a caller although another target could have answered.
TEST_CASE("a target's failure is tried elsewhere only when the request may run twice", "[proxy]")
{
    RetryBudget budget(ample);
    ForwardPlan idempotent({true, 2, later}, budget);
    idempotent.begin();
    CHECK(idempotent.conclude(ForwardOutcome::Failed, now) == ForwardStep::Send);
    ForwardPlan caller({true, 2, later}, budget);
    caller.begin();
    CHECK(caller.conclude(ForwardOutcome::CallFailed, now) == ForwardStep::Respond);
    ForwardPlan order({false, 2, later}, budget);
    order.begin();
    CHECK(order.conclude(ForwardOutcome::Failed, now) == ForwardStep::Respond);
}

} // namespace dandeliondock
