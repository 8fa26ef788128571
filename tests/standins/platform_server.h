#pragma once

#include "fault_injector.h"
#include "memory_table.h"

#include <dandeliondock/http/server.h>

#include <cstdint>
#include <memory>
#include <string>

namespace dandeliondock::standins {

/// \brief Serves a MemoryTable over HTTP in place of the platform's service. Thread-safe.
///
/// POST /standin/faults sets the switches from a StandinFaults in JSON; GET /standin/counts returns a StandinCounts.
class PlatformServer
{
public:
    /// \brief Starts serving; port 0 takes a free one. \c seed fixes the order in which shares of calls fail.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<PlatformServer>>
    start(const std::string &address, std::uint16_t port, std::uint64_t seed = 1);

    [[nodiscard]] std::uint16_t port() const { return m_server->port(); }

    [[nodiscard]] MemoryTable &table() { return m_table; }

    [[nodiscard]] FaultInjector &faults() { return *m_faults; }

private:
    [[nodiscard]] HttpResponse serve(const HttpRequest &request);
    [[nodiscard]] HttpResponse serveObject(const HttpRequest &request);
    [[nodiscard]] HttpResponse serveControl(const HttpRequest &request);
    [[nodiscard]] HttpResponse serveFaulty(const HttpRequest &request);

    MemoryTable m_table;
    std::shared_ptr<FaultInjector> m_faults;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace dandeliondock::standins
