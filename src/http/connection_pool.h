#pragma once

#include <dandeliondock/http/client.h>

#include <curl/curl.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace dandeliondock::impl {

struct EasyCleanup
{
    void operator()(CURL *handle) const { curl_easy_cleanup(handle); }
};

struct MultiCleanup
{
    void operator()(CURLM *handle) const { curl_multi_cleanup(handle); }
};

/// \brief A pair of libcurl handles that holds at most one connection.
struct Connection
{
    std::unique_ptr<CURLM, MultiCleanup> multi;
    std::unique_ptr<CURL, EasyCleanup> easy;
    MonotonicTime opened;
    MonotonicTime lastResponse;
};

/// \brief Holds the idle connections to each address and counts those in use. Every method is thread-safe.
class ConnectionPool
{
public:
    ConnectionPool(PoolLimits limits, TimeSource time) : m_limits(limits), m_time(std::move(time)) {}

    /// \brief Returns the most recently used idle connection that \c options allow, else a new connection.
    ///
    /// \remark At the limit of the address, the least recently used idle connection is closed to make room for a new
    /// one. Each acquired connection must be passed to release() or discard().
    /// \return ConnectionLimit when as many connections as the limit allows are in use.
    [[nodiscard]] absl::StatusOr<Connection> acquire(const Address &address, const SendOptions &options);

    /// \brief Returns a connection to the pool after a complete response; closes it when a limit is exceeded.
    void release(const Address &address, Connection connection);

    /// \brief Closes an acquired connection that must not be reused.
    void discard(const Address &address, Connection connection);

    [[nodiscard]] std::size_t idle(const Address &address) const;

    [[nodiscard]] std::size_t connections(const Address &address) const;

private:
    struct AddressState
    {
        std::vector<Connection> idle; ///< sorted by time of the last response
        std::size_t inUse = 0;
        std::size_t limit = 0;

        [[nodiscard]] std::size_t connections() const { return idle.size() + inUse; }
    };

    [[nodiscard]] Connection open() const;
    [[nodiscard]] AddressState &stateOf(const Address &address, const SendOptions &options);
    void removeExpired(AddressState &state, MonotonicTime now, std::vector<Connection> &closing) const;
    [[nodiscard]] std::optional<Connection> takeIdle(AddressState &state, const SendOptions &options,
                                                     MonotonicTime now) const;

    const PoolLimits m_limits;
    const TimeSource m_time;
    mutable std::mutex m_mutex;
    std::map<Address, AddressState> m_addresses;
};

} // namespace dandeliondock::impl
