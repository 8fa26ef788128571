#include "raw_socket.h"

#include <arpa/inet.h>
#include <array>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace dandeliondock::testing {

namespace {

constexpr time_t readLimitSeconds = 5;

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
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t part = send(m_socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (part <= 0)
            return;
        done += static_cast<std::size_t>(part);
    }
}

std::string RawConnection::readUntil(const std::string &end) const
{
    const struct timeval limit = {readLimitSeconds, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string received;
    std::array<char, 4096> buffer{};
    while (end.empty() || received.find(end) == std::string::npos) {
        const ssize_t part = recv(m_socket, buffer.data(), buffer.size(), 0);
        if (part <= 0)
            break;
        received.append(buffer.data(), static_cast<std::size_t>(part));
    }
    return received;
}

RawListener::RawListener(Script script) : m_script(std::move(script))
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = loopback(0);
    auto *generic = reinterpret_cast<struct sockaddr *>(&address);
    socklen_t size = sizeof address;
    if (bind(m_listener, generic, size) != 0 || listen(m_listener, SOMAXCONN) != 0
        || getsockname(m_listener, generic, &size) != 0)
        throw std::runtime_error("cannot listen on the loopback interface");
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept(); });
}

RawListener::~RawListener()
{
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    for (std::thread &script : m_scripts)
        script.join();
    close(m_listener);
}

Address RawListener::address() const
{
    return Address("127.0.0.1:" + std::to_string(m_port));
}

void RawListener::accept()
{
    while (true) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            return;
        const int number = m_connections++;
        m_scripts.emplace_back([this, socket, number] {
            const RawConnection connection(socket);
            m_script(connection, number);
        });
    }
}

} // namespace dandeliondock::testing
