#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/http/async_client.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/proxy/loop_monitor.h>
#include <dandeliondock/proxy/operator_documents.h>
#include <dandeliondock/proxy/rollout_control.h>
#include <dandeliondock/proxy/table_relay_client.h>
#include <dandeliondock/proxy/table_relay_server.h>
#include <dandeliondock/proxy/table_watch.h>
#include <dandeliondock/store/async_table.h>

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>

namespace dandeliondock {

/// \brief The target behind a door is not in the table any more.
struct EndpointRemoved
{
    Address address;
};

/// \brief Configuration and targets were read whole for the first time.
struct InitialSyncDone
{
};

/// \brief What the control duty tells the traffic duty.
using ControlUpdate = std::variant<ProxyConfigPtr, ServiceVersions, Endpoint, EndpointRemoved, InitialSyncDone>;

/// \brief Name of the table that proxies share.
inline constexpr absl::string_view sharedTableName = "dandeliondock";
/// \brief Time after a failed write of the own row until the next try.
inline constexpr Milliseconds rowRetry{400};
/// \brief Time over which proxies that start when no other one is known read the operator's table: the first ones pass
/// it on to the others, so that it crosses the links between regions a few times and not once for each proxy.
inline constexpr Milliseconds coldStartSpread{1'000};

/// \brief What the control duty works with.
struct ControlDutyDependencies
{
    EventLoop *loop = nullptr;
    AsyncHttpClient *client = nullptr;
    AsyncTableHooks table;
    OperatorTableCodec documents;
    MetricsRegistry *metrics = nullptr;
    LogSink log;
    RandomSource random;
    NodeId node;
    Incarnation incarnation;
    Address inboundAddress;
    RegionName region;
    ServiceName service;
    /// Hands news to the traffic duty; called on this duty's thread.
    std::function<void(ControlUpdate)> publish;
};

/// \brief Follows the platform's table, keeps the row of the own target there and takes part in rollouts.
///
/// \remark Every method is to be called on the duty's loop.
class ControlDuty
{
public:
    explicit ControlDuty(ControlDutyDependencies parts);

    void start();

    /// \brief Tells the proxies that follow this one to follow another, as this process ends.
    void stop()
    {
        m_relay.stop();
        m_rollout.stop();
    }

    /// \brief Announces the state of the own target to the other proxies.
    void announce(const Endpoint &endpoint);

    void record(const AttemptReport &report, TicketNumber rollout) { m_rollout.record(report, rollout); }

    /// \brief Takes another proxy's call; \c respond gets a status and a body, now or later.
    void handle(absl::string_view path, absl::string_view body, std::function<void(int, std::string)> respond);

private:
    void readOperator(const TableReadResult &reading);
    void readShared(const TableReadResult &reading, bool isWhole);
    void readRow(const TableRow &row);
    void removeRow(const RowKey &key);
    void removeMissing(const TableReadResult &reading);
    void writeOwnRow();
    void declareVersion();
    void noteTime(const TableReadResult &reading);
    void tellWhenComplete();
    [[nodiscard]] std::uint32_t serving(const VersionName &version) const;
    [[nodiscard]] std::size_t rank() const;
    [[nodiscard]] RolloutControlDependencies rolloutParts();
    [[nodiscard]] TableRelayClientDependencies followerParts();
    [[nodiscard]] TableRelayServerDependencies relayParts();
    [[nodiscard]] std::vector<RelayPeer> servingDoors() const;
    void startOperatorWatch();

    ControlDutyDependencies m_parts;
    LoopMonitor m_loopWatch;
    TableRelayClient m_follower;
    TableRelayServer m_relay;
    AsyncTableHooks m_table; ///< through the follower
    TableWatch m_operatorWatch;
    TableWatch m_sharedWatch;
    RolloutControl m_rollout;
    std::map<Address, Endpoint> m_endpoints; ///< by door
    absl::flat_hash_map<ServiceName, ServiceVersions> m_versions;
    std::optional<Endpoint> m_own;
    std::optional<Endpoint> m_ownWritten;
    LoopTimer m_rowTimer;
    LoopTimer m_versionTimer;
    LoopTimer m_startTimer;
    WallTime m_tableTime;
    MonotonicTime m_tableTimeAt;
    bool m_isWriting = false;
    bool m_hasConfig = false;
    bool m_isComplete = false;
    bool m_followsOperator = false;
};

} // namespace dandeliondock
