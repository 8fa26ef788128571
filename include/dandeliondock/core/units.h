#pragma once

#include <dandeliondock/core/strong_type.h>

#include <chrono>
#include <cstdint>

namespace dandeliondock {

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// \brief A point on this process's monotonic clock; meaningless to other processes.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Microseconds>;
/// \brief A point on the wall clock, in UTC; what instances share.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// \brief Number of requests that a target works on at once.
using SlotCount = StrongType<struct SlotCountTag, std::uint32_t>;
/// \brief Number of connections.
using ConnectionCount = StrongType<struct ConnectionCountTag, std::uint32_t>;
/// \brief Number of bytes.
using ByteCount = StrongType<struct ByteCountTag, std::uint64_t>;
/// \brief A share of traffic in parts of 10,000.
using Share = StrongType<struct ShareTag, std::uint32_t>;

inline constexpr Share noShare{0};
inline constexpr Share fullShare{10'000};

} // namespace dandeliondock
