#include "server_activity.h"

#include <algorithm>

namespace dandeliondock::impl {

void ServerActivity::addConnection()
{
    const std::scoped_lock lock(m_mutex);
    ++m_connections;
}

void ServerActivity::removeConnection()
{
    const std::scoped_lock lock(m_mutex);
    --m_connections;
    m_changed.notify_all();
}

void ServerActivity::beginRequest()
{
    const std::scoped_lock lock(m_mutex);
    ++m_activeRequests;
}

void ServerActivity::endRequest()
{
    const std::scoped_lock lock(m_mutex);
    --m_activeRequests;
    m_lastRequestEnd = std::chrono::steady_clock::now();
    m_changed.notify_all();
}

bool ServerActivity::startDraining()
{
    const std::scoped_lock lock(m_mutex);
    if (m_isDraining.exchange(true))
        return false;
    m_lastRequestEnd = std::chrono::steady_clock::now();
    return true;
}

bool ServerActivity::waitForRequests(Milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, limit, [this] { return m_activeRequests == 0; });
}

bool ServerActivity::waitDrained(Milliseconds quiet, Milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    const auto end = std::chrono::steady_clock::now() + limit;
    while (m_connections > 0) {
        const auto now = std::chrono::steady_clock::now();
        const bool isIdle = m_activeRequests == 0;
        const auto quietAt = m_lastRequestEnd + quiet;
        if (now >= end || (isIdle && now >= quietAt))
            return isIdle;
        m_changed.wait_until(lock, isIdle ? std::min(quietAt, end) : end);
    }
    return true;
}

std::size_t ServerActivity::activeRequests() const
{
    const std::scoped_lock lock(m_mutex);
    return m_activeRequests;
}

} // namespace dandeliondock::impl
