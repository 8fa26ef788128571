#include <dandeliondock/codec/table_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/core/log_rate_limiter.h>
#include <dandeliondock/proxy/peer_message.h>
#include <dandeliondock/proxy/relay_peer_health.h>
#include <dandeliondock/proxy/relay_read_log.h>
#include <dandeliondock/proxy/table_relay_client.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace dandeliondock {

namespace impl {

namespace {

constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr std::size_t maxReaderDoublings = 16; // 524,288 proxies in a region

Milliseconds elapsedSince(MonotonicTime time)
{
    return std::chrono::duration_cast<Milliseconds>(EventLoop::now() - time);
}

/// \brief When a call to a peer was sent.
struct CallStart
{
    MonotonicTime monotonic;
    BootTime boot;
};

// The peer began to hold the call after it was sent and responded after the hold time. Counting from the sending, and
// not back from the arrival, leaves out no delay of the response and no pause of this process.
std::optional<BootTime> confirmationTime(BootTime sentAt, const TableReadResult &result)
{
    if (!result.confirmedAge)
        return std::nullopt;
    return std::min(sentAt + result.holdTime, BootClock::now()) - *result.confirmedAge;
}

} // namespace

/// \brief State shared by the reads of a relay client.
class RelayClientState
{
public:
    explicit RelayClientState(TableRelayClientDependencies clientDependencies)
        : dependencies(std::move(clientDependencies)), readLog(*dependencies.metrics, dependencies.log)
    {
    }

    /// Returns the peer to call; empty when the platform is to be called.
    [[nodiscard]] std::optional<Address> selectParent(const TablePoll &poll) const;
    /// Returns an unresponsive peer that would be the parent if it responded again, when a probe to it is due.
    [[nodiscard]] std::optional<Address> peerToProbe() const;
    /// Whether this proxy may read from the platform when its parent fails.
    [[nodiscard]] bool mayReadPlatform() const;
    AsyncHttpCall sendPoll(const Address &peer, const TablePoll &poll, Milliseconds hold,
                           AsyncCallHandler handler) const;
    void readPlatform(const TablePoll &poll, Milliseconds hold, TableReadHandler handler) const;
    void recordRoundTrip(const Address &peer, const TablePoll &poll, Milliseconds roundTrip,
                         const TableReadResult &result, ByteCount bytes);
    /// Logs an exclusion and lets this proxy poll the platform for a time when it may read there.
    void recordExclusion(const PeerExclusion &exclusion, const absl::Status &status);
    void recordUnresponsivePeers(const std::vector<PeerExclusion> &exclusions);

