#include "hostile_target.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

namespace dandeliondock::testing {

namespace {

constexpr absl::string_view headEnd = "\r\n\r\n";
constexpr std::size_t pieceSize = 65'536;
constexpr int listenBacklog = 128;

bool sendAll(int socket, absl::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

std::string repeated(absl::string_view text, std::size_t size)
{
    std::string result;
    while (result.size() < size)
        absl::StrAppend(&result, text);
    return result;
}

// Sends \c text again and again until at least \c size bytes are sent.
bool sendRepeated(int socket, absl::string_view text, std::size_t size)
{
    const std::string piece = repeated(text, pieceSize);
    for (std::size_t sent = 0; sent < size; sent += piece.size()) {
        if (!sendAll(socket, piece))
            return false;
    }
    return true;
}

void sendWithoutEnd(int socket, absl::string_view text)
{
    const std::string piece = repeated(text, pieceSize);
    while (sendAll(socket, piece)) {
    }
}

void awaitClose(int socket)
{
    std::array<char, 4'096> buffer{};
    while (::recv(socket, buffer.data(), buffer.size(), 0) > 0) {
    }
}

std::string headerValue(absl::string_view head, absl::string_view name)
{
    const std::size_t begin = head.find(absl::StrCat("\r\n", name, ": "));
    if (begin == absl::string_view::npos)
        return {};
    const std::size_t value = begin + name.size() + 4;
    return std::string(head.substr(value, head.find("\r\n", value) - value));
}

// Returns the head of the next request and reads its body; empty when the peer has closed the connection.
std::string readRequest(int socket, std::string &buffer)
{
    std::array<char, pieceSize> piece{};
    std::size_t end = std::string::npos;
    while ((end = buffer.find(headEnd.data())) == std::string::npos) {
        const ssize_t count = ::recv(socket, piece.data(), piece.size(), 0);
        if (count <= 0)
            return {};
        buffer.append(piece.data(), static_cast<std::size_t>(count));
    }
    const std::string head = buffer.substr(0, end + headEnd.size());
    buffer.erase(0, head.size());
    std::size_t remaining = 0;
    if (!absl::SimpleAtoi(headerValue(head, "Content-Length"), &remaining))
        remaining = 0;
    while (remaining > buffer.size()) {
        remaining -= buffer.size();
        buffer.clear();
        const ssize_t count = ::recv(socket, piece.data(), piece.size(), 0);
        if (count <= 0)
            return {};
        buffer.append(piece.data(), static_cast<std::size_t>(count));
    }
    buffer.erase(0, remaining);
    return head;
}

// Responds to a request; returns whether the connection can carry another one.
bool respond(int socket, const std::string &head)
{
    const std::string begin = absl::StrCat(
            "HTTP/1.1 200 OK\r\nX-Dandeliondock-Attempt-Id: ", headerValue(head, "X-Dandeliondock-Attempt-Id"),
            "\r\nX-Dandeliondock-Server-Seal: seal\r\n");
    const auto isFor = [&](absl::string_view path) { return absl::StrContains(head, absl::StrCat(" ", path, " ")); };
    if (isFor("/a/lines")) {
        return sendAll(socket, absl::StrCat(begin, repeated("a:\r\n", HostileTarget::longHeadSize),
                                            "Content-Length: 2\r\n\r\nok"));
    }
    if (isFor("/a/short")) {
        if (sendAll(socket, absl::StrCat(begin, "Content-Length: ", HostileTarget::bodySize + 1, headEnd)))
            sendRepeated(socket, "x", HostileTarget::bodySize);
    } else if (isFor("/a/chunks")) {
        if (sendAll(socket, absl::StrCat(begin, "Transfer-Encoding: chunked", headEnd)))
            sendRepeated(socket, absl::StrCat("10000\r\n", std::string(0x10000, 'x'), "\r\n"), HostileTarget::bodySize);
    } else if (isFor("/a/tiny")) {
        constexpr std::size_t framedSize = 22; // of a chunk of 16 bytes
        constexpr std::size_t chunkSize = 16;
        if (sendAll(socket, absl::StrCat(begin, "Transfer-Encoding: chunked", headEnd)))
            sendRepeated(socket, "10\r\nxxxxxxxxxxxxxxxx\r\n", HostileTarget::bodySize / chunkSize * framedSize);
    } else if (isFor("/a/trailers")) {
        if (sendAll(socket, absl::StrCat(begin, "Transfer-Encoding: chunked", headEnd, "1\r\nx\r\n0\r\n")))
            sendWithoutEnd(socket, "t: x\r\n");
    } else if (isFor("/a/head")) {
        if (sendAll(socket, begin))
            sendWithoutEnd(socket, "a: x\r\n");
    } else if (isFor("/a/endless")) {
        if (sendAll(socket, absl::StrCat(begin, "Connection: close", headEnd)))
            sendWithoutEnd(socket, "x");
    } else {
        return sendAll(socket, absl::StrCat(begin, "Content-Length: 2\r\n\r\nok"));
    }
    awaitClose(socket);
    return false;
}

} // namespace

HostileTarget::HostileTarget() : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    struct sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    if (bind(m_listener, reinterpret_cast<const struct sockaddr *>(&address), length) != 0
        || listen(m_listener, listenBacklog) != 0
        || getsockname(m_listener, reinterpret_cast<struct sockaddr *>(&address), &length) != 0)
        std::abort();
    m_port = ntohs(address.sin_port);
    m_acceptThread = std::thread([this] { accept(); });
}

HostileTarget::~HostileTarget()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopped = true;
        for (const int socket : m_sockets)
            shutdown(socket, SHUT_RDWR);
    }
    shutdown(m_listener, SHUT_RDWR);
    m_acceptThread.join();
    for (std::thread &thread : m_threads)
        thread.join();
    for (const int socket : m_sockets)
        close(socket);
    close(m_listener);
}

Address HostileTarget::address() const
{
    return Address(absl::StrCat("127.0.0.1:", m_port));
}

void HostileTarget::accept()
{
    while (true) {
        const int socket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            return;
        const std::scoped_lock lock(m_mutex);
        m_sockets.push_back(socket);
        if (m_isStopped)
            return;
        m_threads.emplace_back([this, socket] { serve(socket); });
    }
}

// The socket is closed by the destructor, which would otherwise shut down another one with the same number.
void HostileTarget::serve(int socket)
{
    std::string buffer;
    for (std::string head = readRequest(socket, buffer); !head.empty(); head = readRequest(socket, buffer)) {
        if (!respond(socket, head))
            break;
    }
    shutdown(socket, SHUT_RDWR);
}

} // namespace dandeliondock::testing
