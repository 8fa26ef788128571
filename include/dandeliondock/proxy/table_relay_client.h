#pragma once

#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/http/async_client.h>
#include <dandeliondock/http/event_loop.h>
#include <dandeliondock/relay/relay_parent.h>
#include <dandeliondock/relay/relay_protocol.h>
#include <dandeliondock/relay/relay_source_selection.h>
#include <dandeliondock/store/async_table.h>

#include <functional>
#include <memory>
#include <vector>

namespace dandeliondock {

/// \brief Longest time for which the platform holds a poll. When a proxy loses contact with the platform
/// without an error, its children notice soon after this time, well before the deadline for applying a configuration.
inline constexpr Milliseconds platformHold{700};
/// \brief Time beyond the hold time after which a call to a peer is overdue and a second source is called as well.
inline constexpr Milliseconds relayHedgeDelay{300};
/// \brief Time beyond the hold time for which an overdue response is still accepted. A link that is saturated with long
/// responses delays it by a second or more.
inline constexpr Milliseconds relayResponseTimeout{3'000};
/// \brief Time allowed for the rest of a response that has begun to arrive.
inline constexpr Milliseconds relayTransferTimeout{1'000};
/// \brief Round trip to a peer, without the hold time, from which a call is logged as slow.
inline constexpr Milliseconds slowRelayRoundTrip{150};

/// \brief Dependencies of the relay client.
struct TableRelayClientDependencies
{
    EventLoop *loop = nullptr;
    AsyncHttpClient *client = nullptr;
    AsyncTableHooks platform;
    MetricsRegistry *metrics = nullptr;
    LogSink log;
    RelayPeer self;
    /// Returns the known serving proxies.
    std::function<std::vector<RelayPeer>()> peers;
    /// Returns the timer lateness of the loop, for log lines.
    std::function<Milliseconds()> loopLateness;
};

namespace impl {
class RelayClientState;
} // namespace impl

/// \brief Reads tables through a parent proxy and falls back to the platform.
///
/// RelaySourceSelection selects the source: one proxy reads from the platform, and one compressed copy of each change
/// crosses the link to each further region. When a response is overdue, a second source is called as well and the first
/// response is used, because the changes after a version are the same from every source.
///
/// \remark Belongs to the control duty's thread.
class TableRelayClient
{
public:
    explicit TableRelayClient(TableRelayClientDependencies dependencies);
    /// \brief Stops the client; reads in progress no longer call their handlers.
    ~TableRelayClient();
    TableRelayClient(const TableRelayClient &) = delete;
    TableRelayClient &operator=(const TableRelayClient &) = delete;

    /// \brief Returns the platform's hooks with list and pollChanges replaced by reads through the parent. The hooks
    /// are valid during the lifetime of the client.
    [[nodiscard]] AsyncTableHooks hooks();

    /// \brief Reads the changes after a version from the platform, without a hold. The handler is not called after the
    /// client was destroyed.
    /// \pre The table was read up to \c after.
    void probePlatform(const TableName &table, const TableVersion &after, TableReadHandler handler);

    /// \brief Returns how many confirmation probes of this proxy to the platform may be without a response at present.
    [[nodiscard]] std::size_t openProbeLimit() const;

private:
    std::shared_ptr<impl::RelayClientState> m_state;
};

} // namespace dandeliondock
