#pragma once

#include "support/loop_thread.h"

#include <dandeliondock/http/async_server.h>
#include <dandeliondock/proxy/table_relay_client.h>
#include <dandeliondock/proxy/table_relay_server.h>
#include <dandeliondock/proxy/table_watch.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace dandeliondock::testing {

/// \brief Region of the proxies of a PeerFleet and of their children.
inline const RegionName fleetRegion("west");
/// \brief An address after those of every PeerFleet.
inline const Address lastAddress("127.0.0.2:1");
/// \brief Number of proxies of a PeerFleet, which makes the fleet a large one.
inline constexpr std::size_t fleetSize = largeFleetThreshold + 8;

/// \brief Proxies of one region that serve the operator's and the shared table, and the platform behind them.
///
/// Requests to the proxies and their responses are delayed by half a configured round trip each.
///
/// \remark Methods run their work on the fleet's own loop thread and wait for it.
class PeerFleet
{
public:
    PeerFleet();
    ~PeerFleet();
    PeerFleet(const PeerFleet &) = delete;
    PeerFleet &operator=(const PeerFleet &) = delete;

    /// \brief Applies a change to both tables, at the platform and at the proxies.
    void change(const TableVersion &version, bool isFull = false);

    /// \brief Applies reads without changes to both tables at short intervals until \c time has passed, as the
    /// platform's responses do when no row changes.
    void confirmFor(Milliseconds time);

    void setRoundTrip(Milliseconds roundTrip);

    /// \brief Makes a proxy accept calls without responding.
    void stopResponding(const Address &address);

    /// \brief Makes every proxy accept calls without responding, as if its instance were lost.
    void stopRespondingAll();

    /// \brief Ends what stopResponding() and stopRespondingAll() began.
    void respondAgain();

    [[nodiscard]] const std::vector<RelayPeer> &peers() const noexcept { return m_peers; }

    /// \brief Returns the metrics of the proxies. Thread-safe.
    [[nodiscard]] MetricsRegistry &metrics() noexcept { return m_metrics; }

    /// \brief Returns the rows of a table as the platform knows them. Thread-safe.
    [[nodiscard]] TableReadResult platformRows();

private:
    void listen(const Address &address);
    void handle(const Address &address, const HttpRequestContextPtr &activeRequest);
    /// Runs work after half the round trip.
    void runDelayed(std::function<void()> work);

    LoopThread m_thread;
    MetricsRegistry m_metrics;
    std::vector<RelayPeer> m_peers;
    std::vector<std::unique_ptr<AsyncHttpServer>> m_servers;
    std::unique_ptr<TableRelayServer> m_relayServer;
    std::map<std::uint64_t, LoopTimer> m_timers;
    std::uint64_t m_lastTimer = 0;
    Milliseconds m_roundTrip{0};
    std::set<Address> m_unresponsive;
    std::mutex m_platformMutex;
    TableReadResult m_platformRows;
};

/// \brief A proxy that reads both tables from the peers of a PeerFleet, and from the platform behind it.
class ChildProxy
{
public:
    enum class Platform {
        Refuses, ///< calls for changes fail
        Serves,
    };

    /// \param address its inbound address, which sets its rank in the region: the first proxies read from the platform
    /// when their parent fails
    explicit ChildProxy(PeerFleet &fleet, const Address &address = lastAddress, Platform platform = Platform::Refuses);
    ~ChildProxy();
    ChildProxy(const ChildProxy &) = delete;
    ChildProxy &operator=(const ChildProxy &) = delete;

    /// \brief Waits until both tables have reached a version or the timeout passes; returns the elapsed time.
    Milliseconds waitFor(const TableVersion &version, Milliseconds timeout);

    /// \brief Returns the log lines of one event.
    std::vector<std::string> lines(const std::string &event);

    /// \brief Returns the metrics of the proxy. Thread-safe.
    [[nodiscard]] MetricsRegistry &metrics() noexcept { return m_metrics; }

    std::atomic<int> platformPolls{0};
    std::atomic<int> platformLists{0};

private:
    TableRelayClientDependencies dependencies(PeerFleet &fleet, const Address &address, Platform platform);
    std::unique_ptr<TableWatch> makeWatch(const TableName &table);
    bool hasVersion(const TableVersion &version);
    void addLine(const std::string &line);

    LoopThread m_thread;
    MetricsRegistry m_metrics;
    std::mutex m_mutex;
    std::vector<std::string> m_lines;
    std::map<TableName, TableVersion> m_knownVersions;
    std::unique_ptr<AsyncHttpClient> m_client;
    std::unique_ptr<TableRelayClient> m_relayClient;
    AsyncTableHooks m_hooks;
    std::vector<std::unique_ptr<TableWatch>> m_watches;
};

} // namespace dandeliondock::testing
