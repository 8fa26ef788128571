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

/// \brief A connection on which a test writes and reads bytes, to show what a library does on the wire.
class RawConnection
{
public:
    explicit RawConnection(int socket) : m_socket(socket) {}

    /// \brief Connects to a port of the loopback interface.
    explicit RawConnection(std::uint16_t port);
    ~RawConnection();

    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    void write(const std::string &bytes) const;

    /// \brief Reads until \c end was received, the peer closed or 5 s passed; everything received.
    [[nodiscard]] std::string readUntil(const std::string &end) const;

    /// \brief Reads until the peer closed or 5 s passed.
    [[nodiscard]] std::string readAll() const { return readUntil({}); }

private:
    int m_socket;
};

/// \brief A listener that runs a script for each connection, on a thread of its own.
class RawListener
{
public:
    /// \brief Called with the connection and its number, from 0.
    using Script = std::function<void(const RawConnection &, int)>;

    explicit RawListener(Script script);
    ~RawListener();

    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    [[nodiscard]] Address address() const;

    [[nodiscard]] int connections() const { return m_connections; }

private:
    void accept();

    Script m_script;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<int> m_connections{0};
    std::vector<std::thread> m_scripts;
    std::thread m_acceptor;
};

} // namespace dandeliondock::testing
