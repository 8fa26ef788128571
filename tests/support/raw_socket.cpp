#include "raw_socket.h"

#include <arpa/inet.h>
#include <array>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace dandeliondock::testing {

namespace {

constexpr time_t readTimeoutSeconds = 5;

struct sockaddr_in loopback(std::uint16_t port)
{
    struct sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

RawConnection::RawConnection(std::uint16_t port) : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const struct sockaddr_in address = loopback(port);
    if (connect(m_socket, reinterpret_cast<const struct sockaddr *>(&address), sizeof address) != 0)
        throw std::runtime_error("cannot connect to the loopback port");
}

RawConnection::~RawConnection()
{
    close(m_socket);
}

void RawConnection::write(const std::string &bytes) const
{
    std::size_t sentBytes = 0;
    while (sentBytes < bytes.size()) {
        const ssize_t byteCount = send(m_socket, bytes.data() + sentBytes, bytes.size() - sentBytes, MSG_NOSIGNAL);
        if (byteCount <= 0)
            return;
        sentBytes += static_cast<std::size_t>(byteCount);
    }
}

std::string RawConnection::readUntil(const std::string &delimiter) const
{
    const struct timeval timeout = {readTimeoutSeconds, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    std::string received;
    std::array<char, 4096> buffer{};
    while (delimiter.empty() || received.find(delimiter) == std::string::npos) {
        const ssize_t byteCount = recv(m_socket, buffer.data(), buffer.size(), 0);
        if (byteCount <= 0)
            break;
        received.append(buffer.data(), static_cast<std::size_t>(byteCount));
    }
    return received;
}

RawListener::RawListener(Script script) : m_script(std::move(script))
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = loopback(0);
    auto *genericAddress = reinterpret_cast<struct sockaddr *>(&address);
    socklen_t size = sizeof address;
    if (bind(m_listener, genericAddress, size) != 0 || listen(m_listener, SOMAXCONN) != 0
        || getsockname(m_listener, genericAddress, &size) != 0)
        throw std::runtime_error("cannot listen on the loopback interface");
    m_port = ntohs(address.sin_port);
    m_acceptThread = std::thread([this] { acceptConnections(); });
}

RawListener::~RawListener()
{
    shutdown(m_listener, SHUT_RDWR);
    m_acceptThread.join();
    for (std::thread &script : m_scriptThreads)
        script.join();
    close(m_listener);
}

Address RawListener::address() const
{
    return Address("127.0.0.1:" + std::to_string(m_port));
}

void RawListener::acceptConnections()
{
    while (true) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            return;
        const int number = m_connectionCount++;
        m_scriptThreads.emplace_back([this, socket, number] {
            const RawConnection connection(socket);
            m_script(connection, number);
        });
    }
}

} // namespace dandeliondock::testing
