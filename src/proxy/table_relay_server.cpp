#include <dandeliondock/codec/table_codec.h>
#include <dandeliondock/proxy/table_relay_server.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int gone = 410;
constexpr int unavailable = 503;

} // namespace

// In a crowded fleet a loss that passes soon is not told to all followers, who would all turn elsewhere at once: they
// see the age of what they get.
bool TableRelayServer::canPassOn(const Table &table) const
{
    const bool isRecent = table.confirmedAt != MonotonicTime() && ageOf(table) <= maxRelayedAge;
    return !m_isStopped && (table.isCurrent || (isRecent && m_parts.fleetSize() >= largeFleetThreshold));
}

void TableRelayServer::apply(const TableName &name, const TableReadResult &reading, bool isWhole)
{
    Table &table = m_tables[name];
    table.cache.apply(reading, isWhole);
    table.confirmedAt = EventLoop::now() - reading.age;
    // Followers are told without news as well, so that a confirmation is as young in every place of the tree.
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, follower] : table.followers)
        waiting.push_back(id);
    for (const std::uint64_t id : waiting)
        answer(table, id);
}

void TableRelayServer::setCurrent(const TableName &name, bool isCurrent)
{
    Table &table = m_tables[name];
    table.isCurrent = isCurrent;
    if (canPassOn(table))
        return;
    const auto followers = std::exchange(table.followers, {});
    for (const auto &[id, follower] : followers)
        follower.respond(unavailable, {});
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
        LogEvent(LogLevel::Warn, "relay.call_refused").error(poll.status()).write(m_parts.log);
        respond(badRequest, {});
        return;
    }
    const auto found = m_tables.find(poll->table);
    if (m_isStopped || found == m_tables.end() || !canPassOn(found->second)) {
        respond(unavailable, {});
        return;
    }
    Table &table = found->second;
    if (poll->isFull) {
        TableReadResult reading = table.cache.fullTable();
        reading.age = ageOf(table);
        respond(ok, encodeTableReadResult(reading));
        return;
    }
    const std::uint64_t id = ++m_lastFollower;
    Follower &follower = table.followers[id];
    follower.after = poll->after;
    follower.since = EventLoop::now();
    follower.respond = std::move(respond);
    const auto news = table.cache.changesSince(poll->after);
    if (!news || !news->rows.empty() || !news->removed.empty()) {
        answer(table, id);
        return;
    }
    follower.timer = m_parts.loop->after(relayHold, [this, name = poll->table, id] { answer(m_tables[name], id); });
}

Milliseconds TableRelayServer::ageOf(const Table &table)
{
    return std::chrono::duration_cast<Milliseconds>(EventLoop::now() - table.confirmedAt);
}

void TableRelayServer::answer(Table &table, std::uint64_t id)
{
    const auto found = table.followers.find(id);
    if (found == table.followers.end())
        return;
    Follower follower = std::move(found->second);
    table.followers.erase(found);
    auto news = table.cache.changesSince(follower.after);
    if (news) {
        news->age = ageOf(table);
        news->holdTime = std::chrono::duration_cast<Milliseconds>(EventLoop::now() - follower.since);
        follower.respond(ok, encodeTableReadResult(*news));
    } else {
        follower.respond(gone, {});
    }
}

} // namespace dandeliondock
