#include "crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace dandeliondock::testing {

namespace {

constexpr struct timeval sendTimeout = {2, 0};
constexpr struct timeval receiveTimeout = {6, 0};
// Chunks are sent together in pieces of about this size, because one system call for each of many small chunks would
// take longer than the proxies wait for a body.
constexpr std::size_t chunkBatchSize = 32'768;

} // namespace

CrowdClient::CrowdClient(std::uint16_t port, int receiveBuffer)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &sendTimeout, sizeof sendTimeout);
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
    if (receiveBuffer > 0)
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    struct sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(m_socket, reinterpret_cast<const struct sockaddr *>(&address), sizeof address) != 0) {
        close(m_socket);
        throw std::runtime_error("cannot connect to the loopback port");
    }
}

CrowdClient::~CrowdClient()
{
    close(m_socket);
}

bool CrowdClient::send(const std::string &bytes) const
{
    std::size_t sentBytes = 0;
    while (sentBytes < bytes.size()) {
        const ssize_t count = ::send(m_socket, bytes.data() + sentBytes, bytes.size() - sentBytes, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sentBytes += static_cast<std::size_t>(count);
    }
    return true;
}

bool CrowdClient::sendFiller(std::size_t count, std::size_t pieceSize) const
{
    const std::string piece(pieceSize, 'x');
    for (std::size_t sent = 0; sent < count; sent += pieceSize) {
        if (!send(count - sent < pieceSize ? piece.substr(0, count - sent) : piece))
            return false;
    }
    return true;
}

bool CrowdClient::sendChunks(std::size_t count, std::size_t chunkSize) const
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunkSize);
    const std::string chunk = size.data() + std::string(chunkSize, 'x') + "\r\n";
    const std::size_t chunksPerBatch = std::max<std::size_t>(1, chunkBatchSize / chunk.size());
    std::string batch;
    for (std::size_t index = 0; index < chunksPerBatch; ++index)
        batch += chunk;
    for (std::size_t sent = 0; sent < count; sent += chunksPerBatch * chunkSize) {
        if (!send(batch))
            return false;
    }
    return true;
}

bool CrowdClient::sendLines(const std::string &line, std::size_t count) const
{
    std::string batch;
    while (batch.size() < chunkBatchSize)
        batch += line;
    for (std::size_t sent = 0; sent < count; sent += batch.size()) {
        if (!send(batch))
            return false;
    }
    return true;
}

std::string CrowdClient::receiveSome() const
{
    std::array<char, 65'536> buffer{};
    const ssize_t count = recv(m_socket, buffer.data(), buffer.size(), 0);
    return count <= 0 ? std::string() : std::string(buffer.data(), static_cast<std::size_t>(count));
}

std::string CrowdClient::readAll() const
{
    std::string received;
    for (std::string bytes = receiveSome(); !bytes.empty(); bytes = receiveSome())
        received += bytes;
    return received;
}

Crowd::Crowd(std::uint16_t port, int size, const Script &script, int receiveBuffer)
    : Crowd(std::vector<std::uint16_t>{port}, size, script, receiveBuffer)
{
}

Crowd::Crowd(const std::vector<std::uint16_t> &ports, int size, const Script &script, int receiveBuffer)
{
    for (int number = 0; number < size; ++number) {
        const std::uint16_t port = ports[static_cast<std::size_t>(number) % ports.size()];
        m_clients.push_back(std::make_unique<CrowdClient>(port, receiveBuffer));
    }
    std::vector<std::thread> threads;
    for (int number = 0; number < size; ++number)
        threads.emplace_back([this, &script, number] { script(*m_clients[static_cast<std::size_t>(number)], number); });
    for (std::thread &thread : threads)
        thread.join();
}

} // namespace dandeliondock::testing