    const TableRelayClientDependencies dependencies;
    RelayPeerHealth peerHealth;
    RelayReadLog readLog;
    int fullReadFailures = 0; ///< consecutive
    bool isStopped = false;

private:
    LogRateLimiter m_slowRelayLogLimiter;
    MonotonicTime m_platformPreferredUntil;
};

std::optional<Address> RelayClientState::selectParent(const TablePoll &poll) const
{
    std::vector<RelayPeer> peers = dependencies.peers();
    const MonotonicTime now = EventLoop::now();
    // A full table is long and many proxies read it at the same time, so after a failure another peer is called for it
    // before the platform.
    const bool isPlatformPreferred = poll.isFull ? peers.size() < largeFleetThreshold : now < m_platformPreferredUntil;
    if (isPlatformPreferred)
        return std::nullopt;
    std::erase_if(peers, [this, now](const RelayPeer &peer) { return !peerHealth.isAvailable(peer.address, now); });
    return relayParent(dependencies.self, peers);
}

std::optional<Address> RelayClientState::peerToProbe() const
{
    if (!peerHealth.hasUnresponsivePeers())
        return std::nullopt;
    std::vector<RelayPeer> peers = dependencies.peers();
    const MonotonicTime now = EventLoop::now();
    std::erase_if(peers, [this, now](const RelayPeer &peer) {
        return !peerHealth.isAvailable(peer.address, now) && !peerHealth.isProbeDue(peer.address, now);
    });
    const std::optional<Address> parent = relayParent(dependencies.self, peers);
    return parent && peerHealth.isProbeDue(*parent, now) ? parent : std::nullopt;
}

// When many peers are lost at once, those that remain may all rank behind the number of readers, and it takes a call to
// find out that a peer is lost. The number of readers therefore doubles with each call that gets no response, until the
// proxies that remain read from the platform. Peers that respond, even without data, keep it low.
bool RelayClientState::mayReadPlatform() const
{
    const std::vector<RelayPeer> peers = dependencies.peers();
    if (peers.size() < largeFleetThreshold)
        return true;
    const auto earlierPeers = std::count_if(peers.begin(), peers.end(), [this](const RelayPeer &peer) {
        return peer.region == dependencies.self.region && peer.address < dependencies.self.address
               && !peerHealth.isUnresponsive(peer.address);
    });
    const std::size_t doublings = std::min(peerHealth.unansweredCalls(EventLoop::now()), maxReaderDoublings);
    return static_cast<std::size_t>(earlierPeers) < maxPlatformReaders << doublings;
}

AsyncHttpCall RelayClientState::sendPoll(const Address &peer, const TablePoll &poll, Milliseconds hold,
                                         AsyncCallHandler handler) const
{
    AsyncCallOptions options;
    options.deadline = EventLoop::now() + hold + relayResponseTimeout;
    options.transferExtension = relayTransferTimeout;
    return dependencies.client->send(peer, encodePeerMessage(PeerMessageKind::TablePoll, encodeTablePoll(poll)),
                                     options, std::move(handler));
}

void RelayClientState::readPlatform(const TablePoll &poll, Milliseconds hold, TableReadHandler handler) const
{
    if (poll.isFull)
        dependencies.platform.list(poll.table, std::move(handler));
    else
        dependencies.platform.pollChanges(poll.table, poll.after, hold, std::move(handler));
}

void RelayClientState::recordRoundTrip(const Address &peer, const TablePoll &poll, Milliseconds roundTrip,
                                       const TableReadResult &result, ByteCount bytes)
{
    dependencies.metrics->histogram("relay_way_seconds").record(roundTrip);
    if (roundTrip < slowRelayRoundTrip || !m_slowRelayLogLimiter.allow(EventLoop::now(), dependencies.log))
        return;
    LogEvent(LogLevel::Info, "relay.slow_way")
            .field("door", peer)
            .field("table", poll.table)
            .field("full", poll.isFull)
            .field("bytes", bytes)
            .field("way_ms", roundTrip.count())
            .field("held_ms", result.holdTime.count())
            .field("age_ms", result.age.count())
            .field("loop_late_ms", dependencies.loopLateness().count())
            .write(dependencies.log);
}

void RelayClientState::recordExclusion(const PeerExclusion &exclusion, const absl::Status &status)
{
    const MonotonicTime now = EventLoop::now();
    if (mayReadPlatform())
        m_platformPreferredUntil = now + platformFallbackTime;
    peerHealth.retain(dependencies.peers());
    LogEvent(LogLevel::Info, "relay.passed_over")
            .field("door", exclusion.address)
            .field("for_ms", exclusion.duration.count())
            .field("after_ms", exclusion.sinceCall.count())
            .field("unanswered_calls", peerHealth.unansweredCalls(now))
            .field("loop_late_ms", dependencies.loopLateness().count())
            .error(status)
            .write(dependencies.log);
}

void RelayClientState::recordUnresponsivePeers(const std::vector<PeerExclusion> &exclusions)
{
    for (const PeerExclusion &exclusion : exclusions)
        recordExclusion(exclusion, makeError(ErrorKind::DeadlineExceeded,
                                             "no response although another source responded to a later call"));
}

/// \brief One read of a table through peers or the platform. Keeps itself alive until all of its calls have ended.
class RelayedTableRead : public std::enable_shared_from_this<RelayedTableRead>
{
public:
    RelayedTableRead(std::shared_ptr<RelayClientState> state, TablePoll poll, TableReadHandler handler)
        : m_state(std::move(state)), m_poll(std::move(poll)), m_handler(std::move(handler))
    {
    }

    void start()
    {
        if (const std::optional<Address> peer = m_poll.isFull ? std::nullopt : m_state->peerToProbe())
            probe(*peer);
        if (const std::optional<Address> peer = m_state->selectParent(m_poll))
            callPeer(*peer);
        else
            callPlatform(platformHold);
    }

private:
    /// Sends the poll to an unresponsive peer as well, only to learn whether it responds.
    void probe(const Address &peer);
    void callPeer(const Address &peer);
    void callPlatform(Milliseconds hold);
    void handlePlatformResult(MonotonicTime sentAt, absl::StatusOr<TableReadResult> result);
    void startOverdueTimer(Milliseconds delay);
    void handleOverdueCall();
    void callNextSource();
    void handlePeerResult(const Address &peer, RelayCallId id, const CallStart &start,
                          const AsyncCallResult &callResult);
    void handlePeerFailure(const PeerExclusion &exclusion, const absl::Status &status);
    /// \param source that returned the result; empty for the platform
    void finish(absl::StatusOr<TableReadResult> result, const Address &source = Address());

