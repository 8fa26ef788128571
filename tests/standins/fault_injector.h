#pragma once

#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/time_source.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/store/store_hooks.h>

#include <cstdint>
#include <memory>
#include <mutex>

namespace dandeliondock::standins {

/// \brief Switches for the faults of a platform.
struct StoreFaults
{
    bool outage = false;               ///< every call is refused
    Milliseconds delay{0};             ///< added to every call
    Share lostResponses;               ///< writes that take effect and whose response is lost
    Share lostRequests;                ///< writes that take no effect and whose response is lost
    Share refusals;                    ///< calls that are refused
    std::uint32_t readsPerSecond = 0;  ///< 0 for no limit
    std::uint32_t writesPerSecond = 0; ///< 0 for no limit
};

enum class CallKind { Read, Write };

/// \brief What becomes of a call.
enum class FaultDecision { Serve, Refuse, LimitRate, DropResponse, DropRequest };

/// \brief Number of calls by kind and fate.
struct CallCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0;
};

/// \brief Decides the fate of each call from the switches, the rate limits and a random source. Thread-safe.
class FaultInjector
{
public:
    FaultInjector(TimeSource time, RandomSource random);

    void set(const StoreFaults &faults);
    [[nodiscard]] StoreFaults faults() const;
    [[nodiscard]] CallCounts counts() const;

    /// \brief Counts a call and decides its fate.
    [[nodiscard]] FaultDecision decide(CallKind kind);

private:
    [[nodiscard]] bool overRate(CallKind kind);
    [[nodiscard]] bool draw(Share share);

    mutable std::mutex m_mutex;
    TimeSource m_time;
    RandomSource m_random;
    StoreFaults m_faults;
    CallCounts m_counts;
    std::int64_t m_second = 0;
    std::uint32_t m_readsThisSecond = 0;
    std::uint32_t m_writesThisSecond = 0;
};

/// \brief Puts the faults of \c plan around \c inner. Thread-safe if \c inner is.
[[nodiscard]] StoreHooks faultyStore(StoreHooks inner, const std::shared_ptr<FaultInjector> &plan);

} // namespace dandeliondock::standins
