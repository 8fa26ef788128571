#include <dandeliondock/proxy/relay_read_log.h>
#include <dandeliondock/proxy/table_relay_server.h>
#include <dandeliondock/relay/relay_serving.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusGone = 410;
constexpr int statusUnavailable = 503;

} // namespace

bool TableRelayServer::canServe(const Table &table) const
{
    ServedCopyState state;
    state.isCurrent = table.isCurrent;
    if (table.confirmedAt != MonotonicTime())
        state.age = ageOf(table);
    state.fleetSize = m_dependencies.fleetSize();
    return !m_isStopped && mayServeCopy(state);
}

void TableRelayServer::apply(const TableName &name, const TableReadResult &result, bool isFull)
{
    Table &table = m_tables[name];
    table.cache.apply(result, isFull);
    if (isFull || !result.rows.empty() || !result.removed.empty())
        table.encodedRows.clear();
    table.confirmedAt = std::max(table.confirmedAt, EventLoop::now() - result.age);
    if (result.confirmedAt)
        table.stateConfirmedAt = std::max(table.stateConfirmedAt.value_or(*result.confirmedAt), *result.confirmedAt);
    // Held polls get a response even without changes, so that a confirmation reaches every level of the tree equally
    // fast.
    std::vector<std::uint64_t> pollIds;
    for (const auto &[id, heldPoll] : table.heldPolls)
        pollIds.push_back(id);
    for (const std::uint64_t id : pollIds)
        respondTo(table, id);
}

void TableRelayServer::setCurrent(const TableName &name, bool isCurrent)
{
    Table &table = m_tables[name];
    table.isCurrent = isCurrent;
    if (canServe(table))
        return;
    const auto heldPolls = std::exchange(table.heldPolls, {});
    for (const auto &[id, heldPoll] : heldPolls)
        heldPoll.respond(statusUnavailable, {});
}

void TableRelayServer::stop()
{
    m_isStopped = true;
    for (auto &[name, table] : m_tables)
        setCurrent(name, false);
}

void TableRelayServer::handle(absl::string_view body, std::function<void(int, std::string)> respond)
{
    const auto poll = decodeTablePoll(body);
    if (!poll.ok()) {
        LogEvent(LogLevel::Warn, "relay.call_refused").error(poll.status()).write(m_dependencies.log);
        respond(statusBadRequest, {});
        return;
    }
    const auto found = m_tables.find(poll->table);
    if (m_isStopped || found == m_tables.end() || !canServe(found->second)) {
        respond(statusUnavailable, {});
        return;
    }
    Table &table = found->second;
    if (poll->isFull) {
        TableReadResult result = table.cache.fullTable();
        result.age = ageOf(table);
        result.confirmedAge = confirmedAgeOf(table);
        respond(statusOk, encodeCopy(poll->table, table, result, true));
        return;
    }
    const std::uint64_t id = ++m_lastPollId;
    HeldPoll &heldPoll = table.heldPolls[id];
    heldPoll.table = poll->table;
    heldPoll.after = poll->after;
    heldPoll.heldSince = EventLoop::now();
    heldPoll.respond = std::move(respond);
    const auto changes = table.cache.changesSince(poll->after);
    if (!changes || !changes->rows.empty() || !changes->removed.empty()) {
        respondTo(table, id);
        return;
    }
    heldPoll.holdTimer =
            m_dependencies.loop->after(relayHold, [this, name = poll->table, id] { respondTo(m_tables[name], id); });
}

// Compressing a configuration takes several milliseconds of a whole core. Doing it for each of the children would keep
// a proxy with a tenth of a core busy for most of a second, for every change.
std::string TableRelayServer::encodeCopy(const TableName &name, Table &table, const TableReadResult &result,
                                         bool isFull) const
{
    const std::pair<std::size_t, std::size_t> key(result.rows.size(), result.removed.size());
    auto rows = table.encodedRows.find(key);
    if (rows == table.encodedRows.end())
        rows = table.encodedRows.emplace(key, encodeTableRows(result)).first;
    std::string copy = encodeTableReadResult(rows->second, result);
    relayedBytes(*m_dependencies.metrics, RelayDirection::Sent, name, isFull).add(copy.size());
    return copy;
}

Milliseconds TableRelayServer::ageOf(const Table &table)
{
    return std::chrono::duration_cast<Milliseconds>(EventLoop::now() - table.confirmedAt);
}

std::optional<Milliseconds> TableRelayServer::confirmedAgeOf(const Table &table)
{
    if (!table.stateConfirmedAt)
        return std::nullopt;
    return std::chrono::ceil<Milliseconds>(BootClock::now() - *table.stateConfirmedAt);
}

void TableRelayServer::respondTo(Table &table, std::uint64_t id)
{
    const auto found = table.heldPolls.find(id);
    if (found == table.heldPolls.end())
        return;
    HeldPoll heldPoll = std::move(found->second);
    table.heldPolls.erase(found);
    auto changes = table.cache.changesSince(heldPoll.after);
    if (changes) {
        changes->age = ageOf(table);
        changes->holdTime = std::chrono::duration_cast<Milliseconds>(EventLoop::now() - heldPoll.heldSince);
        // Read after the hold time: a pause of the process between the two makes the data look older, not newer.
        changes->confirmedAge = confirmedAgeOf(table);
        heldPoll.respond(statusOk, encodeCopy(heldPoll.table, table, *changes, false));
    } else {
        heldPoll.respond(statusGone, {});
    }
}

} // namespace dandeliondock
