#pragma once

#include <dandeliondock/codec/table_codec.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/proxy/table_cache.h>
#include <dandeliondock/relay/relay_protocol.h>
#include <dandeliondock/store/async_table.h>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace dandeliondock {

/// \brief Dependencies of the relay server.
struct TableRelayServerDependencies
{
    EventLoop *loop = nullptr;
    LogSink log;
    MetricsRegistry *metrics = nullptr;
    /// Returns the number of known serving proxies.
    std::function<std::size_t()> fleetSize;
};

/// \brief Serves the tables that this proxy reads to its child proxies.
///
/// \remark Belongs to the control duty's thread.
class TableRelayServer
{
public:
    explicit TableRelayServer(TableRelayServerDependencies dependencies) : m_dependencies(std::move(dependencies)) {}

    /// \brief Applies a read result and responds to the held polls of the table. With \c isFull, rows that are not in
    /// the result no longer exist.
    void apply(const TableName &table, const TableReadResult &result, bool isFull);

    /// \brief Sets whether this proxy is in contact with the source of a table. When the table can no longer be served,
    /// the held polls get an error at once.
    void setCurrent(const TableName &table, bool isCurrent);

    /// \brief Rejects all polls, held ones included, from now on. Called when the process ends, so that children select
    /// another parent.
    void stop();

    /// \brief Handles a child's read of a full table or poll for changes. \c respond is called with an HTTP status and
    /// a body, either at once or, for a held poll, up to \c relayHold later.
    void handle(absl::string_view body, std::function<void(int, std::string)> respond);

private:
    /// A child's poll for changes that has no response yet.
    struct HeldPoll
    {
        TableName table;
        TableVersion after;
        MonotonicTime heldSince;
        std::function<void(int, std::string)> respond;
        LoopTimer holdTimer;
    };

    struct Table
    {
        TableCache cache;
        MonotonicTime confirmedAt;                ///< last known confirmation by the platform
        std::optional<BootTime> stateConfirmedAt; ///< latest known TableReadResult::confirmedAt
        bool isCurrent = false;
        std::map<std::uint64_t, HeldPoll> heldPolls;
        /// Rows of the present state that were sent, by the numbers of rows and removals. Of two sets of changes up to
        /// the same version one contains the other, so that the numbers identify the set.
        std::map<std::pair<std::size_t, std::size_t>, EncodedTableRows> encodedRows;
    };

    /// Whether children may read a table from this proxy.
    [[nodiscard]] bool canServe(const Table &table) const;
    /// Time since the platform confirmed a table.
    [[nodiscard]] static Milliseconds ageOf(const Table &table);
    /// Age of the confirmation of a table's state, rounded up; empty if none is known.
    [[nodiscard]] static std::optional<Milliseconds> confirmedAgeOf(const Table &table);
    void respondTo(Table &table, std::uint64_t pollId);
    /// Encodes a copy of a table for a child and counts its bytes.
    [[nodiscard]] std::string encodeCopy(const TableName &name, Table &table, const TableReadResult &result,
                                         bool isFull) const;

    TableRelayServerDependencies m_dependencies;
    absl::flat_hash_map<TableName, Table> m_tables;
    std::uint64_t m_lastPollId = 0;
    bool m_isStopped = false;
};

} // namespace dandeliondock
