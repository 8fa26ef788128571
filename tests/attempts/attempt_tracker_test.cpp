#include <dandeliondock/attempts/attempt_tracker.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

AttemptResult resultOf(std::uint8_t number)
{
    return static_cast<AttemptResult>(number % 6);
}

/// \brief Whether the target may have executed an attempt with this result.
bool mayRun(AttemptResult result)
{
    return result != AttemptResult::NotSent && result != AttemptResult::Shed;
}

} // namespace

// Guards against a non-idempotent request that two targets execute.
TEST_CASE("at most one attempt at a non-idempotent request may be executed", "[attempts]")
{
    rc::prop("no attempt is allowed after one that may have run", [](const std::vector<std::uint8_t> &results) {
        AttemptTracker tracker(false);
        int mayHaveRun = 0;
        for (const std::uint8_t number : results) {
            if (!tracker.allowsRetry())
                break;
            const std::size_t attempt = tracker.startAttempt();
            RC_ASSERT(!tracker.allowsRetry());
            tracker.markSent(attempt);
            tracker.conclude(attempt, resultOf(number));
            mayHaveRun += mayRun(resultOf(number)) ? 1 : 0;
        }
        RC_ASSERT(mayHaveRun <= 1);
    });
}

// Guards against a refusal that reports "not run" although a target may have executed the request.
TEST_CASE("the verdict is NotRun or NotSent only if no attempt may have run", "[attempts]")
{
    rc::prop("the verdict agrees with the attempts", [](const std::vector<std::uint8_t> &results, bool idempotent) {
        AttemptTracker tracker(idempotent);
        bool mayHaveRun = false;
        for (const std::uint8_t number : results) {
            const std::size_t attempt = tracker.startAttempt();
            if (mayRun(resultOf(number)))
                tracker.markSent(attempt);
            tracker.conclude(attempt, resultOf(number));
            mayHaveRun = mayHaveRun || mayRun(resultOf(number));
        }
        const ExecutionState verdict = tracker.verdict();
        const bool reportsNotRun = verdict == ExecutionState::NotRun || verdict == ExecutionState::NotSent;
        RC_ASSERT(reportsNotRun == !mayHaveRun);
    });
}

// Guards against a second result for an attempt, such as a late cancellation, that overwrites the first.
TEST_CASE("an attempt keeps its first result", "[attempts]")
{
    AttemptTracker tracker(false);
    const std::size_t attempt = tracker.startAttempt();
    tracker.markSent(attempt);
    CHECK(tracker.verdict() == ExecutionState::MayHaveRun);
    tracker.conclude(attempt, AttemptResult::MayHaveRun);
    tracker.conclude(attempt, AttemptResult::NotSent);
    CHECK(tracker.verdict() == ExecutionState::MayHaveRun);
    CHECK_FALSE(tracker.allowsRetry());
    CHECK(tracker.openAttempts() == 0);
}

} // namespace dandeliondock
