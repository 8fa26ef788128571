#include "support/relay_replay.h"

#include <dandeliondock/relay/full_read_choice.h>
#include <dandeliondock/relay/relay_protocol.h>
#include <dandeliondock/relay/relay_serving.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace dandeliondock::testing {

namespace {

// The timing of the relay client, of the watch of a table, of the platform's client and of the confirmation probe.
constexpr Milliseconds platformHold{700};
constexpr Milliseconds hedgeDelay{300};
constexpr Milliseconds peerResponseTimeout{3'000};
constexpr Milliseconds watchTimeout{1'300};
constexpr Milliseconds batchDelay{250};
constexpr Milliseconds firstRetryDelay{200};
constexpr Milliseconds longestRetryDelay{500};
constexpr std::size_t supersededChanges = 2;
constexpr Milliseconds connectTimeout{1'000};
constexpr Milliseconds listTimeout{1'500};
constexpr Milliseconds pollMargin{3'000};
constexpr Milliseconds transferExtension{3'000};
constexpr Milliseconds probeInterval{250};
constexpr Milliseconds probeAge{2'000};

constexpr ByteCount requestBytes{300};
constexpr ByteCount emptyResponse{400};
constexpr Milliseconds regionLatency{12};
constexpr double bitsPerByte = 8;

Microseconds transferTime(double bytes, double megabitsPerSecond)
{
    return Microseconds(static_cast<std::int64_t>(bytes * bitsPerByte / megabitsPerSecond) + 1);
}

} // namespace

/// A message on its way over the links between two ends.
struct RelayReplay::Message
{
    std::vector<Link *> links; ///< that it still has to pass
    double bytes = 0;
    double remaining = 0; ///< on the first of the links
    Milliseconds latency{0};
    std::function<void()> onArrival;
    std::shared_ptr<bool> isBegun;      ///< set when its first bytes have passed a link
    std::shared_ptr<bool> isNotAwaited; ///< set when its receiver has closed the connection
};

struct RelayReplay::Link
{
    explicit Link(double rate) : megabitsPerSecond(rate) {}

    double megabitsPerSecond;
    std::vector<MessagePtr> messages;
    MonotonicTime advancedAt;
    std::uint64_t generation = 0;
};

struct RelayReplay::Proxy
{
    Proxy(std::size_t proxyIndex, RelayPeer peer, double linkMbps)
        : index(proxyIndex), self(std::move(peer)), up(linkMbps), down(linkMbps), selection(self)
    {
    }

    std::size_t index;
    RelayPeer self;
    Link up;
    Link down;
    RelaySourceSelection selection;
    FullReadChoice choice;
    bool isRunning = false;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0; ///< 0: no copy
    bool isCurrent = false;
    MonotonicTime ageZero; ///< when the copy had the age 0
    std::optional<MonotonicTime> confirmedAt;
    int failures = 0;
    bool needsFullRead = true;
    std::uint64_t poll = 0; ///< number of the latest poll for changes
    std::size_t openProbes = 0;
    std::map<std::uint64_t, std::function<void()>> heldPolls;
    std::uint64_t lastHeldPoll = 0;
};

struct RelayReplay::Read
{
    Proxy *proxy = nullptr;
    std::uint64_t incarnation = 0;
    std::uint64_t poll = 0;
    bool isFull = false;
    bool isEnded = false;
    bool isTransferTimeGranted = false;
    bool hasCalledPlatform = false;
    std::size_t calledSources = 0;
    int callsInProgress = 0;
    std::uint64_t overdueTimer = 0;
    std::shared_ptr<bool> isLatestBegun;

    [[nodiscard]] RelayReadProgress progress() const { return {isFull, calledSources, hasCalledPlatform}; }
    [[nodiscard]] bool isForPresentProcess() const { return proxy->incarnation == incarnation; }
};

RelayReplay::RelayReplay(ReplayDeployment deployment, ReplayEvents events, std::uint64_t seed)
    : m_deployment(std::move(deployment)), m_events(std::move(events)), m_random(seededRandom(seed)),
      m_toSecond(std::make_unique<Link>(m_deployment.regionLinkMbps)),
      m_toFirst(std::make_unique<Link>(m_deployment.regionLinkMbps))
{
    for (std::size_t index = 0; index < 2 * m_deployment.proxiesPerRegion; ++index) {
        const bool isSecond = index >= m_deployment.proxiesPerRegion;
        const std::size_t place = 2 * index / m_deployment.proxiesPerRegion;
        const RelayPeer peer{RegionName(isSecond ? "region-b" : "region-a"),
                             Address(absl::StrFormat("10.0.%05d:1", index)),
                             DataCentreName(absl::StrCat("centre-", place))};
        const double rate = m_deployment.proxyLinkMbps[index % m_deployment.proxyLinkMbps.size()];
        m_proxies.push_back(std::make_unique<Proxy>(index, peer, rate));
        m_peers.push_back(peer);
        m_indexOf[peer.address] = index;
    }
    m_versionTimes.assign(2, m_now);
}

RelayReplay::~RelayReplay() = default;

void RelayReplay::at(MonotonicTime time, std::function<void()> action)
{
    m_queue.push({time, ++m_order, std::move(action)});
}

void RelayReplay::after(Milliseconds delay, std::function<void()> action)
{
    at(m_now + delay, std::move(action));
}

Milliseconds RelayReplay::elapsed() const
{
    return std::chrono::duration_cast<Milliseconds>(m_now - m_startedAt);
}

bool RelayReplay::isPlatformAway() const
{
    return std::any_of(m_events.platformAway.begin(), m_events.platformAway.end(),
                       [this](const ReplaySpan &span) { return span.contains(elapsed()); });
}

bool RelayReplay::isRefused(const Proxy &proxy) const
{
    return proxy.index < m_deployment.proxiesPerRegion / 2
           && std::any_of(m_events.platformRefuses.begin(), m_events.platformRefuses.end(),
                          [this](const ReplaySpan &span) { return span.contains(elapsed()); });
}

ReplayResult RelayReplay::run()
{
    // All proxies hold the first version when the replay starts.
    for (const auto &proxy : m_proxies) {
        start(*proxy);
        proxy->version = 1;
        proxy->isCurrent = true;
        proxy->needsFullRead = false;
        proxy->ageZero = m_now;
        proxy->confirmedAt = m_now;
    }
    for (const Milliseconds write : m_events.writes) {
        at(m_startedAt + write, [this] {
            ++m_version;
            m_versionTimes.push_back(m_now);
            for (const auto &poll : std::exchange(m_platformPolls, {}))
                poll();
        });
    }
    for (const ReplaySpan &span : m_events.proxiesAway) {
        for (const auto &proxy : m_proxies) {
            if (static_cast<double>(uniformBelow(m_random, 1'000)) >= m_events.restartedShare * 1'000)
                continue;
            at(m_startedAt + span.from, [this, &proxy = *proxy] { stop(proxy); });
            at(m_startedAt + span.until, [this, &proxy = *proxy] { start(proxy); });
        }
    }
    m_result.timeToAll.resize(m_events.writes.size());
    while (!m_queue.empty() && m_queue.top().at <= m_startedAt + m_events.end) {
        const Event event = m_queue.top();
        m_queue.pop();
        m_now = event.at;
        event.action();
    }
    return m_result;
}

// --- links ---

RelayReplay::MessagePtr RelayReplay::messageBetween(std::optional<std::size_t> from, std::optional<std::size_t> to,
                                                    ByteCount bytes, std::function<void()> onArrival)
{
    const auto isInSecond = [this](std::optional<std::size_t> end) {
        return end && *end >= m_deployment.proxiesPerRegion;
    };
    auto message = std::make_shared<Message>();
    if (from)
        message->links.push_back(&m_proxies[*from]->up);
    if (isInSecond(from) != isInSecond(to)) {
        message->links.push_back(isInSecond(to) ? m_toSecond.get() : m_toFirst.get());
        message->latency = regionLatency;
        if (from && to)
            m_result.relayedBytes = ByteCount(m_result.relayedBytes.value() + bytes.value());
        else if (to)
            m_result.platformBytes = ByteCount(m_result.platformBytes.value() + bytes.value());
    }
    if (to)
        message->links.push_back(&m_proxies[*to]->down);
    message->bytes = static_cast<double>(bytes.value());
    message->onArrival = std::move(onArrival);
    return message;
}

void RelayReplay::send(const MessagePtr &message)
{
    if (message->links.empty()) {
        after(message->latency + Milliseconds(1), message->onArrival);
        return;
    }
    Link &link = *message->links.front();
    advance(link);
    message->remaining = message->bytes;
    link.messages.push_back(message);
    scheduleCompletion(link);
}

// The messages on a link share its rate evenly.
void RelayReplay::advance(Link &link)
{
    const double passed = std::chrono::duration<double>(m_now - link.advancedAt).count();
    link.advancedAt = m_now;
    if (link.messages.empty())
        return;
    const double bytes =
            passed * link.megabitsPerSecond * 1e6 / bitsPerByte / static_cast<double>(link.messages.size());
    for (const MessagePtr &message : link.messages) {
        message->remaining -= bytes;
        if (message->isBegun)
            *message->isBegun = true;
    }
    std::erase_if(link.messages,
                  [](const MessagePtr &message) { return message->isNotAwaited && *message->isNotAwaited; });
}

void RelayReplay::scheduleCompletion(Link &link)
{
    if (link.messages.empty())
        return;
    const std::uint64_t generation = ++link.generation;
    const auto next = std::min_element(link.messages.begin(), link.messages.end(),
                                       [](const auto &a, const auto &b) { return a->remaining < b->remaining; });
    const double bytes = std::max(0.0, (*next)->remaining) * static_cast<double>(link.messages.size());
    at(m_now + transferTime(bytes, link.megabitsPerSecond), [this, &link, generation] {
        if (generation != link.generation)
            return;
        advance(link);
        std::vector<MessagePtr> passed;
        std::erase_if(link.messages, [&passed](const MessagePtr &message) {
            if (message->remaining > 0.5)
                return false;
            passed.push_back(message);
            return true;
        });
        scheduleCompletion(link);
        for (const MessagePtr &message : passed) {
            message->links.erase(message->links.begin());
            send(message);
        }
    });
}

// --- processes ---

void RelayReplay::start(Proxy &proxy)
{
    proxy.isRunning = true;
    ++proxy.incarnation;
    proxy.selection = RelaySourceSelection(proxy.self);
    proxy.choice = FullReadChoice();
    proxy.selection.setPeers(m_peers);
    proxy.version = 0;
    proxy.isCurrent = false;
    proxy.confirmedAt.reset();
    proxy.ageZero = MonotonicTime();
    proxy.failures = 0;
    proxy.needsFullRead = true;
    proxy.openProbes = 0;
    proxy.heldPolls.clear();
    const std::uint64_t incarnation = proxy.incarnation;
    after(Milliseconds(uniformBelow(m_random, 300)), [this, &proxy, incarnation] {
        if (proxy.incarnation == incarnation)
            readNext(proxy);
    });
    after(probeInterval, [this, &proxy, incarnation] {
        if (proxy.incarnation == incarnation)
            probe(proxy);
    });
}

void RelayReplay::stop(Proxy &proxy)
{
    proxy.isRunning = false;
    ++proxy.incarnation;
    proxy.version = 0;
    proxy.heldPolls.clear();
}

// --- watch of the table ---

void RelayReplay::readNext(Proxy &proxy)
{
    startRead(proxy, proxy.needsFullRead);
}

void RelayReplay::startRead(Proxy &proxy, bool isFull)
{
    auto read = std::make_shared<Read>();
    read->proxy = &proxy;
    read->incarnation = proxy.incarnation;
    read->isFull = isFull;
    read->poll = ++proxy.poll;
    if (!isFull) {
        after(watchTimeout, [this, &proxy, poll = read->poll, incarnation = proxy.incarnation] {
            if (proxy.incarnation != incarnation || proxy.poll != poll)
                return;
            ++proxy.poll;
            handleLoss(proxy, false);
        });
    }
    if (!call(read, proxy.selection.firstSource(isFull, m_now)))
        finish(read, std::nullopt);
}

void RelayReplay::finish(const ReadPtr &read, std::optional<Response> response)
{
    if (std::exchange(read->isEnded, true) || !read->isForPresentProcess())
        return;
    Proxy &proxy = *read->proxy;
    if (proxy.poll != read->poll) {
        if (response && response->hasCopy && response->version >= proxy.version)
            apply(proxy, *response, response->isFull);
        return;
    }
    ++proxy.poll;
    if (response && (response->hasCopy))
        handleResult(proxy, *response, read->isFull || response->isFull);
    else
        handleLoss(proxy, response && response->isGap);
}

void RelayReplay::handleResult(Proxy &proxy, const Response &response, bool isFull)
{
    if (isFull && response.version < proxy.version) {
        handleLoss(proxy, false);
        return;
    }
    const std::size_t distinct = response.changes > 0 ? 1 : 0;
    proxy.needsFullRead = !isFull && response.changes >= distinct + supersededChanges;
    if (response.version >= proxy.version)
        apply(proxy, response, isFull);
    const std::uint64_t incarnation = proxy.incarnation;
    after(distinct > 0 ? batchDelay : Milliseconds(0), [this, &proxy, incarnation] {
        if (proxy.incarnation == incarnation)
            readNext(proxy);
    });
}

void RelayReplay::apply(Proxy &proxy, const Response &response, bool isFull)
{
    proxy.choice.recordResult(response.confirmedAt.value_or(m_now - response.age), m_now, isFull,
                              response.version > proxy.version);
    proxy.failures = 0;
    proxy.version = std::max(proxy.version, response.version);
    proxy.ageZero = std::max(proxy.ageZero, m_now - response.age);
    if (response.confirmedAt)
        proxy.confirmedAt = std::max(proxy.confirmedAt.value_or(*response.confirmedAt), *response.confirmedAt);
    setCurrent(proxy, response.age <= maxRelayedAge);
    respondToHeldPolls(proxy);
    recordProgress();
}

void RelayReplay::handleLoss(Proxy &proxy, bool isGap)
{
    if (isGap || proxy.failures > 0)
        proxy.needsFullRead = true;
    if (proxy.failures == 0)
        setCurrent(proxy, false);
    const Milliseconds base = std::min(longestRetryDelay, firstRetryDelay * (1 << std::min(proxy.failures, 6)));
    ++proxy.failures;
    const Milliseconds delay = Milliseconds(uniformBelow(m_random, std::uint64_t(base.count()))) + base / 2;
    const std::uint64_t incarnation = proxy.incarnation;
    after(delay, [this, &proxy, incarnation] {
        if (proxy.incarnation == incarnation)
            readNext(proxy);
    });
}

void RelayReplay::setCurrent(Proxy &proxy, bool isCurrent)
{
    const bool couldServe = mayServe(proxy);
    proxy.isCurrent = isCurrent;
    if (mayServe(proxy))
        return;
    if (couldServe)
        ++m_result.copiesLost;
    respondToHeldPolls(proxy);
}

// --- reads ---

bool RelayReplay::call(const ReadPtr &read, const RelaySource &source)
{
    if (source.kind == RelaySource::Kind::None)
        return false;
    ++read->calledSources;
    ++read->callsInProgress;
    if (source.kind == RelaySource::Kind::Peer) {
        callPeer(read, source.peer);
        return true;
    }
    read->hasCalledPlatform = true;
    ++read->overdueTimer;
    const bool isFull = read->isFull || isFullReadDue(*read->proxy);
    callPlatform(*read->proxy, isFull, isFull ? Milliseconds(0) : platformHold,
                 [this, read, isFull, sentAt = m_now](std::optional<Response> response) {
                     --read->callsInProgress;
                     if (!read->isForPresentProcess())
                         return;
                     if (response) {
                         static_cast<void>(read->proxy->selection.platformResponded(sentAt, m_now));
                         response->isFull = isFull;
                     } else {
                         read->proxy->selection.platformFailed(m_now);
                     }
                     if (response || read->isFull || read->callsInProgress == 0)
                         finish(read, response);
                 });
    return true;
}

void RelayReplay::callPeer(const ReadPtr &read, const Address &peerAddress)
{
    Proxy &proxy = *read->proxy;
    const Milliseconds hold = read->isFull ? Milliseconds(0) : relayHold;
    const RelayCallId id = proxy.selection.callSent(peerAddress, m_now, m_now + hold + hedgeDelay);
    const std::size_t peerIndex = m_indexOf.at(peerAddress);
    const auto isDone = std::make_shared<bool>(false);
    const auto isBegun = std::make_shared<bool>(false);
    read->isLatestBegun = isBegun;
    const MonotonicTime sentAt = m_now;
    after(hold + peerResponseTimeout, [this, read, id, isDone] {
        if (std::exchange(*isDone, true) || !read->isForPresentProcess())
            return;
        --read->callsInProgress;
        read->proxy->selection.callTimedOut(id, m_now);
        if (read->callsInProgress == 0)
            finish(read, std::nullopt);
    });
    const auto onResponse = [this, read, id, isDone, sentAt](const Response &response) {
        if (std::exchange(*isDone, true) || !read->isForPresentProcess())
            return;
        --read->callsInProgress;
        handlePeerResponse(read, id, sentAt, response);
    };
    const auto onRefused = [this, read, id, isDone] {
        if (std::exchange(*isDone, true) || !read->isForPresentProcess())
            return;
        --read->callsInProgress;
        static_cast<void>(read->proxy->selection.callFailed(id, m_now));
        handleFailure(read);
    };
    send(messageBetween(proxy.index, peerIndex, requestBytes,
                        [this, read, peerIndex, onResponse, onRefused, isBegun, after = proxy.version] {
                            Proxy &peer = *m_proxies[peerIndex];
                            const std::size_t reader = read->proxy->index;
                            if (!peer.isRunning) {
                                send(messageBetween(peerIndex, reader, emptyResponse, onRefused));
                                return;
                            }
                            servePoll(peer, after, read->isFull,
                                      [this, peerIndex, reader, onResponse, isBegun](const Response &response) {
                                          const ByteCount bytes =
                                                  response.changes > 0 ? m_deployment.relayedRow : emptyResponse;
                                          const MessagePtr message =
                                                  messageBetween(peerIndex, reader, bytes,
                                                                 [onResponse, response] { onResponse(response); });
                                          message->isBegun = isBegun;
                                          send(message);
                                      });
                        }));
    scheduleOverdue(read, hold + hedgeDelay);
}

void RelayReplay::scheduleOverdue(const ReadPtr &read, Milliseconds delay)
{
    const std::uint64_t timer = ++read->overdueTimer;
    after(delay, [this, read, timer] {
        if (read->isEnded || read->overdueTimer != timer || !read->isForPresentProcess())
            return;
        if (*read->isLatestBegun && !std::exchange(read->isTransferTimeGranted, true)) {
            scheduleOverdue(read, Milliseconds(1'000));
            return;
        }
        call(read, read->proxy->selection.nextSource(read->progress(), m_now));
    });
}

void RelayReplay::handlePeerResponse(const ReadPtr &read, RelayCallId id, MonotonicTime sentAt,
                                     const Response &response)
{
    RelaySourceSelection &selection = read->proxy->selection;
    if (response.isGap) {
        static_cast<void>(selection.responseReceived(id, m_now));
        finish(read, response);
        return;
    }
    if (!response.hasCopy) {
        static_cast<void>(selection.copyMissing(id, m_now));
        handleFailure(read);
        return;
    }
    Response received = response;
    received.age = selection.copyReceived(id, response.age, m_now).age
                   + std::chrono::duration_cast<Milliseconds>(m_now - sentAt) - response.held;
    finish(read, received);
}

void RelayReplay::handleFailure(const ReadPtr &read)
{
    if (read->isEnded)
        return;
    if (!call(read, read->proxy->selection.nextSource(read->progress(), m_now)) && read->callsInProgress == 0)
        finish(read, std::nullopt);
}

// --- platform ---

void RelayReplay::callPlatform(Proxy &proxy, bool isFull, Milliseconds hold,
                               const std::function<void(std::optional<Response>)> &onResult)
{
    proxy.selection.platformCalled(isFull, m_now);
    const auto onEnd = [&proxy, isFull, onResult,
                        incarnation = proxy.incarnation](const std::optional<Response> &response) {
        if (proxy.incarnation == incarnation)
            proxy.selection.platformCallEnded(isFull);
        onResult(response);
    };
    const auto isDone = std::make_shared<bool>(false);
    const auto isConnected = std::make_shared<bool>(false);
    const auto isBegun = std::make_shared<bool>(false);
    const auto end = [isDone, onEnd](const std::optional<Response> &response) {
        if (!std::exchange(*isDone, true))
            onEnd(response);
    };
    after(connectTimeout, [end, isConnected] {
        if (!*isConnected)
            end(std::nullopt);
    });
    const Milliseconds timeout = isFull ? listTimeout : hold + pollMargin;
    after(timeout, [this, end, isBegun] {
        if (*isBegun)
            after(transferExtension, [end] { end(std::nullopt); });
        else
            end(std::nullopt);
    });
    const MonotonicTime sentAt = m_now;
    const std::size_t index = proxy.index;
    const std::uint64_t version = proxy.version;
    const auto request = [this, &proxy, isFull, hold, sentAt, version, end, isDone, isBegun, index] {
        if (isPlatformAway() || *isDone)
            return;
        if (isRefused(proxy)) {
            end(std::nullopt);
            return;
        }
        const auto respond = [this, &proxy, isFull, sentAt, version, end, isBegun, isDone](Milliseconds held) {
            if (isRefused(proxy))
                end(std::nullopt);
            else if (!isPlatformAway())
                respondFromPlatform(proxy, version, isFull, sentAt, held, end, isBegun, isDone);
        };
        if (isFull || hold == Milliseconds(0) || m_version > version) {
            respond(Milliseconds(0));
            return;
        }
        const auto isAnswered = std::make_shared<bool>(false);
        const MonotonicTime heldSince = m_now;
        const auto answer = [this, respond, isAnswered, heldSince] {
            if (!std::exchange(*isAnswered, true))
                respond(std::chrono::duration_cast<Milliseconds>(m_now - heldSince));
        };
        m_platformPolls.push_back(answer);
        after(hold, answer);
    };
    send(messageBetween(index, std::nullopt, requestBytes, [this, index, isConnected, request] {
        if (isPlatformAway())
            return;
        send(messageBetween(std::nullopt, index, ByteCount(60), [this, index, isConnected, request] {
            *isConnected = true;
            send(messageBetween(index, std::nullopt, requestBytes, request));
        }));
    }));
}

void RelayReplay::respondFromPlatform(Proxy &proxy, std::uint64_t after, bool isFull, MonotonicTime sentAt,
                                      Milliseconds held, const std::function<void(Response)> &onResponse,
                                      const std::shared_ptr<bool> &isBegun, const std::shared_ptr<bool> &isNotAwaited)
{
    Response response;
    response.hasCopy = true;
    response.version = m_version;
    response.changes = isFull ? 1 : m_version - after;
    response.confirmedAt = held >= platformHold ? sentAt + held : sentAt;
    const ByteCount bytes =
            response.changes > 0 ? ByteCount(m_deployment.platformRow.value() * response.changes) : emptyResponse;
    std::shared_ptr<void> readInProgress;
    if (response.changes > 0) {
        std::size_t &reads = m_platformReads[proxy.index >= m_deployment.proxiesPerRegion ? 1 : 0];
        m_result.mostPlatformReads = std::max(m_result.mostPlatformReads, ++reads);
        readInProgress = std::shared_ptr<void>(nullptr, [&reads](void *) { --reads; });
    }
    const MessagePtr message = messageBetween(std::nullopt, proxy.index, bytes,
                                              [onResponse, response, readInProgress] { onResponse(response); });
    message->isBegun = isBegun;
    message->isNotAwaited = isNotAwaited;
    send(message);
}

void RelayReplay::probe(Proxy &proxy)
{
    const bool isOld = !proxy.confirmedAt || m_now - *proxy.confirmedAt > probeAge;
    const std::uint64_t incarnation = proxy.incarnation;
    if (isOld && proxy.version > 0 && proxy.openProbes < proxy.selection.openProbeLimit(m_now)) {
        ++proxy.openProbes;
        const bool isFull = isFullReadDue(proxy);
        callPlatform(proxy, isFull, Milliseconds(0),
                     [this, &proxy, isFull, incarnation](const std::optional<Response> &response) {
                         if (proxy.incarnation != incarnation)
                             return;
                         --proxy.openProbes;
                         if (response && response->version >= proxy.version)
                             apply(proxy, *response, isFull);
                     });
    }
    after(probeInterval, [this, &proxy, incarnation] {
        if (proxy.incarnation == incarnation)
            probe(proxy);
    });
}

bool RelayReplay::isFullReadDue(const Proxy &proxy) const
{
    return proxy.selection.isLargeFleet() && proxy.choice.isFullReadDue(m_now);
}

// --- serving ---

Milliseconds RelayReplay::ageOf(const Proxy &proxy) const
{
    return std::chrono::duration_cast<Milliseconds>(m_now - proxy.ageZero);
}

bool RelayReplay::mayServe(const Proxy &proxy) const
{
    ServedCopyState state;
    state.isCurrent = proxy.isCurrent;
    if (proxy.version > 0)
        state.age = ageOf(proxy);
    state.fleetSize = m_peers.size();
    return proxy.isRunning && mayServeCopy(state);
}

RelayReplay::Response RelayReplay::copyOf(const Proxy &proxy, std::uint64_t after, bool isFull) const
{
    Response response;
    response.hasCopy = true;
    response.version = std::max(proxy.version, isFull ? 0 : after);
    response.changes = isFull || proxy.version > after ? 1 : 0;
    response.age = ageOf(proxy);
    response.confirmedAt = proxy.confirmedAt;
    return response;
}

void RelayReplay::servePoll(Proxy &proxy, std::uint64_t after, bool isFull, std::function<void(Response)> respond)
{
    if (!mayServe(proxy)) {
        respond(Response());
        return;
    }
    if (isFull || proxy.version > after) {
        respond(copyOf(proxy, after, isFull));
        return;
    }
    const std::uint64_t id = ++proxy.lastHeldPoll;
    proxy.heldPolls[id] = [this, &proxy, after, respond = std::move(respond), heldSince = m_now] {
        if (!mayServe(proxy)) {
            respond(Response());
            return;
        }
        Response response = copyOf(proxy, after, false);
        response.held = std::chrono::duration_cast<Milliseconds>(m_now - heldSince);
        respond(response);
    };
    this->after(relayHold, [&proxy, id, incarnation = proxy.incarnation] {
        const auto found = proxy.heldPolls.find(id);
        if (proxy.incarnation != incarnation || found == proxy.heldPolls.end())
            return;
        const auto poll = std::move(found->second);
        proxy.heldPolls.erase(found);
        poll();
    });
}

void RelayReplay::respondToHeldPolls(Proxy &proxy)
{
    for (const auto &[id, poll] : std::exchange(proxy.heldPolls, {}))
        poll();
}

void RelayReplay::recordProgress()
{
    std::uint64_t lowest = m_version;
    bool areAllRecent = !isPlatformAway();
    for (const auto &proxy : m_proxies) {
        lowest = std::min(lowest, proxy->version);
        areAllRecent = areAllRecent && proxy->isRunning && proxy->isCurrent;
    }
    for (std::size_t write = 0; write < m_events.writes.size() && write + 2 <= lowest; ++write) {
        if (!m_result.timeToAll[write])
            m_result.timeToAll[write] = std::chrono::duration_cast<Milliseconds>(m_now - m_versionTimes[write + 2]);
    }
    Milliseconds lastAbsence{0};
    for (const auto *spans : {&m_events.platformAway, &m_events.proxiesAway}) {
        for (const ReplaySpan &span : *spans)
            lastAbsence = std::max(lastAbsence, span.until);
    }
    if (areAllRecent && elapsed() >= lastAbsence && !m_result.allConfirmedAt)
        m_result.allConfirmedAt = elapsed();
}

} // namespace dandeliondock::testing
