#pragma once

#include <dandeliondock/core/ids.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace dandeliondock::testing {

/// \brief TCP connection on which a test writes and reads raw bytes, to check what a library sends on the wire.
class RawConnection
{
public:
    /// \brief Takes ownership of a connected socket.
    explicit RawConnection(int socket) : m_socket(socket) {}

    /// \brief Connects to a port of the loopback interface.
    ///
    /// \remark Throws std::runtime_error if the connection fails.
    explicit RawConnection(std::uint16_t port);
    ~RawConnection();

    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /// \brief Writes \c bytes; returns without an error if the connection fails.
    void write(const std::string &bytes) const;

    /// \brief Reads until \c delimiter is received, the peer closes the connection or no byte arrives for 5 s.
    ///
    /// \return All bytes that were received.
    [[nodiscard]] std::string readUntil(const std::string &delimiter) const;

    /// \brief Reads until the peer closes the connection or no byte arrives for 5 s, and returns all bytes received.
    [[nodiscard]] std::string readAll() const { return readUntil({}); }

private:
    int m_socket;
};

/// \brief TCP listener on the loopback interface that runs a script for each connection, each on its own thread.
class RawListener
{
public:
    /// \brief Called with the connection and its number; the first connection has number 0.
    using Script = std::function<void(const RawConnection &, int)>;

    /// \remark Throws std::runtime_error if the listener can't be opened.
    explicit RawListener(Script script);
    ~RawListener();

    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    [[nodiscard]] Address address() const;

    /// \brief Returns the number of connections accepted so far.
    [[nodiscard]] int connections() const { return m_connectionCount; }

private:
    void acceptConnections();

    Script m_script;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<int> m_connectionCount{0};
    std::vector<std::thread> m_scriptThreads;
    std::thread m_acceptThread;
};

} // namespace dandeliondock::testing
