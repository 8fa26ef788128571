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

/// \brief A handle of libcurl that holds at most one connection.
struct Connection
{
    std::unique_ptr<CURLM, MultiCleanup> multi;
    std::unique_ptr<CURL, EasyCleanup> easy;
    MonotonicTime opened;
    MonotonicTime lastAnswer;
};

/// \brief The connections to each address: the idle ones and the number in use. Every method is thread-safe.
class ConnectionPool
{
public:
    ConnectionPool(PoolLimits limits, TimeSource time) : m_limits(limits), m_time(std::move(time)) {}

    /// \brief The idle connection that was used last, or a new one when none satisfies \c options.
    ///
    /// \remark A new one takes the place of the oldest idle one when the address is at its limit. Each connection that
    /// is taken ends with giveBack() or discard().
    /// \return ConnectionLimit when every connection that the address may have is in use.
    [[nodiscard]] absl::StatusOr<Connection> take(const Address &address, const SendOptions &options);

    /// \brief Keeps a connection whose answer was received whole, within the limits.
    void giveBack(const Address &address, Connection connection);

    /// \brief Closes a connection that must not be used again.
    void discard(const Address &address, Connection connection);

    [[nodiscard]] std::size_t idle(const Address &address) const;

    [[nodiscard]] std::size_t connections(const Address &address) const;

private:
    struct AddressState
    {
        std::vector<Connection> idle; ///< sorted by last use
        std::size_t inUse = 0;
        std::size_t limit = 0;

        [[nodiscard]] std::size_t connections() const { return idle.size() + inUse; }
    };

    [[nodiscard]] Connection open() const;
    [[nodiscard]] AddressState &stateOf(const Address &address, const SendOptions &options);
    void dropExpired(AddressState &state, MonotonicTime now, std::vector<Connection> &closing) const;
    [[nodiscard]] std::optional<Connection> takeIdle(AddressState &state, const SendOptions &options,
                                                     MonotonicTime now) const;

    const PoolLimits m_limits;
    const TimeSource m_time;
    mutable std::mutex m_mutex;
    std::map<Address, AddressState> m_addresses;
};

} // namespace dandeliondock::impl
