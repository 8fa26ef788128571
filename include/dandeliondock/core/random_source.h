#pragma once

#include <cstdint>
#include <functional>

namespace dandeliondock {

/// \brief Hook that draws a uniform 64-bit number.
using RandomSource = std::function<std::uint64_t()>;

/// \brief A source for one thread, seeded by the operating system.
///
/// \remark The hook is not thread-safe; each thread takes its own.
[[nodiscard]] RandomSource systemRandom();

/// \brief A repeatable source for tests.
///
/// \remark The hook is not thread-safe.
[[nodiscard]] RandomSource seededRandom(std::uint64_t seed);

/// \brief A number in [0, bound).
/// \pre \c bound is greater than 0.
[[nodiscard]] std::uint64_t uniformBelow(const RandomSource &random, std::uint64_t bound);

} // namespace dandeliondock
