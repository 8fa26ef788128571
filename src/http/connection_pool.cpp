#include "connection_pool.h"

#include <algorithm>
#include <utility>

namespace dandeliondock::impl {

Connection ConnectionPool::open() const
{
    Connection connection;
    connection.multi.reset(curl_multi_init());
    connection.easy.reset(curl_easy_init());
    connection.opened = m_time.monotonic();
    curl_multi_setopt(connection.multi.get(), CURLMOPT_MAXCONNECTS, 1L);
    return connection;
}

Connection ConnectionPool::take(const Address &address, const SendOptions &options)
{
    const MonotonicTime now = m_time.monotonic();
    std::vector<Connection> expired; // closed after the lock is released
    const std::scoped_lock lock(m_mutex);
    const auto found = m_idle.find(address);
    if (options.freshConnection || found == m_idle.end())
        return open();
    std::vector<Connection> &idle = found->second;
    const auto firstYoung = std::find_if(idle.begin(), idle.end(), [&](const Connection &connection) {
        return now - connection.lastAnswer <= m_limits.maxIdle;
    });
    std::move(idle.begin(), firstYoung, std::back_inserter(expired));
    idle.erase(idle.begin(), firstYoung);
    if (idle.empty())
        return open();
    const Connection &latest = idle.back();
    if (options.provenWithin && now - latest.lastAnswer > *options.provenWithin)
        return open();
    Connection connection = std::move(idle.back());
    idle.pop_back();
    return connection;
}

void ConnectionPool::giveBack(const Address &address, Connection connection)
{
    const MonotonicTime now = m_time.monotonic();
    if (now - connection.opened > m_limits.maxAge)
        return;
    connection.lastAnswer = now;
    Connection oldest; // closed after the lock is released
    const std::scoped_lock lock(m_mutex);
    std::vector<Connection> &idle = m_idle[address];
    idle.push_back(std::move(connection));
    if (idle.size() <= m_limits.idlePerAddress.value())
        return;
    oldest = std::move(idle.front());
    idle.erase(idle.begin());
}

std::size_t ConnectionPool::idle(const Address &address) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_idle.find(address);
    return found == m_idle.end() ? 0 : found->second.size();
}

} // namespace dandeliondock::impl