    /// Longest time for which a peer holds the call.
    [[nodiscard]] Milliseconds hold() const { return m_poll.isFull ? Milliseconds{0} : relayHold; }

    /// Whether the platform is the next source after a failure or an overdue response.
    [[nodiscard]] bool isPlatformNext() const
    {
        return m_poll.isFull ? m_state->fullReadFailures >= maxFullReadAttempts : m_state->mayReadPlatform();
    }

    std::shared_ptr<RelayClientState> m_state;
    TablePoll m_poll;
    TableReadHandler m_handler; ///< null once the read has ended
    AsyncHttpCall m_latestCall;
    LoopTimer m_overdueTimer;
    MonotonicTime m_startedAt = EventLoop::now();
    std::vector<Address> m_sources; ///< that were called; an empty address is the platform
    int m_callsInProgress = 0;
    bool m_isTransferTimeGranted = false;
    bool m_hasCalledPlatform = false;
};

void RelayedTableRead::probe(const Address &peer)
{
    const MonotonicTime now = EventLoop::now();
    const RelayCallId id = m_state->peerHealth.callSent(peer, now, now + hold() + relayHedgeDelay);
    m_state->sendPoll(peer, m_poll, hold(), [state = m_state, id](const AsyncCallResult &callResult) {
        if (state->isStopped)
            return;
        const MonotonicTime endedAt = EventLoop::now();
        if (callResult.status.ok())
            state->recordUnresponsivePeers(state->peerHealth.callSucceeded(id, endedAt));
        else
            state->peerHealth.callTimedOut(id, endedAt);
    });
}

void RelayedTableRead::callPeer(const Address &peer)
{
    const MonotonicTime now = EventLoop::now();
    const Milliseconds dueAfter = hold() + relayHedgeDelay;
    const RelayCallId id = m_state->peerHealth.callSent(peer, now, now + dueAfter);
    m_sources.push_back(peer);
    ++m_callsInProgress;
    const CallStart start{now, BootClock::now()};
    m_latestCall = m_state->sendPoll(peer, m_poll, hold(),
                                     [self = shared_from_this(), peer, id, start](const AsyncCallResult &callResult) {
                                         self->handlePeerResult(peer, id, start, callResult);
                                     });
    startOverdueTimer(dueAfter);
}

void RelayedTableRead::callPlatform(Milliseconds hold)
{
    m_sources.emplace_back();
    ++m_callsInProgress;
    m_hasCalledPlatform = true;
    m_overdueTimer.cancel();
    m_state->readPlatform(
            m_poll, hold,
            [self = shared_from_this(), sentAt = EventLoop::now()](absl::StatusOr<TableReadResult> result) {
                self->handlePlatformResult(sentAt, std::move(result));
            });
}

void RelayedTableRead::handlePlatformResult(MonotonicTime sentAt, absl::StatusOr<TableReadResult> result)
{
    --m_callsInProgress;
    if (result.ok())
        m_state->recordUnresponsivePeers(m_state->peerHealth.platformResponded(sentAt, EventLoop::now()));
    // When the platform fails, the response of a peer may still arrive late. A failed full read ends at once, because
    // it is soon repeated.
    if (result.ok() || m_poll.isFull || m_callsInProgress == 0)
        finish(std::move(result));
}

void RelayedTableRead::startOverdueTimer(Milliseconds delay)
{
    m_overdueTimer = m_state->dependencies.loop->after(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->handleOverdueCall();
    });
}

void RelayedTableRead::handleOverdueCall()
{
    if (!m_handler)
        return;
    if (m_latestCall.hasResponseBegun() && !std::exchange(m_isTransferTimeGranted, true)) {
        startOverdueTimer(relayTransferTimeout);
        return;
    }
    if (m_poll.isFull)
        ++m_state->fullReadFailures;
    callNextSource();
}

void RelayedTableRead::callNextSource()
{
    if (!m_poll.isFull && m_sources.size() >= maxChangeSources)
        return;
    const std::optional<Address> peer = isPlatformNext() ? std::nullopt : m_state->selectParent(m_poll);
    if (peer)
        callPeer(*peer);
    else
        callPlatform(relayHold);
}

