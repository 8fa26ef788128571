#include <dandeliondock/codec/table_codec.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/core/log_rate_limiter.h>
#include <dandeliondock/proxy/relay_peer_health.h>
#include <dandeliondock/proxy/table_relay_client.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace dandeliondock {

namespace impl {

namespace {

constexpr int ok = 200;
constexpr int gone = 410;

Milliseconds passedSince(MonotonicTime time)
{
    return std::chrono::duration_cast<Milliseconds>(EventLoop::now() - time);
}

} // namespace

/// \brief What the readings of a follower share.
class FollowerState
{
public:
    explicit FollowerState(TableRelayClientDependencies followerParts) : parts(std::move(followerParts)) {}

    /// The proxy that is asked; empty when the platform is.
    [[nodiscard]] std::optional<Address> parent(const TablePoll &poll) const;
    [[nodiscard]] bool mayReadPlatform() const;
    void readPlatform(const TablePoll &poll, Milliseconds hold, TableReadHandler handler) const;
    void noteWay(const Address &door, const TablePoll &poll, Milliseconds way, const TableReadResult &reading);
    void passOver(const PeerExclusion &passed, const absl::Status &status);
    void passOverSilent(const std::vector<PeerExclusion> &passed);

    const TableRelayClientDependencies parts;
    RelayPeerHealth trust;
    int wholeFailures = 0; ///< in a row
    bool isStopped = false;

private:
    LogRateLimiter m_wayLimiter;
    MonotonicTime m_directUntil;
};

std::optional<Address> FollowerState::parent(const TablePoll &poll) const
{
    std::vector<RelayPeer> doors = parts.peers();
    const MonotonicTime now = EventLoop::now();
    // A whole table is long, and many read it at the same time: after a failure another proxy is asked for it first.
    const bool isDirect = poll.isFull ? doors.size() < largeFleetThreshold : now < m_directUntil;
    if (isDirect)
        return std::nullopt;
    std::erase_if(doors, [this, now](const RelayPeer &item) { return !trust.isAvailable(item.address, now); });
    return relayParent(parts.self, doors);
}

bool FollowerState::mayReadPlatform() const
{
    const std::vector<RelayPeer> doors = parts.peers();
    if (doors.size() < largeFleetThreshold)
        return true;
    const auto before = std::count_if(doors.begin(), doors.end(), [this](const RelayPeer &item) {
        return item.region == parts.self.region && item.address < parts.self.address;
    });
    return static_cast<std::size_t>(before) < maxPlatformReaders;
}

void FollowerState::readPlatform(const TablePoll &poll, Milliseconds hold, TableReadHandler handler) const
{
    if (poll.isFull)
        parts.platform.list(poll.table, std::move(handler));
    else
        parts.platform.pollChanges(poll.table, poll.after, hold, std::move(handler));
}

void FollowerState::noteWay(const Address &door, const TablePoll &poll, Milliseconds way,
                            const TableReadResult &reading)
{
    parts.metrics->histogram("relay_way_seconds").record(way);
    if (way < slowRelayRoundTrip || !m_wayLimiter.allow(EventLoop::now(), parts.log))
        return;
    LogEvent(LogLevel::Info, "relay.slow_way")
            .field("door", door)
            .field("table", poll.table)
            .field("way_ms", way.count())
            .field("held_ms", reading.holdTime.count())
            .field("age_ms", reading.age.count())
            .field("loop_late_ms", parts.loopLateness().count())
            .write(parts.log);
}

void FollowerState::passOver(const PeerExclusion &passed, const absl::Status &status)
{
    if (mayReadPlatform())
        m_directUntil = EventLoop::now() + platformFallbackTime;
    LogEvent(LogLevel::Info, "relay.passed_over")
            .field("door", passed.address)
            .field("for_ms", passed.duration.count())
            .field("after_ms", passed.sinceCall.count())
            .field("loop_late_ms", parts.loopLateness().count())
            .error(status)
            .write(parts.log);
}

void FollowerState::passOverSilent(const std::vector<PeerExclusion> &passed)
{
    for (const PeerExclusion &item : passed)
        passOver(item,
                 makeError(ErrorKind::DeadlineExceeded, "still silent after somebody else answered a later call"));
}

/// \brief One reading of a table. Keeps itself alive until each of its calls has ended.
class FollowerReading : public std::enable_shared_from_this<FollowerReading>
{
public:
    FollowerReading(std::shared_ptr<FollowerState> state, TablePoll poll, TableReadHandler handler)
        : m_state(std::move(state)), m_poll(std::move(poll)), m_handler(std::move(handler))
    {
    }

