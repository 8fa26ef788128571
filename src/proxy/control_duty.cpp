#include <dandeliondock/codec/proxy_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/control_duty.h>
#include <dandeliondock/store/era_checked_table.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <set>
#include <utility>

namespace dandeliondock {

namespace {

constexpr int statusOk = 200;

TableName sharedTable()
{
    return TableName(std::string(sharedTableName));
}

} // namespace

ControlDuty::ControlDuty(ControlDutyDependencies dependencies)
    : m_dependencies(withCheckedEras(std::move(dependencies))),
      m_loopMonitor(*m_dependencies.loop, "control", *m_dependencies.metrics, m_dependencies.log, [](LogEvent &) {}),
      m_relayClient(relayClientDependencies()), m_relayServer(relayServerDependencies()),
      m_table(m_relayClient.hooks()),
      m_operatorWatch(
              *m_dependencies.loop, m_table, m_dependencies.documents.table, {}, m_dependencies.random,
              m_dependencies.log,
              [this](const TableReadResult &result, bool isFull) {
                  m_relayServer.apply(m_dependencies.documents.table, result, isFull);
                  applyEvacuations(result, isFull);
                  applyOperatorRows(result, isFull);
              },
              [this](bool isCurrent) { m_relayServer.setCurrent(m_dependencies.documents.table, isCurrent); }),
      m_sharedWatch(
              *m_dependencies.loop, m_table, sharedTable(), {}, m_dependencies.random, m_dependencies.log,
              [this](const TableReadResult &result, bool isFull) {
                  m_relayServer.apply(sharedTable(), result, isFull);
                  applySharedRows(result, isFull);
              },
              [this](bool isCurrent) { m_relayServer.setCurrent(sharedTable(), isCurrent); }),
      m_rolloutControl(rolloutDependencies()), m_quotaExchange(quotaDependencies()),
      m_targetRow(targetRowDependencies()), m_confirmationProbe(confirmationProbeDependencies())
{
}

ControlDutyDependencies ControlDuty::withCheckedEras(ControlDutyDependencies dependencies)
{
    dependencies.table = eraCheckedTable(*dependencies.loop, std::move(dependencies.table));
    return dependencies;
}

TableRelayClientDependencies ControlDuty::relayClientDependencies()
{
    TableRelayClientDependencies dependencies;
    dependencies.loop = m_dependencies.loop;
    dependencies.client = m_dependencies.client;
    dependencies.platform = m_dependencies.table;
    dependencies.metrics = m_dependencies.metrics;
    dependencies.log = m_dependencies.log;
    dependencies.self = {m_dependencies.region, m_dependencies.inboundAddress, m_dependencies.dataCentre};
    dependencies.peers = [this] { return servingPeers(); };
    dependencies.loopLateness = [this] { return m_loopMonitor.lateness(); };
    return dependencies;
}

TableRelayServerDependencies ControlDuty::relayServerDependencies()
{
    TableRelayServerDependencies dependencies;
    dependencies.loop = m_dependencies.loop;
    dependencies.log = m_dependencies.log;
    dependencies.metrics = m_dependencies.metrics;
    dependencies.fleetSize = [this] { return servingPeers().size(); };
    return dependencies;
}

TargetRowDependencies ControlDuty::targetRowDependencies()
{
    TargetRowDependencies dependencies;
    dependencies.loop = m_dependencies.loop;
    dependencies.table = &m_dependencies.table;
    dependencies.tableName = sharedTable();
    dependencies.inboundAddress = m_dependencies.inboundAddress;
    dependencies.random = m_dependencies.random;
    dependencies.log = m_dependencies.log;
    dependencies.onRead = [this](const std::optional<Endpoint> &record) {
        m_dependencies.publish(TargetRecordRead{record});
    };
    dependencies.onRecorded = [this](const Endpoint &record) { m_dependencies.publish(TargetRecorded{record}); };
    return dependencies;
}

ConfirmationProbeDependencies ControlDuty::confirmationProbeDependencies()
{
    ConfirmationProbeDependencies dependencies;
    dependencies.loop = m_dependencies.loop;
    dependencies.metrics = m_dependencies.metrics;
    dependencies.bound = m_dependencies.keyWithdrawalBound;
    dependencies.isNeeded = [this] { return m_config && !m_config->accounts.isEmpty(); };
    dependencies.fleetSize = [this] { return servingPeers().size(); };
    dependencies.openProbeLimit = [this] { return m_relayClient.openProbeLimit(); };
    dependencies.poll = [this](std::function<void()> onEnd) {
        m_relayClient.probePlatform(m_dependencies.documents.table, m_operatorWatch.asOfVersion(),
                                    [this, onEnd = std::move(onEnd)](const absl::StatusOr<TableReadResult> &result) {
                                        onEnd();
                                        m_operatorWatch.applyPoll(result);
                                    });
    };
    return dependencies;
}

QuotaExchangeDependencies ControlDuty::quotaDependencies()
{
    QuotaExchangeDependencies dependencies;
    dependencies.loop = m_dependencies.loop;
    dependencies.client = m_dependencies.client;
    dependencies.metrics = m_dependencies.metrics;
    dependencies.log = m_dependencies.log;
    dependencies.random = m_dependencies.random;
    dependencies.self = {m_dependencies.dataCentre, m_dependencies.inboundAddress};
    dependencies.incarnation = m_dependencies.incarnation;
    dependencies.bounds = m_dependencies.quota;
    dependencies.peers = [this] { return quotaPeers(); };
    dependencies.onGrants = [this](const QuotaGrants &grants) { m_dependencies.publish(grants); };
    return dependencies;
}

QuotaPeers ControlDuty::quotaPeers() const
{
    QuotaPeers peers;
    for (const auto &[address, endpoint] : m_endpoints) {
        if (endpoint.stamp.state == EndpointState::Serving)
            peers.push_back({endpoint.dataCentre, address});
    }
    return peers;
}

std::vector<RelayPeer> ControlDuty::servingPeers() const
{
    std::vector<RelayPeer> peers;
    for (const auto &[address, endpoint] : m_endpoints) {
        if (endpoint.stamp.state == EndpointState::Serving)
            peers.push_back({endpoint.region, address, endpoint.dataCentre});
    }
    return peers;
}

void ControlDuty::handle(PeerMessageKind kind, absl::string_view body, std::function<void(int, std::string)> respond)
{
    switch (kind) {
    case PeerMessageKind::TablePoll:
        m_relayServer.handle(body, std::move(respond));
        return;
    case PeerMessageKind::OutcomeReport:
        respond(statusOk, m_rolloutControl.handleReport(body));
        return;
    case PeerMessageKind::QuotaReport:
    case PeerMessageKind::QuotaSums:
        PeerResponse response = m_quotaExchange.handle(kind, body);
        respond(response.status, std::move(response.body));
        return;
    }
}

RolloutControlDependencies ControlDuty::rolloutDependencies()
{
    RolloutControlDependencies dependencies;
    dependencies.loop = m_dependencies.loop;
    dependencies.client = m_dependencies.client;
    dependencies.table = &m_dependencies.table;
    dependencies.documents = &m_dependencies.documents;
    dependencies.sharedTable = sharedTable();
    dependencies.node = m_dependencies.node;
    dependencies.incarnation = m_dependencies.incarnation;
    dependencies.inboundAddress = m_dependencies.inboundAddress;
    dependencies.service = m_dependencies.service;
    dependencies.log = m_dependencies.log;
    dependencies.onVersions = [this](const ServiceVersions &versions) { m_dependencies.publish(versions); };
    dependencies.servingCount = [this](const VersionName &version) { return servingCount(version); };
    dependencies.rank = [this] { return rank(); };
    dependencies.isTableCurrent = [this] { return m_sharedWatch.isCurrent(); };
    dependencies.tableTime = [this] {
        return m_tableTime + std::chrono::duration_cast<Milliseconds>(EventLoop::now() - m_tableTimeReadAt);
    };
    return dependencies;
}

void ControlDuty::start()
{
    m_loopMonitor.start();
    m_targetRow.start();
    m_sharedWatch.start();
    m_confirmationProbe.start();
}

// Starts after the shared table was read, because that table lists the peers through which the operator's table is
// read.
void ControlDuty::startOperatorWatch()
{
    if (std::exchange(m_isOperatorWatchStarted, true))
        return;
    if (!m_endpoints.empty()) {
        m_operatorWatch.start();
        return;
    }
    const auto delay = Milliseconds(uniformBelow(m_dependencies.random, coldStartSpread.count()));
    m_operatorWatchTimer = m_dependencies.loop->after(delay, [this] { m_operatorWatch.start(); });
}

void ControlDuty::announce(const Endpoint &endpoint)
{
    m_localTarget = endpoint;
    m_targetRow.announce(endpoint);
    declareServiceVersion();
}

// The first serving target of a service sets the service's current version.
void ControlDuty::declareServiceVersion()
{
    if (!m_sharedWatch.isSynced() || !m_localTarget || m_localTarget->stamp.state != EndpointState::Serving
        || m_serviceVersions.contains(m_localTarget->service))
        return;
    ServiceVersions versions{m_localTarget->service, m_localTarget->version, std::nullopt};
    TableTransaction transaction;
    const RowKey key = serviceRowKey(m_localTarget->service);
    transaction.conditions.push_back({sharedTable(), key, TableVersion()});
    transaction.writes.push_back({sharedTable(), {key, encodeServiceVersions(versions)}});
    m_dependencies.table.commit(transaction, [this](const absl::StatusOr<TableCommitResult> &result) {
        if (!result.ok()) {
            LogEvent(LogLevel::Warn, "service.version_not_declared").error(result.status()).write(m_dependencies.log);
            m_serviceRowTimer = m_dependencies.loop->after(rowWriteRetryDelay, [this] { declareServiceVersion(); });
        }
    });
}

void ControlDuty::recordTableTime(const TableReadResult &result)
{
    m_tableTime = result.tableTime;
    m_tableTimeReadAt = EventLoop::now();
}

// Called before a configuration of the same read is published, so that no request is sent by that configuration to a
// data centre which is evacuated. An evacuation applies whatever the value of its row.
void ControlDuty::applyEvacuations(const TableReadResult &result, bool isFull)
{
    EvacuationChanges changes;
    changes.asOfVersion = result.asOfVersion;
    changes.isFull = isFull;
    for (const TableRow &row : result.rows) {
        if (auto dataCentre = m_dependencies.documents.evacuatedDataCentre(row.key))
            changes.declared.push_back({*std::move(dataCentre), result.versionOf(row)});
    }
    for (const RowKey &key : result.removed) {
        if (auto dataCentre = m_dependencies.documents.evacuatedDataCentre(key))
            changes.ended.push_back(*std::move(dataCentre));
    }
    if (!m_evacuations.apply(changes))
        return;
    const std::set<DataCentreName> dataCentres = m_evacuations.dataCentres();
    LogEvent(LogLevel::Info, "evacuations.changed")
            .field("data_centres", absl::StrJoin(dataCentres, ",", absl::StreamFormatter()))
            .field("version", result.asOfVersion)
            .write(m_dependencies.log);
    m_dependencies.publish(EvacuationsUpdate{dataCentres});
}

void ControlDuty::applyOperatorRows(const TableReadResult &result, bool isFull)
{
    recordTableTime(result);
    m_hasUnreadableRows = result.unreadable > 0 || (m_hasUnreadableRows && !isFull);
    for (const RowKey &key : result.removed)
        m_refusedRows.erase(key);
    for (const TableRow &row : result.rows) {
        auto document = m_dependencies.documents.read(row, result.asOfVersion.era);
        if (!document.ok()) {
            m_dependencies.metrics->counter("operator_rows_refused_total").add();
            LogEvent(LogLevel::Warn, "operator.row_refused")
                    .field("row", row.key)
                    .field("version", row.version)
                    .error(document.status())
                    .write(m_dependencies.log);
            m_refusedRows.insert(row.key);
            continue;
        }
        m_refusedRows.erase(row.key);
        if (const auto *config = std::get_if<ProxyConfigPtr>(&*document)) {
            LogEvent(LogLevel::Info, "config.read")
                    .field("revision", (*config)->state->revision())
                    .field("row_version", row.version)
                    .write(m_dependencies.log);
            m_hasConfig = true;
            m_hasUnreadableRows = result.unreadable > 0;
            if (!m_config || m_config->state->revision() < (*config)->state->revision())
                m_config = *config;
            m_quotaExchange.setConfig(*config);
            m_dependencies.publish(*config);
        } else if (const auto *order = std::get_if<RolloutOrder>(&*document)) {
            if (order->service == m_dependencies.service)
                m_rolloutControl.setOrder(*order);
        }
    }
    publishConfirmation(result);
    publishWhenSynced();
}

// Follows the configuration itself, which the traffic duty receives first.
void ControlDuty::publishConfirmation(const TableReadResult &result)
{
    if (!result.confirmedAt || !m_config)
        return;
    m_confirmationProbe.recordConfirmation(*result.confirmedAt);
    const bool isComplete = m_refusedRows.empty() && !m_hasUnreadableRows;
    const ConfigConfirmed confirmed{m_config->state->revision(), *result.confirmedAt, isComplete};
    if (m_publishedConfirmation && m_publishedConfirmation->revision == confirmed.revision
        && m_publishedConfirmation->isComplete == isComplete
        && confirmed.at - m_publishedConfirmation->at < confirmationInterval)
        return;
    m_publishedConfirmation = confirmed;
    m_dependencies.publish(confirmed);
}

void ControlDuty::applySharedRows(const TableReadResult &result, bool isFull)
{
    recordTableTime(result);
    const bool isNewEra = m_sharedEra && *m_sharedEra != result.asOfVersion.era;
    m_sharedEra = result.asOfVersion.era;
    for (const TableRow &row : result.rows)
        applySharedRow(row, result.versionOf(row), isNewEra);
    for (const RowKey &key : result.removed)
        removeSharedRow(key, result.asOfVersion);
    if (isFull) {
        handleMissingRows(result, isNewEra);
        declareServiceVersion();
    }
    startOperatorWatch();
    publishWhenSynced();
}

// With isNewEra the row is of an older copy of the table: it does not replace what was known to be newer, because the
// proxy that wrote the newer row writes it again.
void ControlDuty::applySharedRow(const TableRow &row, const TableVersion &version, bool isNewEra)
{
    absl::string_view name = row.key.value();
    absl::Status status;
    if (absl::ConsumePrefix(&name, targetRowPrefix)) {
        if (name == m_dependencies.inboundAddress.value())
            m_targetRow.handleTableVersion(version);
        const auto endpoint = decodeTargetRow(Address(std::string(name)), row.value);
        status = endpoint.status();
        if (endpoint.ok())
            applyEndpoint(*endpoint, isNewEra);
    } else if (absl::ConsumePrefix(&name, serviceRowPrefix)) {
        const auto versions = decodeServiceVersions(ServiceName(std::string(name)), row.value);
        status = versions.status();
        if (versions.ok())
            applyServiceVersions(*versions, version, isNewEra);
    }
    if (status.ok())
        return;
    m_dependencies.metrics->counter("table_rows_refused_total").add();
    LogEvent(LogLevel::Warn, "table.row_refused")
            .field("row", row.key)
            .field("version", version)
            .error(status)
            .write(m_dependencies.log);
}

void ControlDuty::applyEndpoint(const Endpoint &endpoint, bool isNewEra)
{
    m_unconfirmedTargets.erase(endpoint.controlAddress);
    const auto [known, isFirst] = m_endpoints.try_emplace(endpoint.controlAddress, endpoint);
    if (!isFirst && isNewEra && endpoint.stamp < known->second.stamp)
        return;
    known->second = endpoint;
    m_dependencies.publish(endpoint);
}

void ControlDuty::applyServiceVersions(const ServiceVersions &versions, const TableVersion &version, bool isNewEra)
{
    const auto [known, isFirst] = m_serviceVersions.try_emplace(versions.service, versions);
    if (versions.service == m_dependencies.service) {
        known->second = versions;
        m_rolloutControl.setRow(versions, version);
        return;
    }
    if (!isFirst && isNewEra && isBehind(versions, known->second))
        return;
    known->second = versions;
    m_dependencies.publish(versions);
}

void ControlDuty::removeSharedRow(const RowKey &key, const TableVersion &asOfVersion)
{
    absl::string_view name = key.value();
    if (!absl::ConsumePrefix(&name, targetRowPrefix))
        return;
    const Address address{std::string(name)};
    removeTarget(address);
    if (address == m_dependencies.inboundAddress)
        m_targetRow.handleRowAbsent(asOfVersion);
}

void ControlDuty::removeTarget(const Address &address)
{
    m_unconfirmedTargets.erase(address);
    m_endpoints.erase(address);
    m_dependencies.publish(EndpointRemoved{address});
}

// A copy of the table lacks the rows of the targets that registered after it was made. They stay in use until their
// proxies had time to write them again.
void ControlDuty::handleMissingRows(const TableReadResult &result, bool isNewEra)
{
    std::set<RowKey> presentKeys;
    for (const TableRow &row : result.rows)
        presentKeys.insert(row.key);
    if (!presentKeys.contains(TargetRow::keyOf(m_dependencies.inboundAddress)))
        m_targetRow.handleRowAbsent(result.asOfVersion);
    if (!presentKeys.contains(serviceRowKey(m_dependencies.service)))
        m_rolloutControl.handleRowAbsent(result.asOfVersion);
    std::vector<Address> missing;
    for (const auto &[address, endpoint] : m_endpoints) {
        if (!presentKeys.contains(TargetRow::keyOf(address)) && !m_unconfirmedTargets.contains(address))
            missing.push_back(address);
    }
    if (!isNewEra) {
        for (const Address &address : missing)
            removeTarget(address);
        return;
    }
    m_unconfirmedTargets.insert(missing.begin(), missing.end());
    m_unconfirmedTargetsTimer = m_dependencies.loop->after(rowRewriteTime, [this] { removeUnconfirmedTargets(); });
}

void ControlDuty::removeUnconfirmedTargets()
{
    for (const Address &address : std::exchange(m_unconfirmedTargets, {})) {
        LogEvent(LogLevel::Warn, "target.row_not_rewritten").field("proxy", address).write(m_dependencies.log);
        removeTarget(address);
    }
}

void ControlDuty::publishWhenSynced()
{
    if (m_isInitialSyncDone || !m_hasConfig || !m_sharedWatch.isSynced())
        return;
    m_isInitialSyncDone = true;
    m_dependencies.publish(InitialSyncDone{});
}

std::uint32_t ControlDuty::servingCount(const VersionName &version) const
{
    std::uint32_t count = 0;
    for (const auto &[address, endpoint] : m_endpoints) {
        if (endpoint.service == m_dependencies.service && endpoint.version == version
            && endpoint.stamp.state == EndpointState::Serving)
            ++count;
    }
    return count;
}

std::size_t ControlDuty::rank() const
{
    std::size_t lowerRanked = 0;
    for (const auto &[address, endpoint] : m_endpoints) {
        if (endpoint.service == m_dependencies.service && endpoint.stamp.state == EndpointState::Serving
            && address < m_dependencies.inboundAddress)
            ++lowerRanked;
    }
    return lowerRanked;
}

} // namespace dandeliondock