void RelayedTableRead::handlePeerResult(const Address &peer, RelayCallId id, const CallStart &start,
                                        const AsyncCallResult &callResult)
{
    --m_callsInProgress;
    if (m_state->isStopped)
        return;
    if (errorKind(callResult.status) == ErrorKind::DeadlineExceeded) {
        m_state->peerHealth.callTimedOut(id, EventLoop::now());
        if (m_callsInProgress == 0)
            finish(makeError(ErrorKind::StoreUnavailable, "no peer responded in time"));
        return;
    }
    if (!callResult.status.ok()) {
        handlePeerFailure(m_state->peerHealth.callFailed(id, EventLoop::now()), callResult.status);
        return;
    }
    if (callResult.response.status == statusGone) {
        m_state->recordUnresponsivePeers(m_state->peerHealth.callSucceeded(id, EventLoop::now()));
        finish(makeError(ErrorKind::RevisionGap,
                         "the parent proxy no longer has the changes since the requested version"));
        return;
    }
    const auto rejectResponse = [this, id](const absl::Status &status) {
        handlePeerFailure(m_state->peerHealth.callRejected(id, EventLoop::now()), status);
    };
    if (callResult.response.status != statusOk) {
        rejectResponse(makeError(ErrorKind::StoreUnavailable, "the parent proxy cannot serve the table"));
        return;
    }
    const ByteCount bytes(callResult.response.body.size());
    relayedBytes(*m_state->dependencies.metrics, RelayDirection::Received, m_poll.table, m_poll.isFull)
            .add(bytes.value());
    auto result = decodeTableReadResult(callResult.response.body);
    if (!result.ok()) {
        rejectResponse(result.status());
        return;
    }
    const Milliseconds roundTrip = elapsedSince(start.monotonic) - result->holdTime;
    m_state->recordRoundTrip(peer, m_poll, roundTrip, *result, bytes);
    if (result->age > maxRelayedAge) {
        rejectResponse(makeError(ErrorKind::StoreUnavailable, "the data of the parent proxy is too old"));
        return;
    }
    result->age += roundTrip;
    result->confirmedAt = confirmationTime(start.boot, *result);
    m_state->recordUnresponsivePeers(m_state->peerHealth.callSucceeded(id, EventLoop::now()));
    if (m_poll.isFull)
        m_state->fullReadFailures = 0;
    finish(*std::move(result), peer);
}

void RelayedTableRead::handlePeerFailure(const PeerExclusion &exclusion, const absl::Status &status)
{
    m_state->recordExclusion(exclusion, status);
    if (!m_handler)
        return;
    if (m_poll.isFull)
        ++m_state->fullReadFailures;
    if (isPlatformNext() && !m_hasCalledPlatform)
        callPlatform(platformHold);
    else if (m_callsInProgress == 0)
        finish(makeError(ErrorKind::StoreUnavailable, "the parent proxy has failed"));
}

void RelayedTableRead::finish(absl::StatusOr<TableReadResult> result, const Address &source)
{
    m_overdueTimer.cancel();
    const TableReadHandler handler = std::exchange(m_handler, nullptr);
    if (!handler || m_state->isStopped)
        return;
    const RelayRead read{m_poll.table, m_poll.isFull, m_sources, elapsedSince(m_startedAt)};
    if (result.ok())
        m_state->readLog.recordSuccess(read, source, *result, EventLoop::now());
    else
        m_state->readLog.recordFailure(read, result.status(), EventLoop::now());
    handler(std::move(result));
}

} // namespace impl

TableRelayClient::TableRelayClient(TableRelayClientDependencies dependencies)
    : m_state(std::make_shared<impl::RelayClientState>(std::move(dependencies)))
{
}

TableRelayClient::~TableRelayClient()
{
    m_state->isStopped = true;
}

AsyncTableHooks TableRelayClient::hooks()
{
    AsyncTableHooks hooks = m_state->dependencies.platform;
    hooks.list = [state = m_state](const TableName &table, TableReadHandler handler) {
        std::make_shared<impl::RelayedTableRead>(state, TablePoll{table, TableVersion(), true}, std::move(handler))
                ->start();
    };
    hooks.pollChanges = [state = m_state](const TableName &table, const TableVersion &after, Milliseconds,
                                          TableReadHandler handler) {
        std::make_shared<impl::RelayedTableRead>(state, TablePoll{table, after, false}, std::move(handler))->start();
    };
    return hooks;
}

} // namespace dandeliondock
