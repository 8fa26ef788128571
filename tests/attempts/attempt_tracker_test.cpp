#include <dandeliondock/attempts/attempt_tracker.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

AttemptResult resultOf(std::uint8_t number)
{
    return static_cast<AttemptResult>(number % 6);
}

/// \brief Whether an attempt with this end may have been run by its target.
bool mayRun(AttemptResult result)
{
    return result != AttemptResult::NotSent && result != AttemptResult::Shed;
}

} // namespace

// Guards against a non-idempotent request that two targets run.
TEST_CASE("a non-idempotent request may run in one attempt at most", "[attempts]")
{
    rc::prop("no attempt is permitted after one that may have run", [](const std::vector<std::uint8_t> &results) {
        AttemptTracker ledger(false);
        int mayHaveRun = 0;
        for (const std::uint8_t number : results) {
            if (!ledger.allowsRetry())
                break;
            const std::size_t attempt = ledger.startAttempt();
            RC_ASSERT(!ledger.allowsRetry());
            ledger.markSent(attempt);
            ledger.conclude(attempt, resultOf(number));
            mayHaveRun += mayRun(resultOf(number)) ? 1 : 0;
        }
        RC_ASSERT(mayHaveRun <= 1);
    });
}

// Guards against a refusal that says "not run" although a target may have run the request.
TEST_CASE("the verdict is not run only when no attempt may have run", "[attempts]")
{
    rc::prop("the verdict agrees with the attempts", [](const std::vector<std::uint8_t> &results, bool idempotent) {
        AttemptTracker ledger(idempotent);
        bool mayHaveRun = false;
        for (const std::uint8_t number : results) {
            const std::size_t attempt = ledger.startAttempt();
            if (mayRun(resultOf(number)))
                ledger.markSent(attempt);
            ledger.conclude(attempt, resultOf(number));
            mayHaveRun = mayHaveRun || mayRun(resultOf(number));
        }
        const ExecutionState verdict = ledger.verdict();
        const bool saysNotRun = verdict == ExecutionState::NotRun || verdict == ExecutionState::NotSent;
        RC_ASSERT(saysNotRun == !mayHaveRun);
    });
}

// Guards against a second report of an attempt, such as a late cancellation, that hides its true end.
TEST_CASE("the first end of an attempt stands", "[attempts]")
{
    AttemptTracker ledger(false);
    const std::size_t attempt = ledger.startAttempt();
    ledger.markSent(attempt);
    CHECK(ledger.verdict() == ExecutionState::MayHaveRun);
    ledger.conclude(attempt, AttemptResult::MayHaveRun);
    ledger.conclude(attempt, AttemptResult::NotSent);
    CHECK(ledger.verdict() == ExecutionState::MayHaveRun);
    CHECK_FALSE(ledger.allowsRetry());
    CHECK(ledger.open() == 0);
}

} // namespace dandeliondock
