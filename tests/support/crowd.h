#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dandeliondock::testing {

/// \brief Connection of an uncontrolled client. Its sends give up when the peer accepts no bytes for 2 s.
class CrowdClient
{
public:
    /// \brief Connects to a port of the loopback interface.
    ///
    /// \param receiveBuffer size of the socket's receive buffer in bytes; 0 for the system's default.
    explicit CrowdClient(std::uint16_t port, int receiveBuffer = 0);
    ~CrowdClient();
    CrowdClient(const CrowdClient &) = delete;
    CrowdClient &operator=(const CrowdClient &) = delete;

    /// \brief Sends \c bytes; returns false when the peer has closed the connection or accepts no further bytes.
    bool send(const std::string &bytes) const;

    /// \brief Sends \c count bytes in pieces of \c pieceSize; returns false as send() does.
    bool sendFiller(std::size_t count, std::size_t pieceSize) const;

    /// \brief Sends chunks with \c count bytes in total, without the last chunk; returns false as send() does.
    bool sendChunks(std::size_t count, std::size_t chunkSize) const;

    /// \brief Sends \c line again and again until at least \c count bytes are sent; returns false as send() does.
    bool sendLines(const std::string &line, std::size_t count) const;

    /// \brief Returns the bytes that arrive next; empty when the peer has closed the connection or sends none for 6 s.
    [[nodiscard]] std::string receiveSome() const;

    /// \brief Reads until the peer closes the connection or no byte arrives for 6 s, and returns what was received.
    [[nodiscard]] std::string readAll() const;

private:
    int m_socket;
};

/// \brief Clients that run the same script at once and keep their connections open until destruction.
class Crowd
{
public:
    using Script = std::function<void(const CrowdClient &, int number)>;

    /// \brief Opens \c size connections, runs \c script for each on a thread of its own and waits for all.
    Crowd(std::uint16_t port, int size, const Script &script, int receiveBuffer = 0);

    /// \brief Opens \c size connections, to the ports in turn, and does the same.
    Crowd(const std::vector<std::uint16_t> &ports, int size, const Script &script, int receiveBuffer = 0);

private:
    std::vector<std::unique_ptr<CrowdClient>> m_clients;
};

} // namespace dandeliondock::testing
