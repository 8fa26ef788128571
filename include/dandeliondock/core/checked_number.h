#pragma once

#include <dandeliondock/core/units.h>

#include <cstdint>
#include <optional>

namespace dandeliondock {

/// \brief Longest duration that a message or a row may name; sums of a clock and a few of them do not overflow.
inline constexpr Milliseconds maxMessageDuration = std::chrono::hours(24);
/// \brief Latest time that a message or a row may name: the end of the year 9999.
inline constexpr WallTime maxMessageTime{Milliseconds(253'402'300'799'999)};
/// \brief Largest number of requests, slots or the like that a message or a row may name.
inline constexpr std::uint32_t maxMessageCount = 1'000'000;

// The functions convert numbers of messages, rows and headers, which any process may have written. They are thread-safe
// and return nothing for a number outside the stated range.

/// \brief Converts a number of milliseconds from -maxMessageDuration to maxMessageDuration.
[[nodiscard]] std::optional<Milliseconds> checkedDuration(std::int64_t milliseconds) noexcept;

/// \brief Converts a number of seconds above 0 and up to maxMessageDuration; NaN is refused.
[[nodiscard]] std::optional<Milliseconds> checkedSeconds(double seconds) noexcept;

/// \brief Converts Unix milliseconds from 0 to maxMessageTime.
[[nodiscard]] std::optional<WallTime> checkedTime(std::int64_t unixMilliseconds) noexcept;

/// \brief Converts a count from 0 to maxMessageCount.
[[nodiscard]] std::optional<std::uint32_t> checkedCount(std::int64_t count) noexcept;

} // namespace dandeliondock
