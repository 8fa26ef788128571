#include <dandeliondock/proxy/inbound_queue.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

namespace dandeliondock {
namespace {

const InboundWork order{RouteName("order"), WorkClass::Interactive};
const InboundWork lookup{RouteName("lookup"), WorkClass::Interactive};
const InboundWork document{RouteName("document"), WorkClass::Deferrable};

MonotonicTime at(int milliseconds)
{
    return MonotonicTime(Milliseconds(milliseconds));
}

// Returns a queue whose only slot is taken, after orders took 100 ms each and lookups 10 ms each.
InboundQueue busyQueue()
{
    InboundQueue queue;
    queue.setSlots(SlotCount(1));
    std::uint64_t id = 1'000;
    for (int round = 0; round < 200; ++round) {
        CHECK(queue.admit(WaiterId(++id), order, at(10'000), at(0)).verdict == InboundVerdict::Run);
        queue.recordFinished(order.route, Milliseconds(100));
        CHECK(queue.admit(WaiterId(++id), lookup, at(10'000), at(0)).verdict == InboundVerdict::Run);
        queue.recordFinished(lookup.route, Milliseconds(10));
    }
    CHECK(queue.admit(WaiterId(1), order, at(10'000), at(0)).verdict == InboundVerdict::Run);
    return queue;
}

} // namespace

// Guards against short calls of running requests that are refused because long requests share their target: with one
// mean for all routes, a lookup with 120 ms left was refused although it needs 10 ms.
TEST_CASE("whether a request can meet its deadline depends on the processing time of its own route", "[proxy]")
{
    InboundQueue queue = busyQueue();
    CHECK(queue.admit(WaiterId(2), lookup, at(120), at(0)).verdict == InboundVerdict::Wait);
    CHECK(queue.admit(WaiterId(3), order, at(120), at(0)).verdict == InboundVerdict::Refuse);
}

// Guards against short calls that wait behind long requests of the same work class.
TEST_CASE("within a work class the waiter with the earliest deadline runs next", "[proxy]")
{
    InboundQueue queue = busyQueue();
    CHECK(queue.admit(WaiterId(2), order, at(1'000), at(0)).verdict == InboundVerdict::Wait);
    CHECK(queue.admit(WaiterId(3), lookup, at(300), at(0)).verdict == InboundVerdict::Wait);
    CHECK(queue.admit(WaiterId(4), document, at(250), at(0)).verdict == InboundVerdict::Wait);
    queue.recordFinished(order.route, Milliseconds(100));
    CHECK(queue.takeNext() == WaiterId(3));
    CHECK_FALSE(queue.takeNext().has_value());
}

// Guards against more running requests than slots, and against slots that are never released.
TEST_CASE("no more requests run than there are slots, and no slot stays free while requests wait", "[proxy]")
{
    rc::prop("arrivals, completions and withdrawals in any order", [] {
        constexpr std::uint32_t slots = 3;
        InboundQueue queue;
        queue.setSlots(SlotCount(slots));
        std::set<WaiterId> waiting;
        std::uint32_t running = 0;
        std::uint64_t last = 0;
        const auto runNext = [&] {
            while (const auto id = queue.takeNext()) {
                RC_ASSERT(waiting.erase(*id) == 1U);
                ++running;
            }
        };
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
        for (const int step : steps) {
            if (step == 4 && running > 0) {
                --running;
                queue.recordFinished(order.route, Milliseconds(10));
                runNext();
            } else if (step == 3 && !waiting.empty()) {
                queue.withdraw(*waiting.begin());
                waiting.erase(waiting.begin());
            } else if (step < 3) {
                const InboundWork work{order.route, static_cast<WorkClass>(step)};
                const WaiterId id(++last);
                const InboundAdmission admission = queue.admit(id, work, at(100'000), at(0));
                for (const WaiterId displaced : admission.displaced)
                    RC_ASSERT(waiting.erase(displaced) == 1U);
                if (admission.verdict == InboundVerdict::Run)
                    ++running;
                else if (admission.verdict == InboundVerdict::Wait)
                    waiting.insert(id);
            }
            RC_ASSERT(running <= slots);
            RC_ASSERT(waiting.empty() || running == slots);
            const TargetLoad load = queue.load();
            RC_ASSERT(load.running == running);
            RC_ASSERT(load.waiting == waiting.size());
        }
    });
}

// Guards against requests that wait for as long as their target latency allows while other targets have room.
TEST_CASE("a request that would wait for longer than it may is refused, and runs where a slot is free", "[proxy]")
{
    InboundQueue queue = busyQueue();
    const InboundWork patient{lookup.route, lookup.workClass, Milliseconds(500)};
    const InboundWork impatient{lookup.route, lookup.workClass, Milliseconds(20)};
    CHECK(queue.admit(WaiterId(2), impatient, at(1'000), at(0)).verdict == InboundVerdict::Refuse);
    CHECK(queue.admit(WaiterId(3), patient, at(1'000), at(0)).verdict == InboundVerdict::Wait);
    queue.withdraw(WaiterId(3));
    queue.recordFinished(order.route, std::nullopt);
    CHECK(queue.admit(WaiterId(4), impatient, at(1'000), at(0)).verdict == InboundVerdict::Run);
}

// Guards against callers that are told to retry at once although the queue is full.
TEST_CASE("a refusal contains the time until a slot is likely to be free", "[proxy]")
{
    InboundQueue queue = busyQueue();
    const InboundAdmission refused = queue.admit(WaiterId(2), order, at(20), at(0));
    REQUIRE(refused.verdict == InboundVerdict::Refuse);
    CHECK(refused.retryAfter >= Milliseconds(10));
}

} // namespace dandeliondock
