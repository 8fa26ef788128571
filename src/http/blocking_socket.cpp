#include "blocking_socket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace dandeliondock::impl {

namespace {

// A socket whose reading side is shut down polls as readable all the time, so its end is looked for at this interval.
constexpr Milliseconds lingerInterval{100};
constexpr std::size_t discardBufferSize = 16'384;
// Bytes dropped before a connection is closed; a peer that sends on is cut off.
constexpr std::size_t maxDiscardedBytes = 1'048'576;

bool waitFor(int descriptor, short events, Microseconds limit)
{
    struct pollfd entry = {descriptor, events, 0};
    const auto end = std::chrono::steady_clock::now() + limit;
    while (true) {
        const auto remaining = std::chrono::ceil<Milliseconds>(end - std::chrono::steady_clock::now());
        const int ready = poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(0, remaining.count())));
        if (ready >= 0 || errno != EINTR)
            return ready != 0;
    }
}

} // namespace

BlockingSocket::BlockingSocket(int descriptor) : m_descriptor(descriptor)
{
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
}

BlockingSocket::~BlockingSocket()
{
    close(m_descriptor);
}

SocketResult BlockingSocket::waitReadable(Microseconds limit) const
{
    return waitFor(m_descriptor, POLLIN, limit) ? SocketResult::Done : SocketResult::TimedOut;
}

SocketResult BlockingSocket::read(void *buffer, std::size_t size, Microseconds limit, std::size_t &count) const
{
    while (true) {
        const ssize_t received = recv(m_descriptor, buffer, size, MSG_DONTWAIT);
        if (received > 0) {
            count = static_cast<std::size_t>(received);
            return SocketResult::Done;
        }
        if (received == 0 || (errno != EAGAIN && errno != EINTR))
            return SocketResult::Closed;
        if (errno == EAGAIN && waitReadable(limit) == SocketResult::TimedOut)
            return SocketResult::TimedOut;
    }
}

bool BlockingSocket::send(absl::string_view bytes, bool hasMore, Milliseconds stallLimit,
                          const std::function<bool()> &onBlocked) const
{
    const int flags = MSG_DONTWAIT | MSG_NOSIGNAL | (hasMore ? MSG_MORE : 0);
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), flags);
        if (sent >= 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        if (errno == EINTR)
            continue;
        if (errno != EAGAIN || !onBlocked() || !waitFor(m_descriptor, POLLOUT, stallLimit))
            return false;
    }
    return true;
}

void BlockingSocket::linger(Milliseconds limit) const
{
    shutdown(m_descriptor, SHUT_WR);
    const auto end = std::chrono::steady_clock::now() + limit;
    std::array<char, discardBufferSize> discarded{};
    std::size_t discardedBytes = 0;
    while (discardedBytes < maxDiscardedBytes) {
        const auto remaining = std::chrono::duration_cast<Microseconds>(end - std::chrono::steady_clock::now());
        std::size_t count = 0;
        if (remaining.count() <= 0 || read(discarded.data(), discarded.size(), remaining, count) != SocketResult::Done)
            break;
        discardedBytes += count;
    }
    struct tcp_info info = {};
    socklen_t size = sizeof info;
    while (!m_isShutDown && std::chrono::steady_clock::now() < end
           && getsockopt(m_descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state != TCP_CLOSE) {
        std::this_thread::sleep_for(lingerInterval);
        static_cast<void>(recv(m_descriptor, discarded.data(), discarded.size(), MSG_DONTWAIT));
    }
}

void BlockingSocket::shutDown()
{
    m_isShutDown = true;
    shutdown(m_descriptor, SHUT_RDWR);
}

void BlockingSocket::shutDownReading() const
{
    shutdown(m_descriptor, SHUT_RD);
}

} // namespace dandeliondock::impl
