#include <dandeliondock/routing/concurrency_limit.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {

// Guards against a caller that exceeds a target's slots, or whose limit falls to zero so that it never uses the target
// again.
TEST_CASE("a concurrency limit stays between one and the slots", "[routing]")
{
    rc::prop("any sequence of responses and sheds keeps the bounds and moves the limit in the right direction", [] {
        const auto slots = *rc::gen::inRange(1U, 40U);
        ConcurrencyLimit limit(SlotCount(slots), *rc::gen::inRange<std::size_t>(0, 100));
        RC_ASSERT(limit.value() >= 1U);
        const auto steps = *rc::gen::container<std::vector<bool>>(400, rc::gen::arbitrary<bool>());
        for (const bool isShed : steps) {
            const std::uint32_t before = limit.value();
            if (isShed)
                limit.recordShed();
            else
                limit.recordResponse(before);
            RC_ASSERT(limit.value() >= 1U);
            RC_ASSERT(limit.value() <= slots);
            RC_ASSERT((isShed ? limit.value() <= before : limit.value() >= before));
        }
    });
}

// Guards against a limit that grows although the caller hardly uses the target.
TEST_CASE("a concurrency limit does not grow while it is hardly used", "[routing]")
{
    ConcurrencyLimit limit(SlotCount(20), 5);
    for (int response = 0; response < 100; ++response)
        limit.recordResponse(1);
    CHECK(limit.value() == 4);
    for (int response = 0; response < 1'000; ++response)
        limit.recordResponse(limit.value());
    CHECK(limit.value() == 20);
}

} // namespace dandeliondock
