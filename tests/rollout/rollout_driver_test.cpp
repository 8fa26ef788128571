#include <dandeliondock/rollout/rollout_driver.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <array>
#include <tuple>
#include <vector>

namespace dandeliondock {
namespace {

constexpr TicketNumber ticket{7};
const ServiceName ledger("ledger");

RolloutDefinition definitionUntil(int deadline)
{
    return {ticket,
            ledger,
            VersionName("v1"),
            VersionName("v2"),
            {WallTime(Seconds(deadline)), {}, Milliseconds{30'000}}};
}

RolloutRow rowOf(std::uint32_t stage, RolloutState state, std::uint64_t fence)
{
    return {{ticket, ledger, StageIndex(stage), state, {}}, FencingToken(fence)};
}

DriverInput inputAt(int second, std::optional<RolloutRow> row)
{
    DriverInput input;
    input.now = MonotonicTime(Seconds(second));
    input.wallNow = WallTime(Seconds(second));
    input.leaseFence = FencingToken(3);
    input.storedRow = {true, std::move(row)};
    input.newTargetCount = 6;
    return input;
}

RouteOutcomes outcomesOf(std::uint64_t oldFailures, std::uint64_t newFailures)
{
    RouteOutcomes outcomes{ticket, RouteName("orders"), {}, {}, 0};
    outcomes.oldVersion.requests = 100;
    outcomes.oldVersion.failures = oldFailures;
    outcomes.newVersion.requests = 20;
    outcomes.newVersion.failures = newFailures;
    return outcomes;
}

void addFailures(RolloutDriver &driver)
{
    for (int count = 0; count < 4; ++count)
        driver.recordOutcomes(outcomesOf(0, 20));
}

} // namespace

// Guards against lost updates when the reads and writes of two drivers interleave, with pauses, late reads and an
// unavailable store.
TEST_CASE("two drivers never lower a stage or overwrite a rollback", "[rollout]")
{
    rc::prop("for any order of their steps", [] {
        std::array<RolloutDriver, 2> drivers{RolloutDriver(definitionUntil(100)), RolloutDriver(definitionUntil(100))};
        std::array<std::optional<RolloutRow>, 2> read;
        std::optional<RolloutRow> row;
        int second = 0;
        const auto events = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                rc::gen::tuple(rc::gen::inRange(0, 2), rc::gen::inRange(0, 8), rc::gen::inRange(0, 4)));
        for (const auto &[driverIndex, event, pause] : events) {
            second += pause;
            const auto index = static_cast<std::size_t>(driverIndex);
            if (event == 0)
                addFailures(drivers[index]);
            if (event <= 3)
                read[index] = row;
            DriverInput input = inputAt(second, read[index]);
            input.leaseFence = FencingToken(index + 1);
            input.storedRow.storeAvailable = event != 4;
            const DriverDecision decision = drivers[index].decide(input);
            if (!decision.write || read[index] != row)
                continue;
            RC_ASSERT(!row || decision.write->fence >= row->fence);
            RC_ASSERT(!row || decision.write->record.stage >= row->record.stage);
            RC_ASSERT(!row || decision.write->record.state >= row->record.state);
            row = decision.write;
        }
    });
}

// Guards against a driver that still changes the rollout after another driver replaced it.
TEST_CASE("a driver that was replaced by another one changes nothing", "[rollout]")
{
    rc::prop("for any evidence", [] {
        RolloutDriver driver(definitionUntil(100));
        if (*rc::gen::arbitrary<bool>())
            addFailures(driver);
        const auto start = *rc::gen::inRange(0, 200);
        for (int second = start; second < start + 50; ++second) {
            const DriverDecision decision = driver.decide(inputAt(second, rowOf(2, RolloutState::Running, 4)));
            RC_ASSERT(decision.step == DriverStep::Hold);
            RC_ASSERT_FALSE(decision.write.has_value());
        }
    });
}

// Guards against a driver that resumes after a pause and acts on outdated state.
TEST_CASE("a driver that was paused changes nothing in its first decision", "[rollout]")
{
    RolloutDriver driver(definitionUntil(100));
    static_cast<void>(driver.decide(inputAt(0, rowOf(0, RolloutState::Running, 3))));
    const DriverDecision decision = driver.decide(inputAt(95, rowOf(0, RolloutState::Running, 3)));
    CHECK(decision.step == DriverStep::Hold);
    // The time before the pause does not count as time in the stage.
    CHECK(driver.decide(inputAt(96, rowOf(0, RolloutState::Running, 3))).step == DriverStep::Hold);
}

// Guards against a rollout that misses its deadline because each driver that takes over restarts the stage.
TEST_CASE("a driver that takes over counts the time since the stage began", "[rollout]")
{
    const auto input = [](int second) {
        DriverInput late = inputAt(second, rowOf(1, RolloutState::Running, 3));
        late.stageStartedAt = WallTime(Seconds(20));
        return late;
    };
    const RolloutDefinition definition{ticket,
                                       ledger,
                                       VersionName("v1"),
                                       VersionName("v2"),
                                       {WallTime(Seconds(100)), {Share(400), Share(3'300)}, Milliseconds{30'000}}};
    RolloutDriver driver(definition);
    // The stage may take at most 0.9 of the 50 s between its start and the observation period.
    CHECK(driver.decide(input(66)).step == DriverStep::Hold);
    CHECK(driver.decide(input(67)).step == DriverStep::Hold);
    CHECK(driver.decide(input(68)).step == DriverStep::Advance);
}

// Guards against raising the share, or keeping a bad version, while the store is unavailable.
TEST_CASE("without the store nothing advances, rollbacks still happen and a missed deadline is reported", "[rollout]")
{
    RolloutDriver driver(definitionUntil(100));
    static_cast<void>(driver.decide(inputAt(0, rowOf(0, RolloutState::Running, 3))));
    DriverDecision decision;
    for (int second = 1; second <= 101; ++second) {
        DriverInput input = inputAt(second, std::nullopt);
        input.storedRow.storeAvailable = false;
        input.leaseFence.reset();
        decision = driver.decide(input);
        REQUIRE(decision.step == DriverStep::Hold);
    }
    CHECK(decision.notice == "late, held: store unavailable");
    addFailures(driver);
    DriverInput input = inputAt(102, std::nullopt);
    input.storedRow.storeAvailable = false;
    input.leaseFence.reset();
    decision = driver.decide(input);
    CHECK(decision.step == DriverStep::RollBack);
    CHECK(decision.publishFirst);
    CHECK_FALSE(decision.write.has_value());
    CHECK(decision.record.reason.find("route orders") != std::string::npos);
}

// Guards against a rollout without traffic that is completed before its deadline, or never.
TEST_CASE("a rollout without traffic is completed at the deadline and the notice says so", "[rollout]")
{
    RolloutDriver driver(definitionUntil(240));
    std::optional<RolloutRow> row;
    int completedAt = 0;
    std::string notice;
    for (int second = 0; second < 300 && completedAt == 0; ++second) {
        const DriverDecision decision = driver.decide(inputAt(second, row));
        if (decision.write)
            row = decision.write;
        if (decision.step == DriverStep::Complete) {
            completedAt = second;
            notice = decision.notice;
        }
    }
    CHECK(completedAt >= 235);
    CHECK(completedAt <= 240);
    CHECK(notice == "completed at the deadline without traffic");
}

// Guards against a completed row in the store that hides a rollback known only from other nodes' records.
TEST_CASE("a rollback in another node's record overwrites a completed row", "[rollout]")
{
    RolloutDriver driver(definitionUntil(100));
    DriverInput input = inputAt(50, rowOf(5, RolloutState::Completed, 3));
    input.mergedRecord = rowOf(2, RolloutState::RolledBack, 0).record;
    const DriverDecision decision = driver.decide(input);
    CHECK(decision.step == DriverStep::RollBack);
    REQUIRE(decision.write.has_value());
    CHECK(decision.write->record.state == RolloutState::RolledBack);
}

} // namespace dandeliondock
