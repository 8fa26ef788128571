#pragma once

#include "fault_injector.h"
#include "memory_table.h"

#include <dandeliondock/http/server.h>

#include <cstdint>
#include <memory>
#include <string>

namespace dandeliondock::standins {

/// \brief HTTP server for tests that stands in for the platform's store and serves a MemoryTable. Thread-safe.
///
/// POST /standin/faults sets the faults from a StandinFaults message in JSON; GET /standin/counts returns a
/// StandinCounts message in JSON.
class PlatformServer
{
public:
    /// \brief Starts the server. Port 0 selects a free port; \c seed seeds the random numbers that select the calls to
    /// fail.
    ///
    /// \return An error if the server can't listen.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<PlatformServer>>
    start(const std::string &address, std::uint16_t port, std::uint64_t seed = 1);

    [[nodiscard]] std::uint16_t port() const { return m_server->port(); }

    [[nodiscard]] MemoryTable &table() { return m_table; }

    [[nodiscard]] FaultInjector &faults() { return *m_faults; }

private:
    [[nodiscard]] HttpResponse serve(const HttpRequest &request);
    [[nodiscard]] HttpResponse serveObject(const HttpRequest &request);
    [[nodiscard]] HttpResponse serveStandinRequest(const HttpRequest &request);
    [[nodiscard]] HttpResponse serveWithFaults(const HttpRequest &request);

    MemoryTable m_table;
    std::shared_ptr<FaultInjector> m_faults;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace dandeliondock::standins
