#include <dandeliondock/codec/table_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/table_relay.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int gone = 410;
constexpr int unavailable = 503;

} // namespace

AsyncTableHooks TableRelay::hooks()
{
    AsyncTableHooks hooks = m_parts.platform;
    hooks.changes = [this](const TableName &table, RowVersion after, Milliseconds, TableReadingHandler handler) {
        if (const std::optional<Address> door = parent())
            follow(*door, table, after, std::move(handler));
        else
            readPlatform(table, after, std::move(handler));
    };
    return hooks;
}

bool TableRelay::isTrusted(const Address &door) const
{
    const auto distrusted = m_distrusted.find(door);
    return distrusted == m_distrusted.end() || distrusted->second.until <= EventLoop::now();
}

// A parent stands before its followers in the order of the region, or in the first region, which follows no other: no
// circle can form whatever each proxy sees.
std::optional<Address> TableRelay::parent() const
{
    if (EventLoop::now() < m_directUntil)
        return std::nullopt;
    std::vector<Address> before;
    for (const Address &door : m_parts.doors()) {
        if (door < m_parts.door && isTrusted(door))
            before.push_back(door);
    }
    if (!before.empty()) {
        std::sort(before.begin(), before.end());
        return before[(before.size() - 1) / relayFanOut];
    }
    std::optional<Address> first;
    for (const Address &door : m_parts.firstRegionDoors()) {
        if (isTrusted(door) && (!first || door < *first))
            first = door;
    }
    return first;
}

void TableRelay::readPlatform(const TableName &table, RowVersion after, TableReadingHandler handler)
{
    m_parts.platform.changes(table, after, platformHold, std::move(handler));
}

void TableRelay::follow(const Address &parent, const TableName &table, RowVersion after, TableReadingHandler handler)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::string(tablePath);
    request.body = encodeTablePoll({table, after});
    LoopCallOptions options;
    options.deadline = EventLoop::now() + relayHold + relayMargin;
    options.transferTime = relayTransfer;
    m_parts.client->send(
            parent, request, options,
            [this, parent, table, after, handler = std::move(handler)](const LoopCallResult &result) {
                absl::Status status = result.status;
                if (status.ok() && result.response.status == ok) {
                    auto reading = decodeTableReading(result.response.body);
                    if (reading.ok()) {
                        m_distrusted.erase(parent);
                        handler(*std::move(reading));
                        return;
                    }
                    status = reading.status();
                } else if (status.ok() && result.response.status == gone) {
                    handler(makeError(ErrorKind::RevisionGap, "the proxy that is followed knows no such old changes"));
                    return;
                } else if (status.ok()) {
                    status = makeError(ErrorKind::StoreUnavailable, "the proxy that is followed has lost the platform");
                }
                distrust(parent, status);
                readPlatform(table, after, handler);
            });
}

void TableRelay::distrust(const Address &parent, const absl::Status &status)
{
    Distrust &entry = m_distrusted[parent];
    entry.length = std::clamp(entry.length * 2, relayDistrust, longestDistrust);
    entry.until = EventLoop::now() + entry.length;
    m_directUntil = EventLoop::now() + directReading;
    LogEvent(LogLevel::Info, "relay.passed_over")
            .field("door", parent)
            .field("for_ms", entry.length.count())
            .error(status)
            .write(m_parts.log);
}

void TableRelay::take(const TableName &name, const TableReading &reading, bool isWhole)
{
    Table &table = m_tables[name];
    table.cache.take(reading, isWhole);
    std::vector<std::uint64_t> ready;
    for (const auto &[id, follower] : table.followers) {
        const auto news = table.cache.since(follower.after);
        if (!news || !news->rows.empty() || !news->removed.empty())
            ready.push_back(id);
    }
    for (const std::uint64_t id : ready)
        answer(table, id);
}

void TableRelay::setCurrent(const TableName &name, bool isCurrent)
{
    Table &table = m_tables[name];
    table.isCurrent = isCurrent;
    if (isCurrent)
        return;
    const auto followers = std::exchange(table.followers, {});
    for (const auto &[id, follower] : followers)
        follower.respond(unavailable, {});
}

void TableRelay::stop()
{
    m_isStopped = true;
    for (auto &[name, table] : m_tables)
        setCurrent(name, false);
}

void TableRelay::handle(absl::string_view body, std::function<void(int, std::string)> respond)
{
    const auto poll = decodeTablePoll(body);
    if (!poll.ok()) {
        LogEvent(LogLevel::Warn, "relay.call_refused").error(poll.status()).write(m_parts.log);
        respond(badRequest, {});
        return;
    }
    const auto found = m_tables.find(poll->table);
    if (m_isStopped || found == m_tables.end() || !found->second.isCurrent) {
        respond(unavailable, {});
        return;
    }
    Table &table = found->second;
    const std::uint64_t id = ++m_lastFollower;
    Follower &follower = table.followers[id];
    follower.after = poll->after;
    follower.respond = std::move(respond);
    const auto news = table.cache.since(poll->after);
    if (!news || !news->rows.empty() || !news->removed.empty()) {
        answer(table, id);
        return;
    }
    follower.timer = m_parts.loop->after(relayHold, [this, name = poll->table, id] { answer(m_tables[name], id); });
}

void TableRelay::answer(Table &table, std::uint64_t id)
{
    const auto found = table.followers.find(id);
    if (found == table.followers.end())
        return;
    Follower follower = std::move(found->second);
    table.followers.erase(found);
    const auto news = table.cache.since(follower.after);
    if (news)
        follower.respond(ok, encodeTableReading(*news));
    else
        follower.respond(gone, {});
}

} // namespace dandeliondock
