#include <dandeliondock/core/random_source.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {

// Guards against a random number outside its range, which would index past the end of a list of targets.
TEST_CASE("uniform random numbers stay below their bound", "[core]")
{
    rc::prop("0 <= number < bound", [](std::uint64_t seed) {
        const std::uint64_t bound = *rc::gen::inRange<std::uint64_t>(1, UINT64_MAX);
        const RandomSource random = seededRandom(seed);
        RC_ASSERT(uniformBelow(random, bound) < bound);
        RC_ASSERT(uniformBelow(random, 1) == 0);
    });
}

} // namespace dandeliondock
