#pragma once

#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/relay/relay_parent.h>
#include <dandeliondock/relay/relay_source_selection.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace dandeliondock::testing {

/// \brief A deployment of two regions; the platform is in the first one.
struct ReplayDeployment
{
    std::size_t proxiesPerRegion = 40;
    double regionLinkMbps = 60;                          ///< in each direction
    std::vector<double> proxyLinkMbps{10, 50, 100, 200}; ///< in each direction, assigned in turn
    ByteCount platformRow{600'000};                      ///< the configuration in a response of the platform
    ByteCount relayedRow{43'000};                        ///< the configuration in a response of a proxy
};

/// \brief A span of time of the replay, from its start on.
struct ReplaySpan
{
    Milliseconds from{0};
    Milliseconds until{0};

    [[nodiscard]] bool contains(Milliseconds time) const { return time >= from && time < until; }
};

/// \brief What happens in a replay; times count from its start.
struct ReplayEvents
{
    std::vector<Milliseconds> writes;     ///< acknowledged changes of the configuration
    std::vector<ReplaySpan> platformAway; ///< calls to the platform get no response
    /// The platform refuses the proxies of the first data centre of the first region.
    std::vector<ReplaySpan> platformRefuses;
    std::vector<ReplaySpan> proxiesAway; ///< the proxies of \c restartedShare end and start again without a copy
    double restartedShare = 0;
    Milliseconds end{20'000};
};

/// \brief What a replay shows.
struct ReplayResult
{
    /// For each write, the time until all proxies hold it or a later one; empty if that does not happen.
    std::vector<std::optional<Milliseconds>> timeToAll;
    std::size_t copiesLost = 0;        ///< times at which a proxy stopped serving its copy to others
    std::size_t mostPlatformReads = 0; ///< largest number of reads of one region from the platform that carry rows
    ByteCount platformBytes{0};        ///< read from the platform by the second region
    ByteCount relayedBytes{0};         ///< sent between proxies of different regions
    std::optional<Milliseconds> allConfirmedAt; ///< when all proxies had a recent copy after the last absence
};

/// \brief Replays the distribution of one table in virtual time. Sources are selected and copies are served as the
/// product decides; connections, links and the timers of a table's watch are modelled.
///
/// Links share their rate evenly between the messages on them. A new connection to the platform is given up after a
/// second.
class RelayReplay
{
public:
    RelayReplay(ReplayDeployment deployment, ReplayEvents events, std::uint64_t seed);
    ~RelayReplay();
    RelayReplay(const RelayReplay &) = delete;
    RelayReplay &operator=(const RelayReplay &) = delete;

    [[nodiscard]] ReplayResult run();

private:
    struct Link;
    struct Message;
    struct Proxy;
    struct Read;
    using MessagePtr = std::shared_ptr<Message>;
    using ReadPtr = std::shared_ptr<Read>;

    /// A copy or the absence of one in a response.
    struct Response
    {
        bool hasCopy = false;
        bool isGap = false;
        bool isFull = false; ///< sent for a poll for changes
        std::uint64_t version = 0;
        std::size_t changes = 0;
        Milliseconds age{0};
        Milliseconds held{0};
        std::optional<MonotonicTime> confirmedAt;
    };

    struct Event
    {
        MonotonicTime at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const Event &other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void after(Milliseconds delay, std::function<void()> action);
    void at(MonotonicTime time, std::function<void()> action);
    [[nodiscard]] Milliseconds elapsed() const;
    [[nodiscard]] bool isPlatformAway() const;
    [[nodiscard]] bool isRefused(const Proxy &proxy) const;

    void send(const MessagePtr &message);
    void advance(Link &link);
    void scheduleCompletion(Link &link);
    [[nodiscard]] MessagePtr messageBetween(std::optional<std::size_t> from, std::optional<std::size_t> to,
                                            ByteCount bytes, std::function<void()> onArrival);

    void start(Proxy &proxy);
    void stop(Proxy &proxy);
    void readNext(Proxy &proxy);
    void startRead(Proxy &proxy, bool isFull);
    bool call(const ReadPtr &read, const RelaySource &source);
    void callPeer(const ReadPtr &read, const Address &peer);
    void callPlatform(Proxy &proxy, bool isFull, Milliseconds hold,
                      const std::function<void(std::optional<Response>)> &onEnd);
    void respondFromPlatform(Proxy &proxy, std::uint64_t after, bool isFull, MonotonicTime sentAt, Milliseconds held,
                             const std::function<void(Response)> &onResponse, const std::shared_ptr<bool> &isBegun,
                             const std::shared_ptr<bool> &isNotAwaited);
    void scheduleOverdue(const ReadPtr &read, Milliseconds delay);
    void handlePeerResponse(const ReadPtr &read, RelayCallId call, MonotonicTime sentAt, const Response &response);
    void handleFailure(const ReadPtr &read);
    void finish(const ReadPtr &read, std::optional<Response> response);
    void handleResult(Proxy &proxy, const Response &response, bool isFull);
    void handleLoss(Proxy &proxy, bool isGap);
    void apply(Proxy &proxy, const Response &response, bool isFull);
    void setCurrent(Proxy &proxy, bool isCurrent);
    [[nodiscard]] Milliseconds ageOf(const Proxy &proxy) const;
    [[nodiscard]] bool isFullReadDue(const Proxy &proxy) const;
    [[nodiscard]] bool mayServe(const Proxy &proxy) const;
    [[nodiscard]] Response copyOf(const Proxy &proxy, std::uint64_t after, bool isFull) const;
    void servePoll(Proxy &proxy, std::uint64_t after, bool isFull, std::function<void(Response)> respond);
    void respondToHeldPolls(Proxy &proxy);
    void probe(Proxy &proxy);
    void recordProgress();

    const ReplayDeployment m_deployment;
    const ReplayEvents m_events;
    RandomSource m_random;
    std::vector<std::size_t> m_platformReads{0, 0}; ///< that carry rows at present, by region
    MonotonicTime m_now = MonotonicTime(Seconds(1'000));
    const MonotonicTime m_startedAt = m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_queue;
    std::vector<std::unique_ptr<Proxy>> m_proxies;
    std::map<Address, std::size_t> m_indexOf;
    std::vector<RelayPeer> m_peers;
    std::unique_ptr<Link> m_toSecond; ///< from the first region to the second one
    std::unique_ptr<Link> m_toFirst;
    std::uint64_t m_version = 1; ///< of the platform
    std::vector<MonotonicTime> m_versionTimes;
    std::vector<std::function<void()>> m_platformPolls; ///< held until there is a change
    ReplayResult m_result;
};

} // namespace dandeliondock::testing
