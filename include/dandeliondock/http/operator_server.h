#pragma once

#include <dandeliondock/core/units.h>
#include <dandeliondock/http/server.h>
#include <dandeliondock/http/shared_receive_account.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>

namespace dandeliondock {

/// \brief The HTTP server of the operators' listener, on ulfius, with a thread for each connection.
///
/// ulfius holds a body whole and does not tell how much of it has arrived. While a request arrives, its connection is
/// therefore accounted for with the largest body that it may have.
///
/// \remark Every method is thread-safe.
class OperatorServer
{
public:
    ~OperatorServer();

    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept;

    /// \brief Stops accepting connections; requests in progress continue, and responses that begin from now on close
    /// their connections.
    void startDraining();

    /// \brief Blocks until no request is in progress; a request ends when its response was sent.
    /// \return False when \c limit expired first.
    [[nodiscard]] bool waitForRequests(Milliseconds limit);

    /// \brief Closes every connection. Requests in progress are cut off; to avoid that, call startDraining() and
    /// waitForRequests() first.
    void stop();

private:
    friend class OperatorServerBuilder;
    struct Impl;
    explicit OperatorServer(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

/// \brief Builder of an OperatorServer. Must be used by one thread at a time.
class OperatorServerBuilder
{
public:
    /// \brief Sets the IPv4 address and the port to listen on; port 0 selects a free port.
    OperatorServerBuilder &listen(std::string address, std::uint16_t port);

    OperatorServerBuilder &handler(HttpHandler handler);

    /// \brief Sets the largest request body; a larger one gets status 413 and is not passed to the handler.
    OperatorServerBuilder &maxBody(ByteCount limit);

    OperatorServerBuilder &maxConnections(ConnectionCount limit);

    /// \brief Sets the account that bounds what connections hold; without one, nothing bounds them together.
    OperatorServerBuilder &account(std::shared_ptr<SharedReceiveAccount> account);

    /// \brief Starts the server.
    /// \return InvalidSettings when the address cannot be used; Internal when the HTTP library fails.
    /// \pre listen() and handler() were called.
    [[nodiscard]] absl::StatusOr<std::unique_ptr<OperatorServer>> start();

private:
    std::string m_address;
    std::uint16_t m_port = 0;
    HttpHandler m_handler;
    ByteCount m_maxBody{1U << 20U};
    ConnectionCount m_maxConnections{64};
    std::shared_ptr<SharedReceiveAccount> m_account;
};

} // namespace dandeliondock
