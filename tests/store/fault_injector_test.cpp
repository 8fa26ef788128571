#include "standins/fault_injector.h"
#include "standins/memory_table.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/store/row_keys.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock::standins {
namespace {

const Transaction firstWrite{{{headKey(), RowVersion{}}}, {{headKey(), "x"}}};

std::shared_ptr<FaultInjector> planOf(const StoreFaults &faults, MonotonicTime &now, std::uint64_t seed = 1)
{
    TimeSource time = systemTime();
    time.monotonic = [&now] { return now; };
    auto plan = std::make_shared<FaultInjector>(time, seededRandom(seed));
    plan->set(faults);
    return plan;
}

} // namespace

// Guards against a lost answer that stands for a write that never took effect, and the other way round.
TEST_CASE("the in-process faults do what they are named", "[store]")
{
    MonotonicTime now{};
    MemoryTable table;
    StoreFaults faults;
    const auto plan = planOf(faults, now);
    const StoreHooks hooks = faultyStore(table.hooks(), plan);
    faults.outage = true;
    plan->set(faults);
    CHECK(errorKind(hooks.commit(firstWrite).status()) == ErrorKind::StoreUnavailable);
    CHECK(errorKind(hooks.read({headKey()}).status()) == ErrorKind::StoreUnavailable);
    CHECK(errorKind(hooks.fetchObject("x").status()) == ErrorKind::StoreUnavailable);
    faults = {};
    faults.lostRequests = fullShare;
    plan->set(faults);
    CHECK(errorKind(hooks.commit(firstWrite).status()) == ErrorKind::OutcomeUnknown);
    CHECK(table.read({headKey()}).front().version == RowVersion{});
    faults = {};
    faults.lostAnswers = fullShare;
    plan->set(faults);
    CHECK(errorKind(hooks.commit(firstWrite).status()) == ErrorKind::OutcomeUnknown);
    CHECK(table.read({headKey()}).front().value == "x");
    CHECK(hooks.read({headKey()}).ok());
}

// Guards against a rate limit that counts reads with writes or never opens again.
TEST_CASE("rate limits hold for each second and kind", "[store]")
{
    MonotonicTime now{};
    MemoryTable table;
    StoreFaults faults;
    faults.readsPerSecond = 3;
    faults.writesPerSecond = 1;
    const auto plan = planOf(faults, now);
    const StoreHooks hooks = faultyStore(table.hooks(), plan);
    for (int second = 0; second < 3; ++second) {
        for (int i = 0; i < 5; ++i) {
            CHECK(hooks.read({headKey()}).ok() == (i < 3));
            CHECK(hooks.commit(firstWrite).ok() == (i < 1));
        }
        now += Seconds(1);
    }
    CHECK(plan->counts().reads == 15);
    CHECK(plan->counts().writes == 15);
    CHECK(plan->counts().refused == 18);
}

// Guards against a failing run that cannot be repeated from its seed.
TEST_CASE("one seed gives one sequence of faults", "[store]")
{
    rc::prop("two plans with one seed agree", [](std::uint64_t seed) {
        MonotonicTime now{};
        StoreFaults faults;
        faults.refusals = Share(3'000);
        faults.lostAnswers = Share(3'000);
        faults.lostRequests = Share(3'000);
        const auto left = planOf(faults, now, seed);
        const auto right = planOf(faults, now, seed);
        for (int i = 0; i < 50; ++i) {
            const CallKind kind = i % 3 == 0 ? CallKind::Read : CallKind::Write;
            RC_ASSERT(left->decide(kind) == right->decide(kind));
        }
    });
}

} // namespace dandeliondock::standins
