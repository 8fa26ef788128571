#pragma once

#include <dandeliondock/core/units.h>

#include <absl/strings/string_view.h>

#include <atomic>
#include <cstddef>
#include <functional>

namespace dandeliondock::impl {

/// \brief Result of a read with a time limit.
enum class SocketResult { Done, Closed, TimedOut };

/// \brief A connected socket whose reads and writes block for a limited time. Must be used by one thread; shutDown()
/// and shutDownReading() are thread-safe and wake that thread.
class BlockingSocket
{
public:
    /// \brief Takes ownership of the descriptor.
    explicit BlockingSocket(int descriptor);
    ~BlockingSocket();
    BlockingSocket(const BlockingSocket &) = delete;
    BlockingSocket &operator=(const BlockingSocket &) = delete;

    [[nodiscard]] int descriptor() const noexcept { return m_descriptor; }

    /// \brief Waits until bytes can be read or the peer has closed the connection.
    /// \return Done or TimedOut.
    [[nodiscard]] SocketResult waitReadable(Microseconds limit) const;

    /// \brief Reads what has arrived, at most \c size bytes. \c count is above 0 when the result is Done.
    [[nodiscard]] SocketResult read(void *buffer, std::size_t size, Microseconds limit, std::size_t &count) const;

    /// \brief Sends all bytes.
    /// \param onBlocked called before each wait for the peer to read; false stops the sending.
    /// \return False if the peer has closed the connection or accepts no byte for \c stallLimit.
    [[nodiscard]] bool send(absl::string_view bytes, bool hasMore, Milliseconds stallLimit,
                            const std::function<bool()> &onBlocked) const;

    /// \brief Sends no more bytes and waits until the peer has closed its side or \c limit has passed. Bytes that
    /// arrive are dropped: closing a socket with unread bytes resets the connection, and the peer could lose the last
    /// response.
    void linger(Milliseconds limit) const;

    /// \brief Ends the connection; linger() returns at once from now on.
    void shutDown();
    void shutDownReading() const;

private:
    int m_descriptor;
    std::atomic<bool> m_isShutDown{false};
};

} // namespace dandeliondock::impl
