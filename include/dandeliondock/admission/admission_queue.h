#pragma once

#include <dandeliondock/admission/request_value.h>
#include <dandeliondock/routing/work_class_queue.h>

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief Factor by which a request must be worth more for its work than a waiting one of its class to displace it.
/// Smaller differences are within the scatter of work times.
inline constexpr double displacementGain = 1.5;

/// \brief Speed at which the queue drains.
struct DrainRate
{
    std::uint32_t slots = 1;
    Microseconds meanWork{0};   ///< of the requests that run
    Microseconds workMargin{0}; ///< added to the expected work of an arriving request, for the scatter of work times
};

/// \brief A request that leaves the queue to be served.
struct QueuedRequest
{
    WaiterId id;
    WorkClass workClass = WorkClass::Interactive;
};

/// \brief Result of offering a request to the queue.
struct QueueDecision
{
    bool isQueued = false;
    std::vector<WaiterId> displaced; ///< waiters that were removed and are to be refused
};

/// \brief Bounded queue of requests that wait for the slots of one target. Decides which of them are worth a slot.
///
/// Order of service: by work class, then by soft deadline. Shedding: a request that could not end in time is not
/// queued. Where several requests of a class cannot all end in time, the one with the least value for its work leaves,
/// as in the schedule with the fewest late jobs (Moore and Hodgson). A request of a higher class is never displaced for
/// one of a lower class.
///
/// \remark Not thread-safe.
class AdmissionQueue
{
public:
    /// \pre \c capacity is at least 4.
    explicit AdmissionQueue(std::size_t capacity) : m_capacity(capacity) {}

    /// \brief Sets how many requests may wait; requests that are already waiting stay.
    /// \pre \c capacity is at least 4.
    void setCapacity(std::size_t capacity) noexcept { m_capacity = capacity; }

    /// \brief Queues a request or refuses it.
    /// \pre \c id is not in the queue, and \c rate.slots is greater than 0.
    [[nodiscard]] QueueDecision admit(WaiterId id, const RequestTerms &terms, const DrainRate &rate, MonotonicTime now);

    /// \brief Removes and returns the request to serve next; empty when the queue is empty.
    [[nodiscard]] std::optional<QueuedRequest> takeFirst();

    /// \brief Removes a request; has no effect when it is not in the queue.
    void withdraw(WaiterId id);

    /// \brief Returns the time until a request of a class that arrives now would get a slot.
    /// \pre \c rate.slots is greater than 0.
    [[nodiscard]] Microseconds expectedWait(WorkClass workClass, const DrainRate &rate) const;

    /// \brief Returns the number of waiting requests.
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct Waiter
    {
        WaiterId id;
        RequestTerms terms;
    };
    using Waiters = std::vector<Waiter>; ///< of one class, in the order of service

    [[nodiscard]] Microseconds workOfHigherClasses(WorkClass workClass) const;
    [[nodiscard]] std::size_t capacityFor(WorkClass workClass) const noexcept;
    [[nodiscard]] std::optional<WaiterId> makeRoom(const RequestTerms &terms, MonotonicTime now);
    void dropLate(WorkClass workClass, const DrainRate &rate, MonotonicTime now, std::vector<WaiterId> &dropped);

    std::size_t m_capacity;
    std::array<Waiters, 3> m_waiters; ///< by work class; an empty vector allocates no memory
};

} // namespace dandeliondock
