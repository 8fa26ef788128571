#include "connection_pool.h"

#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

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

ConnectionPool::AddressState &ConnectionPool::stateOf(const Address &address, const SendOptions &options)
{
    AddressState &state =
            m_addresses.try_emplace(address, AddressState{{}, 0, m_limits.perAddress.value()}).first->second;
    if (options.connectionLimit)
        state.limit = options.connectionLimit->value();
    return state;
}

void ConnectionPool::removeExpired(AddressState &state, MonotonicTime now, std::vector<Connection> &closing) const
{
    const auto firstUnexpired = std::find_if(state.idle.begin(), state.idle.end(), [&](const Connection &connection) {
        return now - connection.lastResponse <= m_limits.maxIdle;
    });
    std::move(state.idle.begin(), firstUnexpired, std::back_inserter(closing));
    state.idle.erase(state.idle.begin(), firstUnexpired);
}

std::optional<Connection> ConnectionPool::takeIdle(AddressState &state, const SendOptions &options,
                                                   MonotonicTime now) const
{
    if (options.forceNewConnection || state.idle.empty())
        return std::nullopt;
    if (options.maxConnectionIdle && now - state.idle.back().lastResponse > *options.maxConnectionIdle)
        return std::nullopt;
    Connection connection = std::move(state.idle.back());
    state.idle.pop_back();
    return connection;
}

absl::StatusOr<Connection> ConnectionPool::acquire(const Address &address, const SendOptions &options)
{
    const MonotonicTime now = m_time.monotonic();
    std::vector<Connection> closing; // closed after the lock is released and before the new connection is opened
    {
        const std::scoped_lock lock(m_mutex);
        AddressState &state = stateOf(address, options);
        removeExpired(state, now, closing);
        std::optional<Connection> reusable = takeIdle(state, options, now);
        if (!reusable && state.inUse >= state.limit)
            return makeError(ErrorKind::ConnectionLimit, absl::StrCat(address.value(), ": all connections are in use"));
        ++state.inUse;
        if (reusable)
            return *std::move(reusable);
        while (state.connections() > state.limit && !state.idle.empty()) {
            closing.push_back(std::move(state.idle.front()));
            state.idle.erase(state.idle.begin());
        }
    }
    closing.clear();
    return open();
}

void ConnectionPool::release(const Address &address, Connection connection)
{
    const MonotonicTime now = m_time.monotonic();
    connection.lastResponse = now;
    Connection surplus; // closed after the lock is released
    const std::scoped_lock lock(m_mutex);
    AddressState &state = m_addresses.at(address);
    --state.inUse;
    if (now - connection.opened > m_limits.maxAge || state.connections() >= state.limit) {
        surplus = std::move(connection);
        return;
    }
    state.idle.push_back(std::move(connection));
    if (state.idle.size() <= m_limits.maxIdlePerAddress.value())
        return;
    surplus = std::move(state.idle.front());
    state.idle.erase(state.idle.begin());
}

void ConnectionPool::discard(const Address &address, Connection connection)
{
    connection = Connection(); // closed before it is no longer counted, so that the limit holds
    const std::scoped_lock lock(m_mutex);
    --m_addresses.at(address).inUse;
}

std::size_t ConnectionPool::idle(const Address &address) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_addresses.find(address);
    return found == m_addresses.end() ? 0 : found->second.idle.size();
}

std::size_t ConnectionPool::connections(const Address &address) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_addresses.find(address);
    return found == m_addresses.end() ? 0 : found->second.connections();
}

} // namespace dandeliondock::impl
