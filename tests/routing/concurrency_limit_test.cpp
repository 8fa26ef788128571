#include <dandeliondock/routing/concurrency_limit.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {

// Guards against a caller that works beyond a target's slots, or stops using it for ever.
TEST_CASE("a limit stays between one and the slots", "[routing]")
{
    rc::prop("any sequence of answers and sheds keeps the bounds and moves the limit the right way", [] {
        const auto slots = *rc::gen::inRange(1U, 40U);
        ConcurrencyLimit limit(SlotCount(slots), *rc::gen::inRange<std::size_t>(0, 100));
        RC_ASSERT(limit.value() >= 1U);
        const auto steps = *rc::gen::container<std::vector<bool>>(400, rc::gen::arbitrary<bool>());
        for (const bool isShed : steps) {
            const std::uint32_t before = limit.value();
            if (isShed)
                limit.shed();
            else
                limit.answered(before);
            RC_ASSERT(limit.value() >= 1U);
            RC_ASSERT(limit.value() <= slots);
            RC_ASSERT((isShed ? limit.value() <= before : limit.value() >= before));
        }
    });
}

// Guards against a limit that grows while the caller hardly uses the target.
TEST_CASE("a limit that is not used does not grow", "[routing]")
{
    ConcurrencyLimit limit(SlotCount(20), 5);
    for (int answer = 0; answer < 100; ++answer)
        limit.answered(1);
    CHECK(limit.value() == 4);
    for (int answer = 0; answer < 1'000; ++answer)
        limit.answered(limit.value());
    CHECK(limit.value() == 20);
}

} // namespace dandeliondock
