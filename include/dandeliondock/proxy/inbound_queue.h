#pragma once

#include <dandeliondock/admission/admission_queue.h>
#include <dandeliondock/admission/class_shares.h>
#include <dandeliondock/config/resources.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/proxy/target_load.h>
#include <dandeliondock/routing/work_class_queue.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Capacity of the queue of one target for each of its slots.
inline constexpr std::size_t queueCapacityPerSlot = 4;
/// \brief Smallest capacity of the queue.
inline constexpr std::size_t minQueueCapacity = 16;
/// \brief Assumed processing time of a request until the first one has finished.
inline constexpr Milliseconds assumedWorkTime{100};

/// \brief Whether an arriving request runs, waits or is refused.
enum class InboundVerdict { Run, Wait, Refuse };

/// \brief Admission decision with the displaced waiter and a retry hint.
struct InboundAdmission
{
    InboundVerdict verdict = InboundVerdict::Run;
    std::vector<WaiterId> displaced; ///< waiters that are worth less and are refused in its place
    Microseconds retryAfter{0};      ///< for Refuse: time until a slot is likely to be free
};

/// \brief Number of deviations above the mean within which nearly every request of a route finishes. A request admitted
/// with less time left would occupy a slot and finish too late.
inline constexpr int workDeviations = 3;

/// \brief Properties of a request that the queue uses.
struct InboundWork
{
    RouteName route; ///< requests of one route have similar processing times
    WorkClass workClass = WorkClass::Interactive;
    Microseconds maxWait{0}; ///< a request that would wait for longer is refused; 0 for no limit
};

/// \brief Decides which requests the target processes, which wait and which are refused at once.
///
/// Load pattern: more requests than slots. A request that cannot finish in time is refused on arrival, so that it takes
/// no slot and its caller can try another target.
///
/// \remark Not thread-safe.
class InboundQueue
{
public:
    /// \brief Sets how many requests the target processes at once.
    void setSlots(SlotCount slots);

    /// \brief Decides on a request that should finish by \c deadline. A request that runs takes a slot.
    /// \pre \c id is not in the queue.
    [[nodiscard]] InboundAdmission admit(WaiterId id, const InboundWork &work, MonotonicTime deadline,
                                         MonotonicTime now);

    /// \brief Releases the slot of a request that ran. \c workTime is its processing time, or empty when that says
    /// nothing about the speed of the target.
    void recordFinished(const RouteName &route, std::optional<Microseconds> workTime);

    /// \brief Removes and returns the next waiter and takes a slot for it; empty without a free slot or a waiter.
    [[nodiscard]] std::optional<WaiterId> takeNext();

    /// \brief Removes a waiter that is not going to run.
    void withdraw(WaiterId id) { m_queue.withdraw(id); }

    /// \brief Returns the number of running and waiting requests and of slots.
    [[nodiscard]] TargetLoad load() const noexcept;

    /// \brief Returns the mean work time of a route; 0 when it is unknown.
    [[nodiscard]] Microseconds workTime(const RouteName &route) const;

private:
    struct WorkTime
    {
        Microseconds mean{0};
        Microseconds deviation{0}; ///< mean absolute deviation
    };

    [[nodiscard]] WorkTime expectedWork(const RouteName &route) const;

    std::uint32_t m_slots = 1;
    std::uint32_t m_running = 0;
    AdmissionQueue m_queue{minQueueCapacity};
    ClassShares m_classShares;
    Microseconds m_meanWorkTime = assumedWorkTime;
    absl::flat_hash_map<RouteName, WorkTime> m_routeWorkTimes;
};

} // namespace dandeliondock
