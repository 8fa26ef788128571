#pragma once

#include <dandeliondock/core/bounded_ring.h>
#include <dandeliondock/http/event_loop.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace dandeliondock {

/// \brief A bounded ring whose items are handled on the event loop of the receiving duty.
///
/// \remark push() and dropped() are thread-safe; the handler runs on the loop's thread. The mailbox must exist until
/// the loop has stopped.
template <typename Item>
class Mailbox
{
public:
    /// \pre \c capacity is greater than 0.
    Mailbox(EventLoop &reader, std::size_t capacity, std::function<void(Item)> handler)
        : m_reader(reader), m_ring(capacity, OverflowPolicy::DropOldest), m_handler(std::move(handler))
    {
    }

    /// \brief Adds an item and schedules the handler unless that is already scheduled. Drops the oldest item when full.
    PushResult push(Item item)
    {
        const PushResult result = m_ring.push(std::move(item));
        if (!m_isScheduled.exchange(true))
            m_reader.post([this] { drain(); });
        return result;
    }

    /// \brief Returns the number of items that were dropped because the ring was full.
    [[nodiscard]] std::uint64_t dropped() const { return m_ring.dropped(); }

private:
    void drain()
    {
        m_isScheduled.store(false);
        while (m_ring.size() > 0) {
            std::optional<Item> item = m_ring.popFor(Microseconds{0});
            if (item)
                m_handler(std::move(*item));
        }
    }

    EventLoop &m_reader;
    BoundedRing<Item> m_ring;
    std::function<void(Item)> m_handler;
    std::atomic<bool> m_isScheduled{false};
};

} // namespace dandeliondock
