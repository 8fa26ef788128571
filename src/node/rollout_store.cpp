#include <dandeliondock/node/rollout_store.h>

#include <dandeliondock/codec/row_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/store/row_keys.h>

#include <utility>

namespace dandeliondock {

namespace {

constexpr std::size_t writeCapacity = 64;
constexpr Milliseconds refreshInterval{500};
constexpr Milliseconds requestWindow{5'000};

absl::StatusOr<std::optional<RolloutRow>> decodeOptional(const TableRow &row)
{
    if (row.version == RowVersion{})
        return std::optional<RolloutRow>();
    absl::StatusOr<RolloutRow> decoded = decodeRolloutRow(row);
    if (!decoded.ok())
        return decoded.status();
    return std::optional<RolloutRow>(*std::move(decoded));
}

} // namespace

absl::StatusOr<std::vector<RolloutRow>> readRolloutRows(const StoreHooks &store,
                                                        const std::vector<TicketNumber> &tickets)
{
    std::vector<RowKey> keys;
    keys.reserve(tickets.size());
    for (const TicketNumber ticket : tickets)
        keys.push_back(rolloutKey(ticket));
    const absl::StatusOr<std::vector<TableRow>> rows = store.read(keys);
    if (!rows.ok())
        return rows.status();
    std::vector<RolloutRow> decoded;
    for (const TableRow &row : *rows) {
        const absl::StatusOr<std::optional<RolloutRow>> content = decodeOptional(row);
        if (!content.ok())
            return content.status();
        if (*content)
            decoded.push_back(**content);
    }
    return decoded;
}

RolloutStore::RolloutStore(RolloutStoreHooks hooks)
    : m_hooks(std::move(hooks)), m_writes(writeCapacity, OverflowPolicy::Reject)
{
    m_thread = std::thread([this] { run(); });
}

RolloutStore::~RolloutStore()
{
    stop();
}

void RolloutStore::stop()
{
    m_writes.close();
    if (m_thread.joinable())
        m_thread.join();
}

StoredRow RolloutStore::row(TicketNumber ticket)
{
    const std::scoped_lock lock(m_mutex);
    m_lastRequested[ticket] = m_hooks.time.monotonic();
    return m_rows[ticket];
}

void RolloutStore::write(const RolloutRow &row, const std::optional<RolloutRow> &expected)
{
    if (m_writes.push({row, expected}) != PushResult::Pushed)
        m_hooks.metrics->counter("dandeliondock_rollout_write_retries_total", "ring_full").add();
}

void RolloutStore::run()
{
    while (!m_writes.closed()) {
        if (const std::optional<WriteRequest> request = m_writes.popFor(refreshInterval))
            perform(*request);
        refresh();
    }
}

void RolloutStore::perform(const WriteRequest &request)
{
    const absl::StatusOr<bool> written = commit(request);
    if (written.ok() && *written)
        return;
    const absl::string_view reason = written.ok() ? "condition_failed" : errorKindName(errorKind(written.status()));
    m_hooks.metrics->counter("dandeliondock_rollout_write_retries_total", reason).add();
    LogEvent(LogLevel::Warn, "rollout.write_failed")
            .field("ticket", request.row.record.ticket)
            .field("reason", reason)
            .write(m_hooks.log);
}

absl::StatusOr<bool> RolloutStore::commit(const WriteRequest &request)
{
    const RowKey key = rolloutKey(request.row.record.ticket);
    const absl::StatusOr<std::vector<TableRow>> rows = m_hooks.store.read({m_hooks.leaseKey, key});
    if (!rows.ok())
        return rows.status();
    const absl::StatusOr<LeaseRow> lease = decodeLeaseRow(rows->at(0));
    if (!lease.ok())
        return lease.status();
    const absl::StatusOr<std::optional<RolloutRow>> current = decodeOptional(rows->at(1));
    if (!current.ok())
        return current.status();
    // The write is conditional on the lease row, so that a driver that lost its lease changes nothing.
    if (lease->fence != request.row.fence || *current != request.expected)
        return false;
    const Transaction transaction{{{m_hooks.leaseKey, rows->at(0).version}, {key, rows->at(1).version}},
                                  {{key, encodeRolloutRow(request.row)}}};
    const absl::StatusOr<CommitResult> result = m_hooks.store.commit(transaction);
    if (!result.ok())
        return result.status();
    return result->committed;
}

std::vector<TicketNumber> RolloutStore::recentlyRequested()
{
    const std::scoped_lock lock(m_mutex);
    const MonotonicTime now = m_hooks.time.monotonic();
    std::erase_if(m_lastRequested, [now](const auto &entry) { return now - entry.second > requestWindow; });
    std::erase_if(m_rows, [this](const auto &entry) { return m_lastRequested.count(entry.first) == 0; });
    std::vector<TicketNumber> tickets;
    for (const auto &[ticket, requestedAt] : m_lastRequested)
        tickets.push_back(ticket);
    return tickets;
}

void RolloutStore::refresh()
{
    const std::vector<TicketNumber> tickets = recentlyRequested();
    if (tickets.empty())
        return;
    const absl::StatusOr<std::vector<RolloutRow>> rows = readRolloutRows(m_hooks.store, tickets);
    const std::scoped_lock lock(m_mutex);
    for (const TicketNumber ticket : tickets)
        m_rows[ticket] = {rows.ok(), std::nullopt};
    if (!rows.ok())
        return;
    for (const RolloutRow &row : *rows)
        m_rows[row.record.ticket].row = row;
}

} // namespace dandeliondock