    void start()
    {
        if (const std::optional<Address> door = m_state->parent(m_poll))
            askDoor(*door);
        else
            askPlatform(platformHold);
    }

private:
    void askDoor(const Address &door);
    void askPlatform(Milliseconds hold);
    void platformEnded(MonotonicTime askedAt, absl::StatusOr<TableReadResult> reading);
    void awaitDue(Milliseconds time);
    void overdue();
    void askAnother();
    void doorEnded(const Address &door, RelayCallId id, MonotonicTime askedAt, const AsyncCallResult &result);
    void failed(RelayCallId id, const absl::Status &status);
    void finish(absl::StatusOr<TableReadResult> reading);

    [[nodiscard]] Milliseconds hold() const { return m_poll.isFull ? Milliseconds{0} : relayHold; }

    /// Whether the platform is the next source after a failure or an overdue answer.
    [[nodiscard]] bool isPlatformNext() const
    {
        return m_poll.isFull ? m_state->wholeFailures >= maxFullReadAttempts : m_state->mayReadPlatform();
    }

    std::shared_ptr<FollowerState> m_state;
    TablePoll m_poll;
    TableReadHandler m_handler; ///< null once the reading has ended
    AsyncHttpCall m_newest;
    LoopTimer m_due;
    int m_asked = 0;
    int m_open = 0; ///< calls that have not ended
    bool m_isTransferAwaited = false;
    bool m_hasAskedPlatform = false;
};

void FollowerReading::askDoor(const Address &door)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::string(relayTablePath);
    request.body = encodeTablePoll(m_poll);
    const MonotonicTime now = EventLoop::now();
    const Milliseconds due = hold() + relayHedgeDelay;
    const RelayCallId id = m_state->trust.callSent(door, now, now + due);
    AsyncCallOptions options;
    options.deadline = now + hold() + relayResponseTimeout;
    options.transferExtension = relayTransferTimeout;
    ++m_asked;
    ++m_open;
    m_newest = m_state->parts.client->send(door, request, options,
                                           [self = shared_from_this(), door, id, now](const AsyncCallResult &result) {
                                               self->doorEnded(door, id, now, result);
                                           });
    awaitDue(due);
}

void FollowerReading::askPlatform(Milliseconds hold)
{
    ++m_asked;
    ++m_open;
    m_hasAskedPlatform = true;
    m_due.cancel();
    m_state->readPlatform(
            m_poll, hold,
            [self = shared_from_this(), askedAt = EventLoop::now()](absl::StatusOr<TableReadResult> reading) {
                self->platformEnded(askedAt, std::move(reading));
            });
}

void FollowerReading::platformEnded(MonotonicTime askedAt, absl::StatusOr<TableReadResult> reading)
{
    --m_open;
    if (reading.ok())
        m_state->passOverSilent(m_state->trust.platformResponded(askedAt, EventLoop::now()));
    // The answer of a proxy may only be late. A whole table is soon read again.
    if (reading.ok() || m_poll.isFull || m_open == 0)
        finish(std::move(reading));
}

void FollowerReading::awaitDue(Milliseconds time)
{
    m_due = m_state->parts.loop->after(time, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->overdue();
    });
}

