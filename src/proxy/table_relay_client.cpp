#include <dandeliondock/codec/table_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/core/log_rate_limiter.h>
#include <dandeliondock/proxy/peer_message.h>
#include <dandeliondock/proxy/relay_read_log.h>
#include <dandeliondock/proxy/table_relay_client.h>
#include <dandeliondock/relay/full_read_choice.h>
#include <dandeliondock/relay/relay_source_selection.h>

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace dandeliondock {

namespace impl {

namespace {

constexpr int statusOk = 200;
constexpr int statusGone = 410;

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
class RelayClientState : public std::enable_shared_from_this<RelayClientState>
{
public:
    explicit RelayClientState(TableRelayClientDependencies clientDependencies)
        : dependencies(std::move(clientDependencies)), selection(dependencies.self),
          readLog(*dependencies.metrics, dependencies.log)
    {
    }

    /// Returns the selection with the proxies that are known at present.
    [[nodiscard]] RelaySourceSelection &currentSelection();
    AsyncHttpCall sendPoll(const Address &peer, const TablePoll &poll, Milliseconds hold,
                           AsyncCallHandler handler) const;
    /// Reads from the platform; a read of changes may become one of the full table, see TableReadResult::isFull.
    void readPlatform(PlatformReadKind kind, const TablePoll &poll, Milliseconds hold, TableReadHandler handler);
    /// Records a result for the choice between full reads and polls for changes.
    void recordResult(const TableName &table, const TableReadResult &result, bool isFull);
    void recordRoundTrip(const Address &peer, const TablePoll &poll, Milliseconds roundTrip,
                         const TableReadResult &result, ByteCount bytes);
    void logExclusion(const PeerExclusion &exclusion, const absl::Status &status) const;
    /// Logs a peer that has no recent copy of a table; \c age is empty if it has none.
    void logOldCopy(const Address &peer, const TableName &table, std::optional<Milliseconds> age);
    void logUnresponsivePeers(const std::vector<PeerExclusion> &exclusions) const;

    const TableRelayClientDependencies dependencies;
    RelaySourceSelection selection;
    RelayReadLog readLog;
    bool isStopped = false;

private:
    /// What was read of a table.
    struct KnownTable
    {
        TableVersion newestRow;
        FullReadChoice choice;
    };

    LogRateLimiter m_slowRelayLogLimiter;
    LogRateLimiter m_oldCopyLogLimiter;
    std::size_t m_platformReads = 0; ///< in progress
    absl::flat_hash_map<TableName, KnownTable> m_tables;
};

RelaySourceSelection &RelayClientState::currentSelection()
{
    selection.setPeers(dependencies.peers());
    return selection;
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

void RelayClientState::readPlatform(PlatformReadKind kind, const TablePoll &poll, Milliseconds hold,
                                    TableReadHandler handler)
{
    const bool isFull =
            poll.isFull
            || (currentSelection().isLargeFleet() && m_tables[poll.table].choice.isFullReadDue(EventLoop::now()));
    if (isFull && kind == PlatformReadKind::Changes)
        kind = PlatformReadKind::Full;
    ++m_platformReads;
    selection.platformCalled(isFull, EventLoop::now());
    auto recordedHandler = [self = shared_from_this(), kind, isFull, table = poll.table, sentAt = EventLoop::now(),
                            handler = std::move(handler)](absl::StatusOr<TableReadResult> result) {
        const MonotonicTime now = EventLoop::now();
        --self->m_platformReads;
        self->selection.platformCallEnded(isFull);
        if (self->isStopped)
            return;
        self->readLog.recordPlatformRead({table, kind, elapsedSince(sentAt), self->m_platformReads}, result, now);
        if (result.ok()) {
            result->isFull = isFull;
            self->recordResult(table, *result, isFull);
        } else {
            self->selection.platformFailed(now);
        }
        handler(std::move(result));
    };
    if (isFull)
        dependencies.platform.list(poll.table, std::move(recordedHandler));
    else
        dependencies.platform.pollChanges(poll.table, poll.after, hold, std::move(recordedHandler));
}

void RelayClientState::recordResult(const TableName &table, const TableReadResult &result, bool isFull)
{
    KnownTable &known = m_tables[table];
    TableVersion newestRow = known.newestRow;
    for (const TableRow &row : result.rows)
        newestRow = std::max(newestRow, result.versionOf(row));
    const bool hasNewRows = newestRow > known.newestRow || !result.removed.empty();
    known.newestRow = newestRow;
    const Milliseconds age =
            result.confirmedAt ? std::chrono::ceil<Milliseconds>(BootClock::now() - *result.confirmedAt) : result.age;
    const MonotonicTime now = EventLoop::now();
    known.choice.recordResult(now - age, now, isFull, hasNewRows);
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

void RelayClientState::logExclusion(const PeerExclusion &exclusion, const absl::Status &status) const
{
    LogEvent(LogLevel::Info, "relay.passed_over")
            .field("door", exclusion.address)
            .field("for_ms", exclusion.duration.count())
            .field("after_ms", exclusion.sinceCall.count())
            .field("unanswered_calls", selection.unansweredCalls(EventLoop::now()))
            .field("loop_late_ms", dependencies.loopLateness().count())
            .error(status)
            .write(dependencies.log);
}

void RelayClientState::logOldCopy(const Address &peer, const TableName &table, std::optional<Milliseconds> age)
{
    if (!m_oldCopyLogLimiter.allow(EventLoop::now(), dependencies.log))
        return;
    LogEvent event(LogLevel::Info, age ? "relay.copy_outdated" : "relay.copy_missing");
    event.field("door", peer).field("table", table);
    if (age)
        event.field("age_ms", age->count());
    event.field("loop_late_ms", dependencies.loopLateness().count()).write(dependencies.log);
}

void RelayClientState::logUnresponsivePeers(const std::vector<PeerExclusion> &exclusions) const
{
    for (const PeerExclusion &exclusion : exclusions)
        logExclusion(exclusion, makeError(ErrorKind::DeadlineExceeded,
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
        const MonotonicTime now = EventLoop::now();
        const RelaySourceSelection &selection = m_state->currentSelection();
        if (const std::optional<Address> peer = m_poll.isFull ? std::nullopt : selection.peerToProbe(now))
            probe(*peer);
        if (call(selection.firstSource(m_poll.isFull, now), platformHold))
            return;
        m_state->dependencies.loop->post([self = shared_from_this()] {
            self->finish(makeError(ErrorKind::StoreUnavailable, "no proxy of the region has the table yet"));
        });
    }

private:
    /// Sends the poll to an unresponsive peer as well, only to learn whether it responds.
    void probe(const Address &peer);
    /// Calls a source and returns whether there was one to call.
    bool call(const RelaySource &source, Milliseconds hold);
    void callPeer(const Address &peer);
    void callPlatform(Milliseconds hold);
    void handlePlatformResult(MonotonicTime sentAt, absl::StatusOr<TableReadResult> result);
    void startOverdueTimer(Milliseconds delay);
    void handleOverdueCall();
    void handlePeerResult(const Address &peer, RelayCallId id, const CallStart &start,
                          const AsyncCallResult &callResult);
    void handlePeerFailure(const PeerExclusion &exclusion, const absl::Status &status);
    /// Calls the next source, or ends the read if there is none and no call is in progress.
    void callAfterFailure();
    /// \param source that returned the result; empty for the platform
    void finish(absl::StatusOr<TableReadResult> result, const Address &source = Address());

    /// Longest time for which a peer holds the call.
    [[nodiscard]] Milliseconds hold() const { return m_poll.isFull ? Milliseconds{0} : relayHold; }

    [[nodiscard]] RelayReadProgress progress() const { return {m_poll.isFull, m_sources.size(), m_hasCalledPlatform}; }

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
    const RelayCallId id = m_state->selection.callSent(peer, now, now + hold() + relayHedgeDelay);
    m_state->sendPoll(peer, m_poll, hold(), [state = m_state, id](const AsyncCallResult &callResult) {
        if (state->isStopped)
            return;
        const MonotonicTime endedAt = EventLoop::now();
        if (callResult.status.ok())
            state->logUnresponsivePeers(state->selection.responseReceived(id, endedAt));
        else
            state->selection.callTimedOut(id, endedAt);
    });
}

bool RelayedTableRead::call(const RelaySource &source, Milliseconds hold)
{
    switch (source.kind) {
    case RelaySource::Kind::Peer:
        callPeer(source.peer);
        return true;
    case RelaySource::Kind::Platform:
        callPlatform(hold);
        return true;
    case RelaySource::Kind::None:
        break;
    }
    return false;
}

void RelayedTableRead::callPeer(const Address &peer)
{
    const MonotonicTime now = EventLoop::now();
    const Milliseconds dueAfter = hold() + relayHedgeDelay;
    const RelayCallId id = m_state->selection.callSent(peer, now, now + dueAfter);
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
            m_poll.isFull ? PlatformReadKind::Full : PlatformReadKind::Changes, m_poll, hold,
            [self = shared_from_this(), sentAt = EventLoop::now()](absl::StatusOr<TableReadResult> result) {
                self->handlePlatformResult(sentAt, std::move(result));
            });
}

void RelayedTableRead::handlePlatformResult(MonotonicTime sentAt, absl::StatusOr<TableReadResult> result)
{
    --m_callsInProgress;
    if (result.ok())
        m_state->logUnresponsivePeers(m_state->selection.platformResponded(sentAt, EventLoop::now()));
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
    call(m_state->currentSelection().nextSource(progress(), EventLoop::now()), relayHold);
}

void RelayedTableRead::handlePeerResult(const Address &peer, RelayCallId id, const CallStart &start,
                                        const AsyncCallResult &callResult)
{
    --m_callsInProgress;
    if (m_state->isStopped)
        return;
    const MonotonicTime now = EventLoop::now();
    RelaySourceSelection &selection = m_state->currentSelection();
    if (errorKind(callResult.status) == ErrorKind::DeadlineExceeded) {
        selection.callTimedOut(id, now);
        if (m_callsInProgress == 0)
            finish(makeError(ErrorKind::StoreUnavailable, "no peer responded in time"));
        return;
    }
    if (!callResult.status.ok()) {
        handlePeerFailure(selection.callFailed(id, now), callResult.status);
        return;
    }
    if (callResult.response.status == statusGone) {
        m_state->logUnresponsivePeers(selection.responseReceived(id, now));
        finish(makeError(ErrorKind::RevisionGap,
                         "the parent proxy no longer has the changes since the requested version"));
        return;
    }
    if (callResult.response.status != statusOk) {
        m_state->logUnresponsivePeers(selection.copyMissing(id, now));
        m_state->logOldCopy(peer, m_poll.table, std::nullopt);
        callAfterFailure();
        return;
    }
    const ByteCount bytes(callResult.response.body.size());
    relayedBytes(*m_state->dependencies.metrics, RelayDirection::Received, m_poll.table, m_poll.isFull)
            .add(bytes.value());
    auto result = decodeTableReadResult(callResult.response.body);
    if (!result.ok()) {
        handlePeerFailure(selection.responseInvalid(id, now), result.status());
        return;
    }
    const Milliseconds roundTrip = elapsedSince(start.monotonic) - result->holdTime;
    m_state->recordRoundTrip(peer, m_poll, roundTrip, *result, bytes);
    const CopyAssessment assessment = selection.copyReceived(id, result->age, now);
    if (!assessment.isRecent)
        m_state->logOldCopy(peer, m_poll.table, result->age);
    m_state->logUnresponsivePeers(assessment.exclusions);
    result->age = assessment.age + roundTrip;
    result->confirmedAt = confirmationTime(start.boot, *result);
    m_state->recordResult(m_poll.table, *result, m_poll.isFull);
    finish(*std::move(result), peer);
}

void RelayedTableRead::handlePeerFailure(const PeerExclusion &exclusion, const absl::Status &status)
{
    m_state->logExclusion(exclusion, status);
    callAfterFailure();
}

void RelayedTableRead::callAfterFailure()
{
    if (!m_handler)
        return;
    const RelaySource next = m_state->selection.nextSource(progress(), EventLoop::now());
    if (!call(next, platformHold) && m_callsInProgress == 0)
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

void TableRelayClient::probePlatform(const TableName &table, const TableVersion &after, TableReadHandler handler)
{
    m_state->readPlatform(PlatformReadKind::Probe, TablePoll{table, after, false}, Milliseconds{0}, std::move(handler));
}

std::size_t TableRelayClient::openProbeLimit() const
{
    return m_state->currentSelection().openProbeLimit(EventLoop::now());
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
