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

/// \brief What a push does to a full ring.
enum class OverflowPolicy {
    Block,      ///< the writer waits for room
    Reject,     ///< the push fails
    DropOldest, ///< the oldest item is lost and counted
};

/// \brief What became of a push.
enum class PushResult { Pushed, DroppedOldest, Full, Closed };

/// \brief A bounded queue between two threads of duty.
///
/// \remark Every method is thread-safe. A waiting thread blocks on a condition variable.
template <typename Item>
class BoundedRing
{
public:
    /// \pre \c capacity is greater than 0.
    BoundedRing(std::size_t capacity, OverflowPolicy whenFull) : m_items(capacity), m_whenFull(whenFull) {}

    BoundedRing(const BoundedRing &) = delete;
    BoundedRing &operator=(const BoundedRing &) = delete;

    /// \brief Adds an item; blocks only with OverflowPolicy::Block.
    PushResult push(Item item)
    {
        std::unique_lock lock(m_mutex);
        if (m_whenFull == OverflowPolicy::Block)
            m_hasRoom.wait(lock, [this] { return m_closed || !m_items.full(); });
        if (m_closed)
            return PushResult::Closed;
        if (m_items.full() && m_whenFull == OverflowPolicy::Reject)
            return PushResult::Full;
        const bool dropped = m_items.full();
        if (dropped)
            ++m_dropped;
        m_items.push_back(std::move(item));
        lock.unlock();
        m_hasItems.notify_one();
        return dropped ? PushResult::DroppedOldest : PushResult::Pushed;
    }

    /// \brief Waits for an item; empty once the ring is closed and drained.
    [[nodiscard]] std::optional<Item> pop()
    {
        std::unique_lock lock(m_mutex);
        m_hasItems.wait(lock, [this] { return m_closed || !m_items.empty(); });
        return takeFront(lock);
    }

    /// \brief Waits for an item at most \c limit; empty on timeout, or once closed and drained.
    [[nodiscard]] std::optional<Item> popFor(Microseconds limit)
    {
        std::unique_lock lock(m_mutex);
        m_hasItems.wait_for(lock, limit, [this] { return m_closed || !m_items.empty(); });
        return takeFront(lock);
    }

    /// \brief Wakes every waiter; later pushes fail, items already held can still be popped.
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

    /// \brief Number of items lost by OverflowPolicy::DropOldest.
    [[nodiscard]] std::uint64_t dropped() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_dropped;
    }

private:
    std::optional<Item> takeFront(std::unique_lock<std::mutex> &lock)
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
    OverflowPolicy m_whenFull;
    std::uint64_t m_dropped = 0;
    bool m_closed = false;
};

} // namespace dandeliondock
