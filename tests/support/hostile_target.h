#pragma once

#include <dandeliondock/core/ids.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace dandeliondock::testing {

/// \brief Target on the loopback interface whose responses break the protocol. The path selects the fault:
///
/// - /a/short: a body that stops one byte short of its announced length
/// - /a/chunks, /a/tiny: a body in large chunks or in chunks of 16 bytes, without its end
/// - /a/trailers: trailers without end behind a chunked body
/// - /a/head: a head without end
/// - /a/endless: a body without length and end
/// - /a/lines: a complete response whose head has a large number of short lines
///
/// Every other request gets an ordinary response. A connection whose response has no end stays open until the peer
/// closes it.
class HostileTarget
{
public:
    static constexpr std::size_t bodySize = 8'388'608;
    static constexpr std::size_t longHeadSize = 60'000;

    HostileTarget();
    ~HostileTarget();
    HostileTarget(const HostileTarget &) = delete;
    HostileTarget &operator=(const HostileTarget &) = delete;

    [[nodiscard]] Address address() const;

private:
    void accept();
    void serve(int socket);

    std::uint16_t m_port = 0;
    int m_listener;
    std::mutex m_mutex; ///< of the members below
    std::list<int> m_sockets;
    std::list<std::thread> m_threads;
    bool m_isStopped = false;
    std::thread m_acceptThread;
};

} // namespace dandeliondock::testing
