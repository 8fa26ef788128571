#pragma once

#include <dandeliondock/core/strong_type.h>

#include <chrono>
#include <cstdint>

namespace dandeliondock {

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// \brief A time on the monotonic clock of this process; meaningless to other processes.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Microseconds>;
/// \brief A time on the wall clock, in UTC; used for times that are exchanged between instances.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// \brief Number of requests that a target can process concurrently.
using SlotCount = StrongType<struct SlotCountTag, std::uint32_t>;
using ConnectionCount = StrongType<struct ConnectionCountTag, std::uint32_t>;
using ByteCount = StrongType<struct ByteCountTag, std::uint64_t>;
/// \brief Transfer rate in bytes per second.
using DataRate = StrongType<struct DataRateTag, std::uint64_t>;
/// \brief Number of open file descriptors.
using DescriptorCount = StrongType<struct DescriptorCountTag, std::uint32_t>;
/// \brief Requests per second.
using RequestRate = StrongType<struct RequestRateTag, double>;
/// \brief A number of requests, fractions included.
using RequestAmount = StrongType<struct RequestAmountTag, double>;
/// \brief A share of the traffic, in units of 1/10,000.
using Share = StrongType<struct ShareTag, std::uint32_t>;

inline constexpr Share noShare{0};
inline constexpr Share fullShare{10'000};

} // namespace dandeliondock
