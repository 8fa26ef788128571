#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/http/async_client.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/places/evacuations.h>
#include <dandeliondock/proxy/config_confirmed.h>
#include <dandeliondock/proxy/confirmation_probe.h>
#include <dandeliondock/proxy/loop_monitor.h>
#include <dandeliondock/proxy/operator_documents.h>
#include <dandeliondock/proxy/peer_message.h>
#include <dandeliondock/proxy/quota_exchange.h>
#include <dandeliondock/proxy/rollout_control.h>
#include <dandeliondock/proxy/table_relay_client.h>
#include <dandeliondock/proxy/table_relay_server.h>
#include <dandeliondock/proxy/table_watch.h>
#include <dandeliondock/proxy/target_row.h>
#include <dandeliondock/store/async_table.h>

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>

namespace dandeliondock {

/// \brief A target's row was removed from the table.
struct EndpointRemoved
{
    Address address; ///< inbound address of the target's proxy
};

/// \brief Record of the local target as found in its row; empty if there is none.
struct TargetRecordRead
{
    std::optional<Endpoint> record;
};

/// \brief The row of the local target holds an announced record.
struct TargetRecorded
{
    Endpoint record;
};

/// \brief The configuration and all targets were read for the first time.
struct InitialSyncDone
{
};

/// \brief All evacuated data centres.
struct EvacuationsUpdate
{
    std::set<DataCentreName> dataCentres;
};

/// \brief Message from the control duty to the traffic duty.
using ControlUpdate = std::variant<ProxyConfigPtr, ServiceVersions, Endpoint, EndpointRemoved, TargetRecordRead,
                                   TargetRecorded, InitialSyncDone, EvacuationsUpdate, ConfigConfirmed, QuotaGrants>;

/// \brief Name of the table that the proxies share.
inline constexpr absl::string_view sharedTableName = "dandeliondock";
/// \brief Time over which proxies that start when no other one is known spread their first read of the operator's
/// table. The first ones relay it to the others, so that it crosses the links between regions a few times instead of
/// once for each proxy.
inline constexpr Milliseconds coldStartSpread{1'000};

/// \brief Time for which a target whose row was lost when the table came back from an older copy stays in use, so that
/// its proxy can write the row again. A row that is still missing after about two seconds is that of a lost target.
inline constexpr Milliseconds rowRewriteTime{2'500};

/// \brief Dependencies of the control duty.
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
    DataCentreName dataCentre;
    ServiceName service;
    std::optional<Milliseconds> keyWithdrawalBound; ///< time after which a withdrawn key must not be accepted
    QuotaBounds quota;
    /// Sends an update to the traffic duty; called on this duty's thread.
    std::function<void(ControlUpdate)> publish;
};

/// \brief Reads the operator's table and the shared table, maintains the local target's row in the shared table and
/// takes part in rollouts.
///
/// \remark All methods must be called on the duty's event loop.
class ControlDuty
{
public:
    explicit ControlDuty(ControlDutyDependencies dependencies);

    void start();

    /// \brief Rejects the polls of child proxies, so that they select another parent, and releases a rollout that this
    /// proxy drives. Called when the process ends.
    void stop()
    {
        m_relayServer.stop();
        m_rolloutControl.stop();
    }

    /// \brief Announces the state of the local target to the other proxies.
    /// \pre The record that an earlier process left was read, see TargetRecordRead.
    void announce(const Endpoint &endpoint);

    /// \brief Records the outcome of an attempt on the local target for the rollout that it belongs to.
    void record(const AttemptReport &report, TicketNumber rollout) { m_rolloutControl.record(report, rollout); }

    /// \brief Reports the usage of the accounts at this proxy to the collector of their quotas.
    void reportUsage(AccountUsages usage) { m_quotaExchange.report(std::move(usage)); }

    /// \brief Handles a call of another proxy. \c respond is called with an HTTP status and a body, at once or later.
    void handle(PeerMessageKind kind, absl::string_view body, std::function<void(int, std::string)> respond);

private:
    void applyOperatorRows(const TableReadResult &result, bool isFull);
    void applyEvacuations(const TableReadResult &result, bool isFull);
    void applySharedRows(const TableReadResult &result, bool isFull);
    void applySharedRow(const TableRow &row, const TableVersion &version, bool isNewEra);
    void applyEndpoint(const Endpoint &endpoint, bool isNewEra);
    void applyServiceVersions(const ServiceVersions &versions, const TableVersion &version, bool isNewEra);
    void removeSharedRow(const RowKey &key, const TableVersion &asOfVersion);
    void removeTarget(const Address &address);
    /// Handles the rows that are not in a full read.
    void handleMissingRows(const TableReadResult &result, bool isNewEra);
    void removeUnconfirmedTargets();
    void declareServiceVersion();
    void recordTableTime(const TableReadResult &result);
    void publishConfirmation(const TableReadResult &result);
    void publishWhenSynced();
    [[nodiscard]] std::uint32_t servingCount(const VersionName &version) const;
    /// Rank of this proxy among the proxies of its service whose targets serve, by inbound address.
    [[nodiscard]] std::size_t rank() const;
    [[nodiscard]] static ControlDutyDependencies withCheckedEras(ControlDutyDependencies dependencies);
    [[nodiscard]] RolloutControlDependencies rolloutDependencies();
    [[nodiscard]] TableRelayClientDependencies relayClientDependencies();
    [[nodiscard]] TableRelayServerDependencies relayServerDependencies();
    [[nodiscard]] TargetRowDependencies targetRowDependencies();
    [[nodiscard]] ConfirmationProbeDependencies confirmationProbeDependencies();
    [[nodiscard]] std::vector<RelayPeer> servingPeers() const;
    [[nodiscard]] QuotaExchangeDependencies quotaDependencies();
    [[nodiscard]] QuotaPeers quotaPeers() const;
    void startOperatorWatch();

    ControlDutyDependencies m_dependencies;
    LoopMonitor m_loopMonitor;
    TableRelayClient m_relayClient;
    TableRelayServer m_relayServer;
    AsyncTableHooks m_table; ///< reads go through the relay client
    TableWatch m_operatorWatch;
    TableWatch m_sharedWatch;
    RolloutControl m_rolloutControl;
    QuotaExchange m_quotaExchange;
    TargetRow m_targetRow;
    ConfirmationProbe m_confirmationProbe;
    Evacuations m_evacuations;
    std::map<Address, Endpoint> m_endpoints; ///< by inbound address
    std::set<Address> m_unconfirmedTargets;  ///< their rows have to be written again, see rowRewriteTime
    LoopTimer m_unconfirmedTargetsTimer;
    std::optional<StoreEra> m_sharedEra; ///< in which the shared table was last read
    absl::flat_hash_map<ServiceName, ServiceVersions> m_serviceVersions;
    std::optional<Endpoint> m_localTarget;
    LoopTimer m_serviceRowTimer;
    LoopTimer m_operatorWatchTimer;
    WallTime m_tableTime;
    MonotonicTime m_tableTimeReadAt;
    ProxyConfigPtr m_config; ///< the read configuration with the highest revision
    std::optional<ConfigConfirmed> m_publishedConfirmation;
    bool m_hasConfig = false;
    std::set<RowKey> m_refusedRows;   ///< rows of the operator's table whose last value could not be used
    bool m_hasUnreadableRows = false; ///< since the last full read or configuration
    bool m_isInitialSyncDone = false;
    bool m_isOperatorWatchStarted = false;
};

} // namespace dandeliondock
