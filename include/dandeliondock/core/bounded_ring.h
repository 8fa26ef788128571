#pragma once

#include <dandeliondock/core/units.h>

#include <boost/circular_buffer.hpp>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>

namespace dandeliondock {

/// \brief What a push does when the ring is full.
enum class OverflowPolicy {
    Block,      ///< the push blocks until there is room
    Reject,     ///< the push fails with PushResult::Full
    DropOldest, ///< the oldest item is dropped and counted
};

/// \brief Result of a push; Full and Closed mean that the item was not added.
enum class PushResult { Pushed, DroppedOldest, Full, Closed };

/// \brief A bounded FIFO queue that passes items between the threads of duties.
///
/// \remark Every method is thread-safe. Waiting threads block on a condition variable; they do not spin.
template <typename Item>
class BoundedRing
{
public:
    /// \pre \c capacity is greater than 0.
    BoundedRing(std::size_t capacity, OverflowPolicy overflowPolicy)
        : m_items(capacity), m_overflowPolicy(overflowPolicy)
    {
    }

    BoundedRing(const BoundedRing &) = delete;
    BoundedRing &operator=(const BoundedRing &) = delete;

    /// \brief Adds an item; blocks only with OverflowPolicy::Block.
    PushResult push(Item item)
    {
        std::unique_lock lock(m_mutex);
        if (m_overflowPolicy == OverflowPolicy::Block)
            m_hasRoom.wait(lock, [this] { return m_closed || !m_items.full(); });
        if (m_closed)
            return PushResult::Closed;
        if (m_items.full() && m_overflowPolicy == OverflowPolicy::Reject)
            return PushResult::Full;
        const bool dropped = m_items.full();
        if (dropped)
            ++m_dropped;
        m_items.push_back(std::move(item));
        lock.unlock();
        m_hasItems.notify_one();
        return dropped ? PushResult::DroppedOldest : PushResult::Pushed;
    }

    /// \brief Removes and returns the oldest item; blocks until there is one. Empty once the ring is closed and has no
    /// items left.
    [[nodiscard]] std::optional<Item> pop()
    {
        std::unique_lock lock(m_mutex);
        m_hasItems.wait(lock, [this] { return m_closed || !m_items.empty(); });
        return popFront(lock);
    }

    /// \brief Removes and returns the oldest item; blocks for at most \c limit. Empty on timeout, or once the ring is
    /// closed and has no items left.
    [[nodiscard]] std::optional<Item> popFor(Microseconds limit)
    {
        std::unique_lock lock(m_mutex);
        m_hasItems.wait_for(lock, limit, [this] { return m_closed || !m_items.empty(); });
        return popFront(lock);
    }

    /// \brief Closes the ring and wakes all waiting threads. Later pushes fail; items in the ring can still be popped.
    void close()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_closed = true;
        }
        m_hasItems.notify_all();
        m_hasRoom.notify_all();
    }

    [[nodiscard]] bool closed() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_closed;
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_items.size();
    }

    [[nodiscard]] std::size_t capacity() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_items.capacity();
    }

    /// \brief Number of items dropped because of OverflowPolicy::DropOldest.
    [[nodiscard]] std::uint64_t dropped() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_dropped;
    }

private:
    std::optional<Item> popFront(std::unique_lock<std::mutex> &lock)
    {
        if (m_items.empty())
            return std::nullopt;
        std::optional<Item> item(std::move(m_items.front()));
        m_items.pop_front();
        lock.unlock();
        m_hasRoom.notify_one();
        return item;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_hasItems;
    std::condition_variable m_hasRoom;
    boost::circular_buffer<Item> m_items;
    OverflowPolicy m_overflowPolicy;
    std::uint64_t m_dropped = 0;
    bool m_closed = false;
};

} // namespace dandeliondock
