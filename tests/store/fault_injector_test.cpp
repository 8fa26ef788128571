#include "standins/fault_injector.h"
#include "standins/memory_table.h"

#include <dandeliondock/core/error.h>
#include <dandeliondock/store/row_keys.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock::standins {
namespace {

const Transaction firstWrite{{{headKey(), RowVersion{}}}, {{headKey(), "x"}}};

std::shared_ptr<FaultInjector> makeInjector(const StoreFaults &faults, MonotonicTime &now, std::uint64_t seed = 1)
{
    TimeSource time = systemTime();
    time.monotonic = [&now] { return now; };
    auto injector = std::make_shared<FaultInjector>(time, seededRandom(seed));
    injector->set(faults);
    return injector;
}

} // namespace

// Guards against a lost-response fault whose write takes no effect, and a lost-request fault whose write takes effect.
TEST_CASE("each injected fault has the effect that its name says", "[store]")
{
    MonotonicTime now{};
    MemoryTable table;
    StoreFaults faults;
    const auto injector = makeInjector(faults, now);
    const StoreHooks hooks = faultyStore(table.hooks(), injector);
    faults.outage = true;
    injector->set(faults);
    CHECK(errorKind(hooks.commit(firstWrite).status()) == ErrorKind::StoreUnavailable);
    CHECK(errorKind(hooks.read({headKey()}).status()) == ErrorKind::StoreUnavailable);
    CHECK(errorKind(hooks.fetchObject("x").status()) == ErrorKind::StoreUnavailable);
    faults = {};
    faults.lostRequests = fullShare;
    injector->set(faults);
    CHECK(errorKind(hooks.commit(firstWrite).status()) == ErrorKind::OutcomeUnknown);
    CHECK(table.read({headKey()}).front().version == RowVersion{});
    faults = {};
    faults.lostResponses = fullShare;
    injector->set(faults);
    CHECK(errorKind(hooks.commit(firstWrite).status()) == ErrorKind::OutcomeUnknown);
    CHECK(table.read({headKey()}).front().value == "x");
    CHECK(hooks.read({headKey()}).ok());
}

// Guards against a rate limit that counts reads and writes together or never admits calls again.
TEST_CASE("rate limits apply to reads and writes separately and to each second", "[store]")
{
    MonotonicTime now{};
    MemoryTable table;
    StoreFaults faults;
    faults.readsPerSecond = 3;
    faults.writesPerSecond = 1;
    const auto injector = makeInjector(faults, now);
    const StoreHooks hooks = faultyStore(table.hooks(), injector);
    for (int second = 0; second < 3; ++second) {
        for (int i = 0; i < 5; ++i) {
            CHECK(hooks.read({headKey()}).ok() == (i < 3));
            CHECK(hooks.commit(firstWrite).ok() == (i < 1));
        }
        now += Seconds(1);
    }
    CHECK(injector->counts().reads == 15);
    CHECK(injector->counts().writes == 15);
    CHECK(injector->counts().refused == 18);
}

// Guards against a failed run that cannot be reproduced from its seed.
TEST_CASE("the same seed gives the same sequence of faults", "[store]")
{
    rc::prop("two injectors with the same seed decide alike", [](std::uint64_t seed) {
        MonotonicTime now{};
        StoreFaults faults;
        faults.refusals = Share(3'000);
        faults.lostResponses = Share(3'000);
        faults.lostRequests = Share(3'000);
        const auto left = makeInjector(faults, now, seed);
        const auto right = makeInjector(faults, now, seed);
        for (int i = 0; i < 50; ++i) {
            const CallKind kind = i % 3 == 0 ? CallKind::Read : CallKind::Write;
            RC_ASSERT(left->decide(kind) == right->decide(kind));
        }
    });
}

} // namespace dandeliondock::standins
