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

/// \brief The listener for other nodes, and the thread that drops children which stopped polling.
///
/// \remark Every method is thread-safe.
class ControlListener
{
public:
    ~ControlListener();

    ControlListener(const ControlListener &) = delete;
    ControlListener &operator=(const ControlListener &) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept { return m_server->port(); }

    /// \brief Sends children away, ends the polls held and stops.
    void stop();

private:
    friend class ControlListenerBuilder;
    explicit ControlListener(std::shared_ptr<RelayCoordinator> hub);

    [[nodiscard]] HttpResponse serve(const HttpRequest &request);
    [[nodiscard]] HttpResponse servePoll(const HttpRequest &request);
    [[nodiscard]] HttpResponse serveSnapshot(const HttpRequest &request);
    [[nodiscard]] HttpResponse sendSnapshot();
    [[nodiscard]] HttpResponse refuse(const absl::Status &status) const;
    void countBytes(const HttpRequest &request, const HttpResponse &response, const RegionName &region) const;
    void sweep();

    std::shared_ptr<RelayCoordinator> m_hub;
    SnapshotCache m_snapshots;
    std::mutex m_mutex;
    std::condition_variable m_stopping;
    SnapshotAdmission m_admission;
    bool m_stopRequested = false;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_sweeper;
};

/// \brief Builder of a control listener. One thread at a time.
class ControlListenerBuilder
{
public:
    /// \brief IP number and port; port 0 takes a free one.
    ControlListenerBuilder &listen(std::string address, std::uint16_t port);

    ControlListenerBuilder &hub(std::shared_ptr<RelayCoordinator> hub);

    /// \pre listen() and hub() were called.
    [[nodiscard]] absl::StatusOr<std::unique_ptr<ControlListener>> start();

private:
    std::string m_address;
    std::uint16_t m_port = 0;
    std::shared_ptr<RelayCoordinator> m_hub;
};

} // namespace dandeliondock
