#pragma once

#include <dandeliondock/config/resources.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/proxy/target_load.h>
#include <dandeliondock/routing/work_class_queue.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>

namespace dandeliondock {

/// \brief Requests that may wait for one target, in multiples of its slots.
inline constexpr std::size_t queuePerSlot = 4;
/// \brief Smallest capacity of the queue.
inline constexpr std::size_t smallestQueue = 16;
/// \brief Time that a request is taken to need before the first one ended.
inline constexpr Milliseconds assumedWorkTime{100};

/// \brief What becomes of a request that arrives at a target.
enum class InboundVerdict { Run, Wait, Refuse };

/// \brief Verdict on an arriving request.
struct InboundAdmission
{
    InboundVerdict verdict = InboundVerdict::Run;
    std::optional<WaiterId> displaced; ///< a waiter of a lower class that is refused in its stead
    Microseconds retryAfter{0};        ///< of Refuse: when a slot is likely to be free
};

/// \brief Deviations above the mean within which nearly every request of a route ends: one that is let in with less
/// time left would take a slot and end too late.
inline constexpr int workDeviations = 3;

/// \brief What the queue is told of a request.
struct InboundWork
{
    RouteName route; ///< requests of one route need about the same time
    WorkClass workClass = WorkClass::Interactive;
};

/// \brief Decides which requests a target works on, which wait and which are refused at once.
///
/// Load pattern: more requests than slots. A request that cannot end in time is refused on arrival, so that no slot is
/// spent on it and its caller can go elsewhere.
///
/// \remark Not thread-safe.
class InboundQueue
{
public:
    /// \brief Sets how many requests the target works on at once.
    void setSlots(SlotCount slots);

    /// \brief Offers a request that should end by \c deadline.
    [[nodiscard]] InboundAdmission offer(WaiterId id, const InboundWork &work, MonotonicTime deadline,
                                         MonotonicTime now);

    /// \brief A running request of a route ended; \c worked is empty when it showed nothing of the target's speed.
    void recordFinished(const RouteName &route, std::optional<Microseconds> worked);

    /// \brief The waiter that runs next, if a slot is free for one.
    [[nodiscard]] std::optional<WaiterId> takeNext();

    /// \brief A waiter leaves without having run.
    void withdraw(WaiterId id) { m_queue.withdraw(id); }

    [[nodiscard]] TargetLoad load() const noexcept;

private:
    struct WorkTime
    {
        Microseconds mean{0};
        Microseconds deviation{0}; ///< mean of the distance from the mean
    };

    [[nodiscard]] DrainEstimate pace(const RouteName &route) const;

    std::uint32_t m_slots = 1;
    std::uint32_t m_running = 0;
    WorkClassQueue m_queue{smallestQueue};
    Microseconds m_meanWork = assumedWorkTime;
    absl::flat_hash_map<RouteName, WorkTime> m_routeWork;
};

} // namespace dandeliondock
