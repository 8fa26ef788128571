#include <dandeliondock/core/bounded_ring.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>
#include <thread>

namespace dandeliondock {

// Guards against a ring that reorders, loses or repeats items, or that holds more than its capacity.
TEST_CASE("a ring behaves like a bounded queue", "[core]")
{
    rc::prop("drop oldest keeps the latest items in order", [](const std::vector<int> &steps) {
        constexpr std::size_t capacity = 4;
        BoundedRing<int> ring(capacity, OverflowPolicy::DropOldest);
        std::deque<int> model;
        std::uint64_t dropped = 0;
        // A negative step pops.
        for (const int step : steps) {
            const bool isPush = step >= 0;
            if (isPush) {
                if (model.size() == capacity) {
                    model.pop_front();
                    ++dropped;
                }
                model.push_back(step);
                (void)ring.push(step);
            } else if (!model.empty()) {
                RC_ASSERT(ring.popFor(Microseconds{0}) == model.front());
                model.pop_front();
            } else {
                RC_ASSERT(!ring.popFor(Microseconds{0}).has_value());
            }
            RC_ASSERT(ring.size() == model.size());
            RC_ASSERT(ring.dropped() == dropped);
        }
    });
}

// Guards against a full ring that silently loses an item although its writer asked to be refused.
TEST_CASE("a rejecting ring refuses when full", "[core]")
{
    BoundedRing<int> ring(1, OverflowPolicy::Reject);
    CHECK(ring.push(1) == PushResult::Pushed);
    CHECK(ring.push(2) == PushResult::Full);
    CHECK(ring.pop() == 1);
}

// Guards against a writer that is not woken when room appears, and a reader that is not woken by close().
TEST_CASE("a blocking ring passes every item between two threads", "[core]")
{
    constexpr int items = 10'000;
    BoundedRing<int> ring(8, OverflowPolicy::Block);
    std::vector<int> taken;
    std::thread reader([&] {
        while (const std::optional<int> item = ring.pop())
            taken.push_back(*item);
    });
    for (int i = 0; i < items; ++i)
        REQUIRE(ring.push(i) == PushResult::Pushed);
    ring.close();
    reader.join();
    REQUIRE(taken.size() == items);
    CHECK(std::is_sorted(taken.begin(), taken.end()));
    CHECK(ring.push(1) == PushResult::Closed);
}

} // namespace dandeliondock
