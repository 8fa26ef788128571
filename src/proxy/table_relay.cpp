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
    const auto read = [this](const TablePoll &poll, TableReadingHandler handler) {
        if (const std::optional<Address> door = parent(poll))
            follow(*door, poll, std::move(handler));
        else
            readPlatform(poll, std::move(handler));
    };
    hooks.list = [read](const TableName &table, TableReadingHandler handler) {
        read({table, RowVersion(), true}, std::move(handler));
    };
    hooks.changes = [read](const TableName &table, RowVersion after, Milliseconds, TableReadingHandler handler) {
        read({table, after, false}, std::move(handler));
    };
    return hooks;
}

bool TableRelay::isTrusted(const Address &door) const
{
    const auto distrusted = m_distrusted.find(door);
    return distrusted == m_distrusted.end() || distrusted->second.until <= EventLoop::now();
}

std::optional<Address> TableRelay::parent(const TablePoll &poll) const
{
    std::vector<RelayDoor> doors = m_parts.doors();
    // A whole table is long, and many read it at the same time: after a failure another proxy is asked for it first.
    const bool isDirect = poll.isWhole ? doors.size() < crowdedFleet : EventLoop::now() < m_directUntil;
    if (isDirect)
        return std::nullopt;
    std::erase_if(doors, [this](const RelayDoor &item) { return !isTrusted(item.door); });
    return relayParent(m_parts.self, doors);
}

bool TableRelay::mayReadPlatform() const
{
    const std::vector<RelayDoor> doors = m_parts.doors();
    if (doors.size() < crowdedFleet)
        return true;
    const auto before = std::count_if(doors.begin(), doors.end(), [this](const RelayDoor &item) {
        return item.region == m_parts.self.region && item.door < m_parts.self.door;
    });
    return static_cast<std::size_t>(before) < directReaders;
}

// In a crowded fleet a loss that passes soon is not told to all followers, who would all turn elsewhere at once: they
// see the age of what they get.
bool TableRelay::canPassOn(const Table &table) const
{
    const bool isRecent = table.confirmedAt != MonotonicTime() && ageOf(table) <= relayStale;
    return !m_isStopped && (table.isCurrent || (isRecent && m_parts.doors().size() >= crowdedFleet));
}

void TableRelay::readPlatform(const TablePoll &poll, TableReadingHandler handler)
{
    if (poll.isWhole)
        m_parts.platform.list(poll.table, std::move(handler));
    else
        m_parts.platform.changes(poll.table, poll.after, platformHold, std::move(handler));
}

LoopCallOptions TableRelay::callOptions(const TablePoll &poll)
{
    LoopCallOptions options;
    options.deadline = EventLoop::now() + (poll.isWhole ? Milliseconds{0} : relayHold) + relayMargin;
    options.transferTime = relayTransfer;
    return options;
}

void TableRelay::follow(const Address &parent, const TablePoll &poll, TableReadingHandler handler)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::string(tablePath);
    request.body = encodeTablePoll(poll);
    const MonotonicTime sentAt = EventLoop::now();
    m_parts.client->send(
            parent, request, callOptions(poll),
            [this, parent, poll, sentAt, handler = std::move(handler)](const LoopCallResult &result) {
                const auto taken = std::chrono::duration_cast<Milliseconds>(EventLoop::now() - sentAt);
                absl::Status status = result.status;
                if (status.ok() && result.response.status == ok) {
                    auto reading = decodeTableReading(result.response.body);
                    if (reading.ok())
                        noteWay(parent, poll.table, taken, *reading);
                    if (reading.ok() && reading->age <= relayStale) {
                        m_distrusted.erase(parent);
                        if (poll.isWhole)
                            m_wholeFailures = 0;
                        handler(*std::move(reading));
                        return;
                    }
                    status = reading.ok()
                                     ? makeError(ErrorKind::StoreUnavailable, "the proxy that is followed is behind")
                                     : reading.status();
                } else if (status.ok() && result.response.status == gone) {
                    handler(makeError(ErrorKind::RevisionGap, "the proxy that is followed knows no such old changes"));
                    return;
                } else if (status.ok()) {
                    status = makeError(ErrorKind::StoreUnavailable, "the proxy that is followed has lost the platform");
                }
                distrust(parent, taken, status);
                const bool isFirstTry = poll.isWhole && ++m_wholeFailures < wholeTries;
                if (isFirstTry || (!poll.isWhole && !mayReadPlatform())) {
                    handler(makeError(ErrorKind::StoreUnavailable, "the proxy that is followed has failed"));
                    return;
                }
                readPlatform(poll, handler);
            });
}

