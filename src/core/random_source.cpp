#include <dandeliondock/core/random_source.h>

#include <absl/numeric/int128.h>
#include <absl/random/random.h>

#include <memory>
#include <random>

namespace dandeliondock {

RandomSource systemRandom()
{
    auto generator = std::make_shared<absl::BitGen>();
    return [generator] { return (*generator)(); };
}

RandomSource seededRandom(std::uint64_t seed)
{
    auto generator = std::make_shared<std::mt19937_64>(seed);
    return [generator] { return (*generator)(); };
}

std::uint64_t uniformBelow(const RandomSource &random, std::uint64_t bound)
{
    // The high half of the 128-bit product is uniform to within bound / 2^64.
    return absl::Uint128High64(absl::uint128(random()) * bound);
}

} // namespace dandeliondock
