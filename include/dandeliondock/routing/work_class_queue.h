#pragma once

#include <dandeliondock/config/resources.h>
#include <dandeliondock/core/strong_type.h>
#include <dandeliondock/core/units.h>

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace dandeliondock {

/// \brief A request that waits for a target.
using WaiterId = StrongType<struct WaiterIdTag, std::uint64_t>;

/// \brief How fast the requests before a waiter leave the queue.
struct DrainEstimate
{
    Microseconds dequeueInterval{0}; ///< time between two requests that leave the queue
    Microseconds perRequest{0};      ///< time that the request itself needs
};

enum class AdmissionVerdict { Queued, Overloaded, DeadlineUnmeetable };

/// \brief What becomes of a request that must wait.
struct Admission
{
    AdmissionVerdict verdict = AdmissionVerdict::Queued;
    std::optional<WaiterId> displaced; ///< a request of a lower class that is refused in its stead
};

/// \brief Requests that wait for a target of one service: critical ones leave first, deferrable ones are refused first.
///
/// Within a class the earliest deadline leaves first, so that a short call of a running request is not held up by long
/// work of its own rank.
///
/// \remark Not thread-safe.
class WorkClassQueue
{
public:
    /// \pre \c capacity is at least 4.
    explicit WorkClassQueue(std::size_t capacity) : m_capacity(capacity) {}

    /// \brief Offers a request; one whose deadline cannot be met is refused at once.
    /// \pre \c id waits not yet.
    [[nodiscard]] Admission offer(WaiterId id, WorkClass workClass, MonotonicTime deadline, MonotonicTime now,
                                  const DrainEstimate &pace);

    /// \brief Sets how many may wait; those that wait already stay.
    /// \pre \c capacity is at least 4.
    void setCapacity(std::size_t capacity) noexcept { m_capacity = capacity; }

    /// \brief Takes out the waiter that is served next; empty when none waits.
    [[nodiscard]] std::optional<WaiterId> takeFirst();

    /// \brief The waiters in the order in which they are served.
    [[nodiscard]] std::vector<WaiterId> order() const;

    /// \brief Takes a waiter out; does nothing when it waits no more.
    void withdraw(WaiterId id);

    /// \brief How many requests of this class or a higher one wait.
    [[nodiscard]] std::size_t ahead(WorkClass workClass) const noexcept;

    /// \brief How many requests would leave before one of this class and deadline.
    [[nodiscard]] std::size_t ahead(WorkClass workClass, MonotonicTime deadline) const noexcept;

    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct Waiter
    {
        WaiterId id;
        MonotonicTime deadline;
    };

    [[nodiscard]] std::size_t bound(WorkClass workClass) const noexcept;
    [[nodiscard]] std::optional<WaiterId> displaceBelow(WorkClass workClass);

    std::size_t m_capacity;
    std::array<std::vector<Waiter>, 3> m_waiters; ///< by class; a vector takes no memory while it is empty
};

} // namespace dandeliondock
