#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/proxy/relay_protocol.h>
#include <dandeliondock/proxy/table_cache.h>
#include <dandeliondock/store/async_table.h>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace dandeliondock {

/// \brief What a relay works with.
struct TableRelayServerDependencies
{
    EventLoop *loop = nullptr;
    LogSink log;
    /// Number of proxies that serve, as far as they are known.
    std::function<std::size_t()> fleetSize;
};

/// \brief Lets other proxies follow the tables that are read here.
///
/// \remark Belongs to the control duty's thread.
class TableRelayServer
{
public:
    explicit TableRelayServer(TableRelayServerDependencies parts) : m_parts(std::move(parts)) {}

    /// \brief Takes what was read, and answers the followers that wait for it.
    void apply(const TableName &table, const TableReadResult &reading, bool isWhole);

    /// \brief Says whether a table can be followed here; when not, the followers that wait are told at once.
    void setCurrent(const TableName &table, bool isCurrent);

    /// \brief Lets nobody follow from now on, as this process ends.
    void stop();

    /// \brief Takes a follower's call; \c respond gets a status and a body.
    void handle(absl::string_view body, std::function<void(int, std::string)> respond);

private:
    struct Follower
    {
        RowVersion after;
        MonotonicTime since;
        std::function<void(int, std::string)> respond;
        LoopTimer timer;
    };

    struct Table
    {
        TableCache cache;
        MonotonicTime confirmedAt; ///< by the platform, as far as is known
        bool isCurrent = false;
        std::map<std::uint64_t, Follower> followers;
    };

    [[nodiscard]] bool canPassOn(const Table &table) const;
    [[nodiscard]] static Milliseconds ageOf(const Table &table);
    void answer(Table &table, std::uint64_t follower);

    TableRelayServerDependencies m_parts;
    absl::flat_hash_map<TableName, Table> m_tables;
    std::uint64_t m_lastFollower = 0;
    bool m_isStopped = false;
};

} // namespace dandeliondock
