#include <dandeliondock/codec/proxy_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/control_duty.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <set>
#include <utility>

namespace dandeliondock {

namespace {

constexpr int outcomesTaken = 200;
constexpr absl::string_view targetPrefix = "target/";

RowKey targetKey(const Address &door)
{
    return RowKey(absl::StrCat(targetPrefix, door.value()));
}

TableName sharedTable()
{
    return TableName(std::string(sharedTableName));
}

} // namespace

ControlDuty::ControlDuty(ControlDutyDependencies parts)
    : m_parts(std::move(parts)),
      m_loopWatch(*m_parts.loop, "control", *m_parts.metrics, m_parts.log, [](LogEvent &) {}),
      m_follower(followerParts()), m_relay(relayParts()), m_table(m_follower.hooks()),
      m_operatorWatch(
              *m_parts.loop, m_table, m_parts.documents.table, {}, m_parts.random, m_parts.log,
              [this](const TableReadResult &reading, bool isWhole) {
                  m_relay.apply(m_parts.documents.table, reading, isWhole);
                  readOperator(reading);
              },
              [this](bool isCurrent) { m_relay.setCurrent(m_parts.documents.table, isCurrent); }),
      m_sharedWatch(
              *m_parts.loop, m_table, sharedTable(), {}, m_parts.random, m_parts.log,
              [this](const TableReadResult &reading, bool isWhole) {
                  m_relay.apply(sharedTable(), reading, isWhole);
                  readShared(reading, isWhole);
              },
              [this](bool isCurrent) { m_relay.setCurrent(sharedTable(), isCurrent); }),
      m_rollout(rolloutParts())
{
}

TableRelayClientDependencies ControlDuty::followerParts()
{
    TableRelayClientDependencies parts;
    parts.loop = m_parts.loop;
    parts.client = m_parts.client;
    parts.platform = m_parts.table;
    parts.metrics = m_parts.metrics;
    parts.log = m_parts.log;
    parts.self = {m_parts.region, m_parts.inboundAddress};
    parts.peers = [this] { return servingDoors(); };
    parts.loopLateness = [this] { return m_loopWatch.lateness(); };
    return parts;
}

TableRelayServerDependencies ControlDuty::relayParts()
{
    TableRelayServerDependencies parts;
    parts.loop = m_parts.loop;
    parts.log = m_parts.log;
    parts.fleetSize = [this] { return servingDoors().size(); };
    return parts;
}

std::vector<RelayPeer> ControlDuty::servingDoors() const
{
    std::vector<RelayPeer> doors;
    for (const auto &[door, endpoint] : m_endpoints) {
        if (endpoint.stamp.state == EndpointState::Serving)
            doors.push_back({endpoint.region, door});
    }
    return doors;
}

void ControlDuty::handle(absl::string_view path, absl::string_view body, std::function<void(int, std::string)> respond)
{
    if (path == relayTablePath)
        m_relay.handle(body, std::move(respond));
    else
        respond(outcomesTaken, m_rollout.handleReport(body));
}

RolloutControlDependencies ControlDuty::rolloutParts()
{
    RolloutControlDependencies parts;
    parts.loop = m_parts.loop;
    parts.client = m_parts.client;
    parts.table = &m_parts.table;
    parts.documents = &m_parts.documents;
    parts.sharedTable = sharedTable();
    parts.node = m_parts.node;
    parts.incarnation = m_parts.incarnation;
    parts.inboundAddress = m_parts.inboundAddress;
    parts.service = m_parts.service;
    parts.log = m_parts.log;
    parts.onVersions = [this](const ServiceVersions &versions) { m_parts.publish(versions); };
    parts.servingCount = [this](const VersionName &version) { return serving(version); };
    parts.rank = [this] { return rank(); };
    parts.isTableCurrent = [this] { return m_sharedWatch.isCurrent(); };
    parts.tableTime = [this] {
        return m_tableTime + std::chrono::duration_cast<Milliseconds>(EventLoop::now() - m_tableTimeAt);
    };
    return parts;
}

void ControlDuty::start()
{
    m_loopWatch.start();
    m_sharedWatch.start();
}

// The shared table tells who passes the operator's table on.
void ControlDuty::startOperatorWatch()
{
    if (std::exchange(m_followsOperator, true))
        return;
    if (!m_endpoints.empty()) {
        m_operatorWatch.start();
        return;
    }
    const auto wait = Milliseconds(uniformBelow(m_parts.random, coldStartSpread.count()));
    m_startTimer = m_parts.loop->after(wait, [this] { m_operatorWatch.start(); });
}

void ControlDuty::announce(const Endpoint &endpoint)
{
    m_own = endpoint;
    writeOwnRow();
}

void ControlDuty::writeOwnRow()
{
    if (m_isWriting || !m_own || m_own == m_ownWritten)
        return;
    m_isWriting = true;
    TableTransaction transaction;
    transaction.writes.push_back({sharedTable(), {targetKey(m_parts.inboundAddress), encodeTargetRow(*m_own)}});
    m_parts.table.commit(transaction, [this, written = *m_own](absl::StatusOr<TableCommitResult> result) {
        m_isWriting = false;
        if (result.ok() && result->committed) {
            m_ownWritten = written;
            writeOwnRow();
            return;
        }
        LogEvent event(LogLevel::Warn, "target.row_not_written");
        event.field("target", written.target);
        if (!result.ok())
            event.error(result.status());
        event.write(m_parts.log);
        const auto wait = rowRetry / 2 + Milliseconds(uniformBelow(m_parts.random, rowRetry.count()));
        m_rowTimer = m_parts.loop->after(wait, [this] { writeOwnRow(); });
    });
    declareVersion();
}

// The first target of a service declares which version carries its traffic.
void ControlDuty::declareVersion()
{
    if (!m_sharedWatch.isSynced() || !m_own || m_own->stamp.state != EndpointState::Serving
        || m_versions.contains(m_own->service))
        return;
    ServiceVersions versions{m_own->service, m_own->version, std::nullopt};
    TableTransaction transaction;
    const RowKey key = serviceRowKey(m_own->service);
    transaction.conditions.push_back({sharedTable(), {key, RowVersion(0)}});
    transaction.writes.push_back({sharedTable(), {key, encodeServiceVersions(versions)}});
    m_parts.table.commit(transaction, [this](const absl::StatusOr<TableCommitResult> &result) {
        if (!result.ok()) {
            LogEvent(LogLevel::Warn, "service.version_not_declared").error(result.status()).write(m_parts.log);
            m_versionTimer = m_parts.loop->after(rowRetry, [this] { declareVersion(); });
        }
    });
}

void ControlDuty::noteTime(const TableReadResult &reading)
{
    m_tableTime = reading.tableTime;
    m_tableTimeAt = EventLoop::now();
}

void ControlDuty::readOperator(const TableReadResult &reading)
{
    noteTime(reading);
    for (const TableRow &row : reading.rows) {
        auto document = m_parts.documents.read(row);
        if (!document.ok()) {
            m_parts.metrics->counter("operator_rows_refused_total").add();
            LogEvent(LogLevel::Warn, "operator.row_refused")
                    .field("row", row.key)
                    .field("version", row.version)
                    .error(document.status())
                    .write(m_parts.log);
            continue;
        }
        if (const auto *config = std::get_if<ProxyConfigPtr>(&*document)) {
            LogEvent(LogLevel::Info, "config.read")
                    .field("revision", (*config)->state->revision())
                    .field("row_version", row.version)
                    .write(m_parts.log);
            m_hasConfig = true;
            m_parts.publish(*config);
        } else if (const auto *order = std::get_if<RolloutOrder>(&*document)) {
            if (order->service == m_parts.service)
                m_rollout.setOrder(*order);
        }
    }
    tellWhenComplete();
}

void ControlDuty::readShared(const TableReadResult &reading, bool isWhole)
{
    noteTime(reading);
    for (const TableRow &row : reading.rows)
        readRow(row);
    for (const RowKey &key : reading.removed)
        removeRow(key);
    if (isWhole) {
        removeMissing(reading);
        declareVersion();
    }
    startOperatorWatch();
    tellWhenComplete();
}

void ControlDuty::readRow(const TableRow &row)
{
    absl::string_view name = row.key.value();
    absl::Status status;
    if (absl::ConsumePrefix(&name, targetPrefix)) {
        const auto endpoint = decodeTargetRow(row.value);
        status = endpoint.status();
        if (endpoint.ok()) {
            m_endpoints[endpoint->controlAddress] = *endpoint;
            m_parts.publish(*endpoint);
        }
    } else if (absl::ConsumePrefix(&name, serviceRowPrefix)) {
        const auto versions = decodeServiceVersions(ServiceName(std::string(name)), row.value);
        status = versions.status();
        if (versions.ok()) {
            m_versions[versions->service] = *versions;
            if (versions->service == m_parts.service)
                m_rollout.setRow(*versions, row.version);
            else
                m_parts.publish(*versions);
        }
    }
    if (!status.ok())
        LogEvent(LogLevel::Warn, "table.row_refused").field("row", row.key).error(status).write(m_parts.log);
}

void ControlDuty::removeRow(const RowKey &key)
{
    absl::string_view name = key.value();
    if (!absl::ConsumePrefix(&name, targetPrefix))
        return;
    const Address door{std::string(name)};
    m_endpoints.erase(door);
    m_parts.publish(EndpointRemoved{door});
    if (door == m_parts.inboundAddress && m_own && m_own->stamp.state != EndpointState::Gone) {
        m_ownWritten.reset();
        writeOwnRow();
    }
}

void ControlDuty::removeMissing(const TableReadResult &reading)
{
    std::set<RowKey> present;
    for (const TableRow &row : reading.rows)
        present.insert(row.key);
    std::vector<RowKey> missing;
    for (const auto &[door, endpoint] : m_endpoints) {
        if (!present.contains(targetKey(door)))
            missing.push_back(targetKey(door));
    }
    for (const RowKey &key : missing)
        removeRow(key);
}

void ControlDuty::tellWhenComplete()
{
    if (m_isComplete || !m_hasConfig || !m_sharedWatch.isSynced())
        return;
    m_isComplete = true;
    m_parts.publish(InitialSyncDone{});
}

std::uint32_t ControlDuty::serving(const VersionName &version) const
{
    std::uint32_t count = 0;
    for (const auto &[door, endpoint] : m_endpoints) {
        if (endpoint.service == m_parts.service && endpoint.version == version
            && endpoint.stamp.state == EndpointState::Serving)
            ++count;
    }
    return count;
}

std::size_t ControlDuty::rank() const
{
    std::size_t before = 0;
    for (const auto &[door, endpoint] : m_endpoints) {
        if (endpoint.service == m_parts.service && door < m_parts.inboundAddress)
            ++before;
    }
    return before;
}

} // namespace dandeliondock
