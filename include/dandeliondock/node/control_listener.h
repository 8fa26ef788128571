#pragma once

#include <dandeliondock/codec/snapshot_cache.h>
#include <dandeliondock/distribution/snapshot_admission.h>
#include <dandeliondock/http/server.h>
#include <dandeliondock/node/relay_coordinator.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace dandeliondock {

/// \brief Listener for polls and snapshot requests of child nodes, with a thread that expires children which stopped
/// polling and detects pauses of the process.
///
/// \remark Every method is thread-safe.
class ControlListener
{
public:
    ~ControlListener();

    ControlListener(const ControlListener &) = delete;
    ControlListener &operator=(const ControlListener &) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept { return m_server->port(); }

    /// \brief Tells the children to find another parent, responds to the held polls and stops the listener.
    void stop();

private:
    friend class ControlListenerBuilder;
    explicit ControlListener(std::shared_ptr<RelayCoordinator> coordinator);

    [[nodiscard]] HttpResponse serve(const HttpRequest &request);
    [[nodiscard]] HttpResponse servePoll(const HttpRequest &request);
    [[nodiscard]] HttpResponse serveSnapshot(const HttpRequest &request);
    [[nodiscard]] HttpResponse sendSnapshot();
    [[nodiscard]] HttpResponse refuse(const absl::Status &status) const;
    void countBytes(const HttpRequest &request, const HttpResponse &response, const RegionName &region) const;
    void runMaintenance();

    std::shared_ptr<RelayCoordinator> m_coordinator;
    SnapshotCache m_snapshots;
    std::mutex m_mutex;
    std::condition_variable m_stopCondition;
    SnapshotAdmission m_admission;
    bool m_stopRequested = false;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_maintenanceThread;
};

/// \brief Builder of a control listener. Must be used by one thread at a time.
class ControlListenerBuilder
{
public:
    /// \brief Sets the IP address and port to listen on; port 0 selects a free port.
    ControlListenerBuilder &listen(std::string address, std::uint16_t port);

    ControlListenerBuilder &coordinator(std::shared_ptr<RelayCoordinator> coordinator);

    ControlListenerBuilder &maxConnections(ConnectionCount limit);

    /// \brief Sets the account that bounds what connections hold; without one, nothing bounds them together.
    ControlListenerBuilder &account(std::shared_ptr<SharedReceiveAccount> account);

    /// \brief Opens the listener and starts the threads; returns an error when the address cannot be bound.
    /// \pre listen() and coordinator() were called.
    [[nodiscard]] absl::StatusOr<std::unique_ptr<ControlListener>> start();

private:
    std::string m_address;
    std::uint16_t m_port = 0;
    std::shared_ptr<RelayCoordinator> m_coordinator;
    ConnectionCount m_maxConnections{1'024};
    std::shared_ptr<SharedReceiveAccount> m_account;
};

} // namespace dandeliondock