void FollowerReading::overdue()
{
    if (!m_handler)
        return;
    if (m_newest.hasResponseBegun() && !std::exchange(m_isTransferAwaited, true)) {
        awaitDue(relayTransferTimeout);
        return;
    }
    if (m_poll.isFull)
        ++m_state->wholeFailures;
    askAnother();
}

void FollowerReading::askAnother()
{
    if (!m_poll.isFull && m_asked >= maxChangeSources)
        return;
    const std::optional<Address> door = isPlatformNext() ? std::nullopt : m_state->parent(m_poll);
    if (door)
        askDoor(*door);
    else
        askPlatform(relayHold);
}

void FollowerReading::doorEnded(const Address &door, RelayCallId id, MonotonicTime askedAt,
                                const AsyncCallResult &result)
{
    --m_open;
    if (m_state->isStopped)
        return;
    if (errorKind(result.status) == ErrorKind::DeadlineExceeded) {
        m_state->trust.callTimedOut(id);
        if (m_open == 0)
            finish(makeError(ErrorKind::StoreUnavailable, "no proxy answered in time"));
        return;
    }
    if (!result.status.ok()) {
        failed(id, result.status);
        return;
    }
    if (result.response.status == gone) {
        m_state->passOverSilent(m_state->trust.callSucceeded(id, EventLoop::now()));
        finish(makeError(ErrorKind::RevisionGap, "the proxy that is followed knows no such old changes"));
        return;
    }
    if (result.response.status != ok) {
        failed(id, makeError(ErrorKind::StoreUnavailable, "the proxy that is followed has lost the platform"));
        return;
    }
    auto reading = decodeTableReadResult(result.response.body);
    if (!reading.ok()) {
        failed(id, reading.status());
        return;
    }
    const Milliseconds way = passedSince(askedAt) - reading->holdTime;
    m_state->noteWay(door, m_poll, way, *reading);
    if (reading->age > maxRelayedAge) {
        failed(id, makeError(ErrorKind::StoreUnavailable, "the proxy that is followed is behind"));
        return;
    }
    reading->age += way;
    m_state->passOverSilent(m_state->trust.callSucceeded(id, EventLoop::now()));
    if (m_poll.isFull)
        m_state->wholeFailures = 0;
    finish(*std::move(reading));
}

void FollowerReading::failed(RelayCallId id, const absl::Status &status)
{
    m_state->passOver(m_state->trust.callFailed(id, EventLoop::now()), status);
    if (!m_handler)
        return;
    if (m_poll.isFull)
        ++m_state->wholeFailures;
    if (isPlatformNext() && !m_hasAskedPlatform)
        askPlatform(platformHold);
    else if (m_open == 0)
        finish(makeError(ErrorKind::StoreUnavailable, "the proxy that is followed has failed"));
}

void FollowerReading::finish(absl::StatusOr<TableReadResult> reading)
{
    m_due.cancel();
    const TableReadHandler handler = std::exchange(m_handler, nullptr);
    if (handler && !m_state->isStopped)
        handler(std::move(reading));
}

} // namespace impl

TableRelayClient::TableRelayClient(TableRelayClientDependencies parts)
    : m_state(std::make_shared<impl::FollowerState>(std::move(parts)))
{
}

TableRelayClient::~TableRelayClient()
{
    m_state->isStopped = true;
}

AsyncTableHooks TableRelayClient::hooks()
{
    AsyncTableHooks hooks = m_state->parts.platform;
    hooks.list = [state = m_state](const TableName &table, TableReadHandler handler) {
        std::make_shared<impl::FollowerReading>(state, TablePoll{table, RowVersion(), true}, std::move(handler))
                ->start();
    };
    hooks.pollChanges = [state = m_state](const TableName &table, RowVersion after, Milliseconds,
                                          TableReadHandler handler) {
        std::make_shared<impl::FollowerReading>(state, TablePoll{table, after, false}, std::move(handler))->start();
    };
    return hooks;
}

} // namespace dandeliondock
