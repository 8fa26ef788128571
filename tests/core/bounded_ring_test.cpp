#include <dandeliondock/core/bounded_ring.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>
#include <thread>

namespace dandeliondock {

// Guards against a ring that reorders, loses or duplicates items, or that exceeds its capacity.
TEST_CASE("a ring behaves like a bounded queue", "[core]")
{
    rc::prop("DropOldest keeps the newest items in order", [](const std::vector<int> &operations) {
        constexpr std::size_t capacity = 4;
        BoundedRing<int> ring(capacity, OverflowPolicy::DropOldest);
        std::deque<int> model;
        std::uint64_t dropped = 0;
        // A negative operation is a pop, any other one a push.
        for (const int operation : operations) {
            const bool isPush = operation >= 0;
            if (isPush) {
                if (model.size() == capacity) {
                    model.pop_front();
                    ++dropped;
                }
                model.push_back(operation);
                (void)ring.push(operation);
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

// Guards against a full ring that silently loses an item although its policy is to reject.
TEST_CASE("a ring with OverflowPolicy::Reject rejects a push when it is full", "[core]")
{
    BoundedRing<int> ring(1, OverflowPolicy::Reject);
    CHECK(ring.push(1) == PushResult::Pushed);
    CHECK(ring.push(2) == PushResult::Full);
    CHECK(ring.pop() == 1);
}

// Guards against a writer that is not woken when there is room again, and a reader that is not woken by close().
TEST_CASE("a ring with OverflowPolicy::Block passes every item between two threads", "[core]")
{
    constexpr int itemCount = 10'000;
    BoundedRing<int> ring(8, OverflowPolicy::Block);
    std::vector<int> received;
    std::thread reader([&] {
        while (const std::optional<int> item = ring.pop())
            received.push_back(*item);
    });
    for (int i = 0; i < itemCount; ++i)
        REQUIRE(ring.push(i) == PushResult::Pushed);
    ring.close();
    reader.join();
    REQUIRE(received.size() == itemCount);
    CHECK(std::is_sorted(received.begin(), received.end()));
    CHECK(ring.push(1) == PushResult::Closed);
}

} // namespace dandeliondock
