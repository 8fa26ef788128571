#pragma once

#include <absl/strings/string_view.h>

#include <cstdint>

namespace dandeliondock {

/// \brief Returns a hash that is the same in every process and release, for values that all nodes must compute alike.
/// Thread-safe.
[[nodiscard]] std::uint64_t stableHash(absl::string_view text, std::uint64_t seed = 0) noexcept;

/// \brief Combines two hashes into one; the order of the arguments matters. Thread-safe.
[[nodiscard]] std::uint64_t stableCombine(std::uint64_t first, std::uint64_t second) noexcept;

} // namespace dandeliondock