void TableRelay::noteWay(const Address &parent, const TableName &table, Milliseconds taken, const TableReading &reading)
{
    const Milliseconds way = taken - reading.heldFor;
    m_parts.metrics->latency("relay_way_seconds").record(way);
    if (way < relaySlowWay || !m_wayLimiter.admits(EventLoop::now(), m_parts.log))
        return;
    LogEvent(LogLevel::Info, "relay.slow_way")
            .field("door", parent)
            .field("table", table)
            .field("way_ms", way.count())
            .field("held_ms", reading.heldFor.count())
            .field("age_ms", reading.age.count())
            .field("loop_late_ms", m_parts.loopLateness().count())
            .write(m_parts.log);
}

void TableRelay::distrust(const Address &parent, Milliseconds taken, const absl::Status &status)
{
    Distrust &entry = m_distrusted[parent];
    entry.length = std::clamp(entry.length * 2, relayDistrust, longestDistrust);
    entry.until = EventLoop::now() + entry.length;
    if (mayReadPlatform())
        m_directUntil = EventLoop::now() + directReading;
    LogEvent(LogLevel::Info, "relay.passed_over")
            .field("door", parent)
            .field("for_ms", entry.length.count())
            .field("after_ms", taken.count())
            .field("loop_late_ms", m_parts.loopLateness().count())
            .error(status)
            .write(m_parts.log);
}

void TableRelay::take(const TableName &name, const TableReading &reading, bool isWhole)
{
    Table &table = m_tables[name];
    table.cache.take(reading, isWhole);
    table.confirmedAt = EventLoop::now() - reading.age;
    // Followers are told without news as well, so that a confirmation is as young in every place of the tree.
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, follower] : table.followers)
        waiting.push_back(id);
    for (const std::uint64_t id : waiting)
        answer(table, id);
}

void TableRelay::setCurrent(const TableName &name, bool isCurrent)
{
    Table &table = m_tables[name];
    table.isCurrent = isCurrent;
    if (canPassOn(table))
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
    if (m_isStopped || found == m_tables.end() || !canPassOn(found->second)) {
        respond(unavailable, {});
        return;
    }
    Table &table = found->second;
    if (poll->isWhole) {
        TableReading reading = table.cache.whole();
        reading.age = ageOf(table);
        respond(ok, encodeTableReading(reading));
        return;
    }
    const std::uint64_t id = ++m_lastFollower;
    Follower &follower = table.followers[id];
    follower.after = poll->after;
    follower.since = EventLoop::now();
    follower.respond = std::move(respond);
    const auto news = table.cache.since(poll->after);
    if (!news || !news->rows.empty() || !news->removed.empty()) {
        answer(table, id);
        return;
    }
    follower.timer = m_parts.loop->after(relayHold, [this, name = poll->table, id] { answer(m_tables[name], id); });
}

Milliseconds TableRelay::ageOf(const Table &table)
{
    return std::chrono::duration_cast<Milliseconds>(EventLoop::now() - table.confirmedAt);
}

void TableRelay::answer(Table &table, std::uint64_t id)
{
    const auto found = table.followers.find(id);
    if (found == table.followers.end())
        return;
    Follower follower = std::move(found->second);
    table.followers.erase(found);
    auto news = table.cache.since(follower.after);
    if (news) {
        news->age = ageOf(table);
        news->heldFor = std::chrono::duration_cast<Milliseconds>(EventLoop::now() - follower.since);
        follower.respond(ok, encodeTableReading(*news));
    } else {
        follower.respond(gone, {});
    }
}

} // namespace dandeliondock
