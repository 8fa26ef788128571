#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/async_client.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/proxy/relay_parent.h>
#include <dandeliondock/proxy/relay_protocol.h>
#include <dandeliondock/store/async_table.h>

#include <functional>
#include <memory>
#include <vector>

namespace dandeliondock {

/// \brief Longest wait for a change at the platform. A proxy that lost the platform in silence shows it to its
/// followers soon after this time, well before a configuration must be in force.
inline constexpr Milliseconds platformHold{700};
/// \brief Time beyond the hold after which a call to another proxy is overdue and somebody else is asked as well.
inline constexpr Milliseconds relayHedgeDelay{300};
/// \brief Time beyond the hold for which an overdue answer is still awaited. A link that is full of long responses
/// delays it by a second and more.
inline constexpr Milliseconds relayResponseTimeout{3'000};
/// \brief Time for the rest of a response that has begun to arrive.
inline constexpr Milliseconds relayTransferTimeout{1'000};
/// \brief Sources asked for changes in one reading: the followed proxy, and another one when it is overdue.
inline constexpr int maxChangeSources = 2;
/// \brief Tries to read a whole table through other proxies before the platform is read: a table is long, and hundreds
/// of proxies that start together fill a link between regions with copies of it.
inline constexpr int maxFullReadAttempts = 3;
/// \brief Time for which the platform is read after a proxy that was followed failed: the next one may have failed as
/// well.
inline constexpr Milliseconds platformFallbackTime{2'000};
/// \brief Proxies of a region, in their order, that may read from the platform in a crowded fleet when the one that
/// they follow fails.
inline constexpr std::size_t maxPlatformReaders = 8;
/// \brief Time on the way, to another proxy and back, from which on a call is logged.
inline constexpr Milliseconds slowRelayRoundTrip{150};

/// \brief What a follower works with.
struct TableRelayClientDependencies
{
    EventLoop *loop = nullptr;
    AsyncHttpClient *client = nullptr;
    AsyncTableHooks platform;
    MetricsRegistry *metrics = nullptr;
    LogSink log;
    RelayPeer self;
    /// Doors that serve, as far as they are known.
    std::function<std::vector<RelayPeer>()> peers;
    /// How late the loop runs, for the log.
    std::function<Milliseconds()> loopLateness;
};

namespace impl {
class FollowerState;
} // namespace impl

/// \brief Follows the tables through another proxy of the region.
///
/// relayParent() says whom a proxy follows: one proxy reads from the platform, and one compressed copy of a change
/// crosses the link to each further region. When an answer is overdue somebody else is asked as well, and the first
/// answer counts: changes after a version are the same from whomever they come. RelayPeerHealth decides who is passed
/// over; whoever has nobody to follow reads from the platform.
///
/// \remark Belongs to the control duty's thread.
class TableRelayClient
{
public:
    explicit TableRelayClient(TableRelayClientDependencies parts);
    /// \brief Ends; readings in progress do not call their handler any more.
    ~TableRelayClient();
    TableRelayClient(const TableRelayClient &) = delete;
    TableRelayClient &operator=(const TableRelayClient &) = delete;

    /// \brief The platform's hooks, with readings through other proxies. Valid as long as the follower.
    [[nodiscard]] AsyncTableHooks hooks();

private:
    std::shared_ptr<impl::FollowerState> m_state;
};

} // namespace dandeliondock
