#pragma once

#include <dandeliondock/core/units.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace dandeliondock::impl {

/// \brief Counts the connections and requests of a server, for its shutdown. Every method is thread-safe.
class ServerActivity
{
public:
    void addConnection();
    void removeConnection();
    void beginRequest();
    void endRequest();

    /// \brief Returns false if draining had begun before.
    bool startDraining();
    [[nodiscard]] bool isDraining() const noexcept { return m_isDraining; }

    /// \brief The waits of HttpServer.
    [[nodiscard]] bool waitForRequests(Milliseconds limit);
    [[nodiscard]] bool waitDrained(Milliseconds quiet, Milliseconds limit);

    [[nodiscard]] std::size_t activeRequests() const;

private:
    std::atomic<bool> m_isDraining{false};
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_activeRequests = 0;
    std::size_t m_connections = 0;
    std::chrono::steady_clock::time_point m_lastRequestEnd; ///< end of the last request, or startDraining() if later
};

/// \brief A request in progress while the scope lives.
class ActiveRequest
{
public:
    explicit ActiveRequest(ServerActivity &activity) : m_activity(activity) { m_activity.beginRequest(); }
    ~ActiveRequest() { m_activity.endRequest(); }
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

private:
    ServerActivity &m_activity;
};

} // namespace dandeliondock::impl
