#pragma once

#include "memory_table.h"

#include <dandeliondock/http/server.h>

#include <cstdint>
#include <memory>
#include <string>

namespace dandeliondock::standins {

/// \brief Serves a MemoryTable over HTTP in place of the platform's service. Thread-safe.
class PlatformServer
{
public:
    /// \brief Starts serving; port 0 takes a free one.
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<PlatformServer>> start(const std::string &address,
                                                                               std::uint16_t port);

    [[nodiscard]] std::uint16_t port() const { return m_server->port(); }

    [[nodiscard]] MemoryTable &table() { return m_table; }

private:
    [[nodiscard]] HttpResponse serve(const HttpRequest &request);
    [[nodiscard]] HttpResponse serveObject(const HttpRequest &request);

    MemoryTable m_table;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace dandeliondock::standins
