#pragma once

#include <dandeliondock/core/random_source.h>
#include <dandeliondock/proxy/forward_plan.h>
#include <dandeliondock/proxy/inbound_queue.h>
#include <dandeliondock/proxy/target_balancer.h>

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace dandeliondock::testing {

/// \brief A route of the replay.
struct ReplayRoute
{
    std::string name;
    double requestsPerSecond = 0;
    Milliseconds work{0}; ///< on a target with the usual speed
    Milliseconds targetLatency{0};
    Milliseconds deadline{0};
    WorkClass workClass = WorkClass::Interactive;
};

/// \brief A fleet of one service.
struct ReplayFleet
{
    std::size_t proxies = 65;
    std::size_t targets = 52;
    std::uint32_t slots = 18;
    std::vector<double> workFactors{1.0}; ///< work time of the targets relative to the usual one, assigned in turn
    double noiseFactor = 1.0;             ///< work time during a noise period relative to that without noise
    Milliseconds noiseDuration{0};
    double noiseSharePercent = 0; ///< part of the time in which a target is noisy
    std::vector<ReplayRoute> routes;
    Milliseconds warmUp{4'000}; ///< requests that arrive earlier are not counted
    Milliseconds duration{10'000};
    bool reportsWorkPercent = true; ///< whether the targets send the fourth figure of their load
};

/// \brief Results of the requests of one route.
struct ReplayCounts
{
    int requests = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int attempts = 0;
    int distantAttempts = 0; ///< on targets of another data centre
    Microseconds waited{0};  ///< in the queues of the targets, of all requests

    [[nodiscard]] double inTimeShare() const { return requests == 0 ? 0 : double(inTime) / requests; }
    [[nodiscard]] double servedShare() const { return requests == 0 ? 0 : double(inTime + late) / requests; }
};

/// \brief Replays a load on proxies and targets in virtual time: four data centres in two regions, one-way latencies of
/// 0.5 ms and 12 ms. The decisions are those of the product (balancer, plan, inbound queue); connections are not.
class FleetReplay
{
public:
    explicit FleetReplay(ReplayFleet fleet, std::uint64_t seed = 20261204);
    FleetReplay(const FleetReplay &) = delete;
    FleetReplay &operator=(const FleetReplay &) = delete;
    ~FleetReplay();

    /// \brief Runs the replay and returns the counts by route.
    std::vector<ReplayCounts> run();

private:
    struct Proxy;
    struct Target;
    struct Request;
    using RequestPtr = std::shared_ptr<Request>;
    struct Event
    {
        MonotonicTime at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const Event &other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void schedule(MonotonicTime at, std::function<void()> action);
    void scheduleArrivals(std::size_t route);
    double uniform();
    double exponential();
    Microseconds latency(std::size_t proxy, std::size_t target) const;
    double workFactorNow(Target &target);
    void attempt(const RequestPtr &request);
    void arrive(const RequestPtr &request, std::size_t target);
    void start(const RequestPtr &request, std::size_t target);
    void runNext(std::size_t target);
    void refuse(const RequestPtr &request, std::size_t target);
    void respond(const RequestPtr &request, std::size_t target, ForwardOutcome outcome);
    void conclude(const RequestPtr &request, ForwardOutcome outcome, const TargetLoad &load, Microseconds inboundTime);

    ReplayFleet m_fleet;
    RandomSource m_random;
    MonotonicTime m_now = MonotonicTime(Seconds(1'000));
    MonotonicTime m_startedAt = m_now;
    std::uint64_t m_order = 0;
    std::uint64_t m_lastId = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Proxy>> m_proxies;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<ReplayCounts> m_counts;
};

} // namespace dandeliondock::testing
