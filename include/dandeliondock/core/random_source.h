#pragma once

#include <cstdint>
#include <functional>

namespace dandeliondock {

/// \brief Hook that returns a uniformly distributed 64-bit random number.
using RandomSource = std::function<std::uint64_t()>;

/// \brief Returns a random source for one thread, seeded by the operating system.
///
/// \remark The hook is not thread-safe; each thread needs its own.
[[nodiscard]] RandomSource systemRandom();

/// \brief Returns a random source that repeats the same numbers for the same seed, for tests.
///
/// \remark The hook is not thread-safe.
[[nodiscard]] RandomSource seededRandom(std::uint64_t seed);

/// \brief Returns a uniformly distributed number in [0, \c bound).
/// \pre \c bound is greater than 0.
[[nodiscard]] std::uint64_t uniformBelow(const RandomSource &random, std::uint64_t bound);

} // namespace dandeliondock
