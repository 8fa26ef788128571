#include "proxy/fleet_replay.h"

#include <dandeliondock/admission/attempt_gate.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace dandeliondock::testing {

namespace {

const ServiceName service("s");
const VersionName version("v1");
constexpr std::size_t dataCentres = 4;
constexpr Microseconds latencyInRegion{500};
constexpr Microseconds latencyBetweenRegions{12'000};
constexpr std::uint64_t responseSize = 1'000;

std::string dataCentreName(std::size_t index)
{
    return "dc" + std::to_string(index % dataCentres);
}

std::string regionName(std::size_t index)
{
    return index % dataCentres < dataCentres / 2 ? "east" : "west";
}

} // namespace

struct FleetReplay::Proxy
{
    Proxy(std::size_t index, RandomSource random)
        : balancer({RegionName(regionName(index)), DataCentreName(dataCentreName(index))}, std::move(random)),
          budget(RetryBudgetLimits{})
    {
    }

    TargetBalancer balancer;
    RetryBudget budget;
    AttemptGate gate;
};

struct FleetReplay::Target
{
    double workFactor = 1;
    MonotonicTime noisyUntil;
    MonotonicTime quietUntil;
    InboundQueue queue;
    absl::flat_hash_map<WaiterId, RequestPtr> waiting;
};

struct FleetReplay::Request
{
    std::size_t route = 0;
    std::size_t proxy = 0;
    MonotonicTime arrivedAt;
    MonotonicTime softDeadline;
    MonotonicTime deadline;
    BalancerRequest criteria;
    std::optional<ForwardPlan> plan;
    std::optional<BalancerClaim> claim;
    MonotonicTime sentAt;
    Microseconds maxWait{0};
    MonotonicTime queuedAt;
    WaiterId waiter;
    bool isCounted = false;
};

FleetReplay::~FleetReplay() = default;

FleetReplay::FleetReplay(ReplayFleet fleet, std::uint64_t seed)
    : m_fleet(std::move(fleet)), m_random(seededRandom(seed)), m_counts(m_fleet.routes.size())
{
    for (std::size_t index = 0; index < m_fleet.targets; ++index) {
        auto target = std::make_unique<Target>();
        target->workFactor = m_fleet.workFactors[(index / dataCentres) % m_fleet.workFactors.size()];
        target->queue.setSlots(SlotCount(m_fleet.slots));
        m_targets.push_back(std::move(target));
    }
    for (std::size_t index = 0; index < m_fleet.proxies; ++index) {
        auto proxy = std::make_unique<Proxy>(index, seededRandom(seed + 1 + index));
        for (std::size_t target = 0; target < m_fleet.targets; ++target) {
            Endpoint endpoint;
            endpoint.target = TargetId("t-" + std::to_string(target));
            endpoint.stamp = {Incarnation(1), SequenceNumber(1), EndpointState::Serving};
            endpoint.controlAddress = Address("t" + std::to_string(target) + ":1");
            endpoint.address = Address(std::to_string(target));
            endpoint.service = service;
            endpoint.version = version;
            endpoint.region = RegionName(regionName(target));
            endpoint.dataCentre = DataCentreName(dataCentreName(target));
            endpoint.slots = SlotCount(m_fleet.slots);
            proxy->balancer.apply(endpoint, m_now - Seconds(60));
        }
        m_proxies.push_back(std::move(proxy));
    }
}

std::vector<ReplayCounts> FleetReplay::run()
{
    for (std::size_t route = 0; route < m_fleet.routes.size(); ++route)
        scheduleArrivals(route);
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    return m_counts;
}

void FleetReplay::schedule(MonotonicTime at, std::function<void()> action)
{
    m_events.push({at, ++m_order, std::move(action)});
}

double FleetReplay::uniform()
{
    return static_cast<double>(uniformBelow(m_random, 1'000'000)) / 1'000'000;
}

double FleetReplay::exponential()
{
    return -std::log(1 - uniform());
}

Microseconds FleetReplay::latency(std::size_t proxy, std::size_t target) const
{
    return regionName(proxy) == regionName(target) ? latencyInRegion : latencyBetweenRegions;
}

void FleetReplay::scheduleArrivals(std::size_t route)
{
    const double interval = 1'000'000 / m_fleet.routes[route].requestsPerSecond;
    for (double at = 0; at < static_cast<double>(Microseconds(m_fleet.duration).count());
         at += interval * exponential()) {
        const MonotonicTime arrival = m_startedAt + Microseconds(static_cast<std::int64_t>(at));
        schedule(arrival, [this, route] {
            const ReplayRoute &terms = m_fleet.routes[route];
            auto request = std::make_shared<Request>();
            request->route = route;
            request->proxy = uniformBelow(m_random, m_proxies.size());
            request->arrivedAt = m_now;
            request->softDeadline = m_now + terms.targetLatency;
            request->deadline = m_now + terms.deadline;
            request->criteria.service = service;
            request->criteria.version = {version, false, fullShare};
            request->criteria.responseSize = ByteCount(responseSize);
            request->criteria.route = RouteName(terms.name);
            request->isCounted = m_now - m_startedAt >= m_fleet.warmUp;
            RetryBudget &budget = m_proxies[request->proxy]->budget;
            budget.recordRequest(m_now);
            request->plan.emplace(ForwardPolicy{false, 3, request->deadline}, budget);
            if (request->isCounted)
                ++m_counts[route].requests;
            attempt(request);
        });
    }
}

void FleetReplay::attempt(const RequestPtr &request)
{
    const bool isRetry = !request->criteria.tried.empty();
    const RouteName route(m_fleet.routes[request->route].name);
    if (isRetry
        && m_proxies[request->proxy]->gate.withhold(route, m_fleet.routes[request->route].workClass, uniform(),
                                                    m_now)) {
        if (request->isCounted)
            ++m_counts[request->route].refused;
        return;
    }
    request->criteria.timeLeft = request->softDeadline - m_now;
    request->claim = m_proxies[request->proxy]->balancer.choose(request->criteria, m_now);
    if (!request->claim) {
        if (request->isCounted)
            ++m_counts[request->route].refused;
        return;
    }
    if (request->isCounted) {
        ++m_counts[request->route].attempts;
        if (request->claim->target->tier != LocalityTier::DataCentre)
            ++m_counts[request->route].distantAttempts;
    }
    request->criteria.tried.push_back(request->claim->target->endpoint.target);
    request->maxWait =
            !isRetry && m_proxies[request->proxy]->balancer.hasRoomElsewhere(request->criteria, *request->claim, m_now)
                    ? Microseconds(m_fleet.routes[request->route].targetLatency) / maxWaitDivisor
                    : Microseconds(0);
    request->plan->startAttempt();
    request->sentAt = m_now;
    const std::size_t target = std::stoul(request->claim->target->endpoint.address.value());
    schedule(m_now + latency(request->proxy, target), [this, request, target] { arrive(request, target); });
}

void FleetReplay::arrive(const RequestPtr &request, std::size_t index)
{
    Target &target = *m_targets[index];
    request->waiter = WaiterId(++m_lastId);
    request->queuedAt = m_now;
    const ReplayRoute &route = m_fleet.routes[request->route];
    const InboundAdmission admission = target.queue.admit(
            request->waiter, {RouteName(route.name), route.workClass, request->maxWait}, request->softDeadline, m_now);
    for (const WaiterId id : admission.displaced) {
        const RequestPtr displaced = target.waiting.at(id);
        target.waiting.erase(id);
        refuse(displaced, index);
    }
    if (admission.verdict == InboundVerdict::Run) {
        start(request, index);
    } else if (admission.verdict == InboundVerdict::Refuse) {
        refuse(request, index);
    } else {
        target.waiting[request->waiter] = request;
        const MonotonicTime waitsUntil = request->maxWait.count() > 0
                                                 ? std::min(request->softDeadline, m_now + request->maxWait)
                                                 : request->softDeadline;
        schedule(waitsUntil, [this, request, index, waiter = request->waiter] {
            Target &current = *m_targets[index];
            if (current.waiting.erase(waiter) > 0) {
                current.queue.withdraw(waiter);
                refuse(request, index);
            }
        });
    }
}

double FleetReplay::workFactorNow(Target &target)
{
    if (m_fleet.noiseSharePercent <= 0)
        return target.workFactor;
    while (m_now >= target.quietUntil) {
        const double noise = static_cast<double>(m_fleet.noiseDuration.count()) * 1'000 * exponential();
        const double quiet = noise == 0 ? 1
                                        : static_cast<double>(m_fleet.noiseDuration.count()) * 1'000 * exponential()
                                                  * (100 / m_fleet.noiseSharePercent - 1);
        const MonotonicTime from = std::max(target.quietUntil, m_startedAt);
        target.noisyUntil = from + Microseconds(static_cast<std::int64_t>(noise));
        target.quietUntil = target.noisyUntil + Microseconds(static_cast<std::int64_t>(quiet) + 1);
    }
    return target.workFactor * (m_now < target.noisyUntil ? m_fleet.noiseFactor : 1);
}

void FleetReplay::start(const RequestPtr &request, std::size_t index)
{
    if (request->isCounted)
        m_counts[request->route].waited += m_now - request->queuedAt;
    const ReplayRoute &route = m_fleet.routes[request->route];
    const double work = static_cast<double>(Microseconds(route.work).count()) * workFactorNow(*m_targets[index])
                        * (0.7 + 0.6 * uniform());
    const MonotonicTime startedAt = m_now;
    schedule(m_now + Microseconds(static_cast<std::int64_t>(work)), [this, request, index, startedAt] {
        Target &target = *m_targets[index];
        target.queue.recordFinished(RouteName(m_fleet.routes[request->route].name), m_now - startedAt);
        respond(request, index, ForwardOutcome::Responded);
        runNext(index);
    });
}

void FleetReplay::runNext(std::size_t index)
{
    Target &target = *m_targets[index];
    while (const auto id = target.queue.takeNext()) {
        const RequestPtr request = target.waiting.at(*id);
        target.waiting.erase(*id);
        start(request, index);
    }
}

void FleetReplay::refuse(const RequestPtr &request, std::size_t index)
{
    if (request->isCounted)
        m_counts[request->route].waited += m_now - request->queuedAt;
    respond(request, index, ForwardOutcome::Refused);
}

void FleetReplay::respond(const RequestPtr &request, std::size_t index, ForwardOutcome outcome)
{
    TargetLoad load = m_targets[index]->queue.load();
    load.workTime = m_targets[index]->queue.workTime(RouteName(m_fleet.routes[request->route].name));
    if (m_fleet.reportsWorkPercent)
        load.workPercent = static_cast<std::uint32_t>(100 * workFactorNow(*m_targets[index]));
    const Microseconds inboundTime = m_now - request->queuedAt;
    schedule(m_now + latency(request->proxy, index),
             [this, request, outcome, load, inboundTime] { conclude(request, outcome, load, inboundTime); });
}

void FleetReplay::conclude(const RequestPtr &request, ForwardOutcome outcome, const TargetLoad &load,
                           Microseconds inboundTime)
{
    TargetBalancer &balancer = m_proxies[request->proxy]->balancer;
    balancer.recordRoundTrip(*request->claim, m_now - request->sentAt - inboundTime, m_now);
    balancer.finish(*request->claim,
                    outcome == ForwardOutcome::Refused ? TargetFeedback::Refused : TargetFeedback::Served, load, m_now);
    request->claim.reset();
    AttemptGate &gate = m_proxies[request->proxy]->gate;
    const RouteName route(m_fleet.routes[request->route].name);
    if (outcome == ForwardOutcome::Refused)
        gate.recordRefused(route, Microseconds(0), m_now);
    else
        gate.recordAccepted(route, m_now);
    const ForwardStep step = request->plan->conclude(outcome, m_now);
    if (step == ForwardStep::Send) {
        attempt(request);
        return;
    }
    if (!request->isCounted)
        return;
    ReplayCounts &counts = m_counts[request->route];
    if (step != ForwardStep::Respond)
        ++counts.refused;
    else if (m_now <= request->softDeadline)
        ++counts.inTime;
    else
        ++counts.late;
}

} // namespace dandeliondock::testing
