#pragma once

#include <dandeliondock/http/client.h>

#include <curl/curl.h>

#include <map>
#include <memory>
#include <mutex>
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

/// \brief Idle connections by address. Every method is thread-safe.
class ConnectionPool
{
public:
    ConnectionPool(PoolLimits limits, TimeSource time) : m_limits(limits), m_time(std::move(time)) {}

    /// \brief The idle connection that was used last, or a new one when none satisfies \c options.
    [[nodiscard]] Connection take(const Address &address, const SendOptions &options);

    /// \brief Keeps a connection whose answer was received whole, within the limits.
    void giveBack(const Address &address, Connection connection);

    [[nodiscard]] std::size_t idle(const Address &address) const;

private:
    [[nodiscard]] Connection open() const;

    const PoolLimits m_limits;
    const TimeSource m_time;
    mutable std::mutex m_mutex;
    std::map<Address, std::vector<Connection>> m_idle; ///< each sorted by last use
};

} // namespace dandeliondock::impl
