#pragma once

#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/time_source.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/store/store_hooks.h>

#include <cstdint>
#include <memory>
#include <mutex>

namespace dandeliondock::standins {

/// \brief Faults that a FaultInjector adds to the calls of the platform's store; all are off by default.
struct StoreFaults
{
    bool outage = false;               ///< refuses every call
    Milliseconds delay{0};             ///< added to the duration of every call
    Share lostResponses;               ///< writes that take effect but whose response is dropped
    Share lostRequests;                ///< writes that are dropped before they take effect
    Share refusals;                    ///< share of calls to refuse
    std::uint32_t readsPerSecond = 0;  ///< 0 for no limit
    std::uint32_t writesPerSecond = 0; ///< 0 for no limit
};

enum class CallKind { Read, Write };

/// \brief What to do with a call.
enum class FaultDecision { Serve, Refuse, LimitRate, DropResponse, DropRequest };

/// \brief Number of calls by kind, of refused calls, and of writes whose request or response was dropped.
struct CallCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0;
};

/// \brief Decides for each call which fault applies, from the faults that are set, their rate limits and a random
/// source. Thread-safe.
class FaultInjector
{
public:
    FaultInjector(TimeSource time, RandomSource random);

    void set(const StoreFaults &faults);
    [[nodiscard]] StoreFaults faults() const;
    [[nodiscard]] CallCounts counts() const;

    /// \brief Counts a call and returns what to do with it.
    [[nodiscard]] FaultDecision decide(CallKind kind);

private:
    // Counts a call of the current second; returns whether the rate limit of its kind was already reached.
    [[nodiscard]] bool exceedsRateLimit(CallKind kind);
    // Returns true with the given probability.
    [[nodiscard]] bool occurs(Share probability);

    mutable std::mutex m_mutex;
    TimeSource m_time;
    RandomSource m_random;
    StoreFaults m_faults;
    CallCounts m_counts;
    std::int64_t m_currentSecond = 0;
    std::uint32_t m_readsThisSecond = 0;
    std::uint32_t m_writesThisSecond = 0;
};

/// \brief Returns hooks that call \c inner with the faults of \c injector added. Thread-safe if \c inner is.
[[nodiscard]] StoreHooks faultyStore(StoreHooks inner, const std::shared_ptr<FaultInjector> &injector);

} // namespace dandeliondock::standins
