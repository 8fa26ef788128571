#pragma once

#include <dandeliondock/codec/table_codec.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/log_limiter.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/http/loop_client.h>
#include <dandeliondock/proxy/relay_parent.h>
#include <dandeliondock/proxy/table_cache.h>
#include <dandeliondock/store/async_table.h>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandeliondock {

/// \brief Path on a door at which a proxy passes changes of a table on.
inline constexpr absl::string_view tablePath = "/dock/table";
/// \brief Longest wait for a change at the platform. A proxy that lost the platform in silence shows it to its
/// followers within this time and the client's margin, well before a configuration must be in force.
inline constexpr Milliseconds platformHold{700};
/// \brief Longest wait for a change at another proxy; shorter, as the proxies on the way may fail one after the other.
inline constexpr Milliseconds relayHold{400};
/// \brief Time after which a held call to another proxy counts as lost.
inline constexpr Milliseconds relayMargin{300};
/// \brief Time for which the platform is read after a proxy that was followed failed: the next one may have failed as
/// well.
inline constexpr Milliseconds directReading{2'000};
/// \brief Age at which what another proxy passes on is not believed any more: it is cut off from the platform without
/// having noticed. Confirmations come through the tree with each answer of the platform.
inline constexpr Milliseconds relayStale{1'500};
/// \brief Tries to read a whole table through other proxies before the platform is read: a table is long, and hundreds
/// of proxies that start together fill a link between regions with copies of it.
inline constexpr int wholeTries = 3;
/// \brief Number of known proxies from which on a fleet is crowded: whole tables come through others, and most proxies
/// wait for another one instead of reading from the platform. In a smaller fleet all of them may read from the
/// platform, which is quicker and costs a link between regions less than it carries.
inline constexpr std::size_t crowdedFleet = 32;
/// \brief Proxies of a region, in their order, that may read from the platform in a crowded fleet when the one that
/// they follow fails.
inline constexpr std::size_t directReaders = 8;
/// \brief Time for the rest of a response that has begun to arrive.
inline constexpr Milliseconds relayTransfer{1'000};
/// \brief Time on the way, to another proxy and back, from which on a call is logged.
inline constexpr Milliseconds relaySlowWay{150};
/// \brief Time for which a proxy is not followed after it failed; doubles with each failure.
inline constexpr Milliseconds relayDistrust{3'000};
inline constexpr Milliseconds longestDistrust{30'000};

/// \brief What a relay works with.
struct TableRelayParts
{
    EventLoop *loop = nullptr;
    LoopClient *client = nullptr;
    AsyncTableHooks platform;
    LogSink log;
    RelayDoor self;
    /// Doors that serve, as far as they are known.
    std::function<std::vector<RelayDoor>()> doors;
    Metrics *metrics = nullptr;
    /// How late the loop runs, for the log.
    std::function<Milliseconds()> loopLateness;
};

/// \brief Follows the tables through another proxy of the region, and lets others follow.
///
/// relayParent() says whom a proxy follows: one proxy reads from the platform, and one compressed copy of a change
/// crosses the link to each further region. A proxy that fails, has lost the platform itself or is behind is passed
/// over, and whoever has nobody to follow reads from the platform.
///
/// \remark Belongs to the control duty's thread.
class TableRelay
{
public:
    explicit TableRelay(TableRelayParts parts) : m_parts(std::move(parts)) {}

    /// \brief The table's hooks through this relay.
    [[nodiscard]] AsyncTableHooks hooks();

    /// \brief Takes what was read, and answers the followers that wait for it.
    void take(const TableName &table, const TableReading &reading, bool isWhole);

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

    struct Distrust
    {
        MonotonicTime until;
        Milliseconds length{0};
    };

    /// The proxy that is asked; empty when the platform is.
    [[nodiscard]] std::optional<Address> parent(const TablePoll &poll) const;
    [[nodiscard]] static LoopCallOptions callOptions(const TablePoll &poll);
    [[nodiscard]] bool mayReadPlatform() const;
    [[nodiscard]] bool canPassOn(const Table &table) const;
    [[nodiscard]] bool isTrusted(const Address &door) const;
    void follow(const Address &parent, const TablePoll &poll, TableReadingHandler handler);
    void readPlatform(const TablePoll &poll, TableReadingHandler handler);
    void noteWay(const Address &parent, const TableName &table, Milliseconds taken, const TableReading &reading);
    void distrust(const Address &parent, Milliseconds taken, const absl::Status &status);
    [[nodiscard]] static Milliseconds ageOf(const Table &table);
    void answer(Table &table, std::uint64_t follower);

    TableRelayParts m_parts;
    absl::flat_hash_map<TableName, Table> m_tables;
    absl::flat_hash_map<Address, Distrust> m_distrusted;
    LogLimiter m_wayLimiter;
    MonotonicTime m_directUntil;
    int m_wholeFailures = 0; ///< in a row
    std::uint64_t m_lastFollower = 0;
    bool m_isStopped = false;
};

} // namespace dandeliondock
