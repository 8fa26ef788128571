#pragma once

#include <dandeliondock/config/resources.h>
#include <dandeliondock/core/strong_type.h>
#include <dandeliondock/core/units.h>

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Id of a request that waits for a target.
using WaiterId = StrongType<struct WaiterIdTag, std::uint64_t>;

/// \brief Estimate of how fast a queue drains.
struct DrainEstimate
{
    Microseconds dequeueInterval{0}; ///< time between two requests that leave the queue
    Microseconds perRequest{0};      ///< execution time of the request itself
};

/// \brief Whether a request was queued, and the reason if not.
enum class AdmissionVerdict { Queued, Overloaded, DeadlineUnmeetable };

/// \brief Result of offering a request to the queue.
struct Admission
{
    AdmissionVerdict verdict = AdmissionVerdict::Queued;
    std::optional<WaiterId> displaced; ///< request of a lower class that was removed to make room and is to be refused
};

/// \brief Bounded priority queue of requests that wait for a target of one service: critical requests are served first,
/// deferrable ones are refused first.
///
/// Within a work class the request with the earliest deadline is served first, so that a short nested call of a request
/// in progress is not delayed by long work of the same class.
///
/// \remark Not thread-safe.
class WorkClassQueue
{
public:
    /// \pre \c capacity is at least 4.
    explicit WorkClassQueue(std::size_t capacity) : m_capacity(capacity) {}

    /// \brief Queues a request, or refuses it at once if its deadline cannot be met or the queue is full.
    /// \pre \c id is not in the queue.
    [[nodiscard]] Admission admit(WaiterId id, WorkClass workClass, MonotonicTime deadline, MonotonicTime now,
                                  const DrainEstimate &drain);

    /// \brief Sets how many requests may wait; requests that are already waiting stay.
    /// \pre \c capacity is at least 4.
    void setCapacity(std::size_t capacity) noexcept { m_capacity = capacity; }

    /// \brief Removes and returns the request to serve next; empty when the queue is empty.
    [[nodiscard]] std::optional<WaiterId> takeFirst();

    /// \brief Returns the waiting requests in the order in which they are served.
    [[nodiscard]] std::vector<WaiterId> order() const;

    /// \brief Removes a request; has no effect when it is not in the queue.
    void withdraw(WaiterId id);

    /// \brief Returns the number of waiting requests of this class or a higher one.
    [[nodiscard]] std::size_t countAhead(WorkClass workClass) const noexcept;

    /// \brief Returns the number of waiting requests that would be served before one of this class and deadline.
    [[nodiscard]] std::size_t countAhead(WorkClass workClass, MonotonicTime deadline) const noexcept;

    /// \brief Returns the number of waiting requests.
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct Waiter
    {
        WaiterId id;
        MonotonicTime deadline;
    };

    [[nodiscard]] std::size_t capacityFor(WorkClass workClass) const noexcept;
    [[nodiscard]] std::optional<WaiterId> displaceLowerClass(WorkClass workClass);

    std::size_t m_capacity;
    std::array<std::vector<Waiter>, 3> m_waiters; ///< by work class; an empty vector allocates no memory
};

} // namespace dandeliondock
