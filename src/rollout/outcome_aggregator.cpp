#include <dandeliondock/rollout/outcome_aggregator.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr int firstServerError = 500;

} // namespace

Evidence classifyOutcome(const AttemptOutcome &outcome) noexcept
{
    switch (outcome.result) {
    case AttemptResult::Responded:
        return outcome.status >= firstServerError ? Evidence::Failure : Evidence::Success;
    case AttemptResult::MayHaveRun:
    case AttemptResult::TimedOut:
        return Evidence::Failure;
    case AttemptResult::Cancelled: // its elapsed time is a lower bound of its latency
        return Evidence::Success;
    case AttemptResult::Shed:
    case AttemptResult::NotSent:
        return Evidence::None;
    }
    return Evidence::None;
}

bool OutcomeAggregator::record(TicketNumber rollout, const AttemptReport &report, MonotonicTime now)
{
    const Evidence evidence = classifyOutcome(report.outcome);
    if (evidence == Evidence::None || isCold(report, now))
        return false;
    RouteOutcomes *outcomes = entry(rollout, report.route);
    if (outcomes == nullptr)
        return false;
    OutcomeSummary &summary = report.newVersion ? outcomes->newVersion : outcomes->oldVersion;
    ++summary.requests;
    if (evidence == Evidence::Failure)
        ++summary.failures;
    else
        ++summary.latencyBuckets[latencyBucket(report.outcome.latency)];
    return true;
}

void OutcomeAggregator::recordStop(TicketNumber rollout, const RouteName &route)
{
    if (RouteOutcomes *outcomes = entry(rollout, route))
        ++outcomes->guardStops;
}

bool OutcomeAggregator::addChildBatch(const ChildId &child, const OutcomeBatch &batch)
{
    const auto known = m_children.find(child.node);
    const std::pair stamp(child.incarnation, batch.sequence);
    if (known != m_children.end() && stamp <= known->second)
        return false;
    if (known == m_children.end() && m_children.size() >= windowChildLimit) {
        ++m_dropped;
        return false;
    }
    m_children[child.node] = stamp;
    for (const RouteOutcomes &route : batch.routes) {
        if (RouteOutcomes *outcomes = entry(route.rollout, route.route))
            addOutcomes(*outcomes, route);
    }
    return true;
}

std::optional<OutcomeBatch> OutcomeAggregator::batch()
{
    if (m_unacknowledged || m_pending.empty())
        return m_unacknowledged;
    m_lastSequence = SequenceNumber(m_lastSequence.value() + 1);
    OutcomeBatch next{m_lastSequence, {}};
    while (!m_pending.empty() && next.routes.size() < batchRouteLimit)
        next.routes.push_back(std::move(m_pending.extract(m_pending.begin()).mapped()));
    m_unacknowledged = std::move(next);
    return m_unacknowledged;
}

void OutcomeAggregator::acknowledge(SequenceNumber sequence)
{
    if (m_unacknowledged && m_unacknowledged->sequence <= sequence)
        m_unacknowledged.reset();
}

void OutcomeAggregator::onParentChanged()
{
    m_unacknowledged.reset();
}

std::vector<RouteOutcomes> OutcomeAggregator::takeTotals()
{
    std::vector<RouteOutcomes> sums;
    for (auto &[key, outcomes] : m_pending)
        sums.push_back(std::move(outcomes));
    m_pending.clear();
    return sums;
}

void OutcomeAggregator::keepOnly(const std::function<bool(TicketNumber)> &isKept)
{
    std::erase_if(m_pending, [&isKept](const auto &item) { return !isKept(item.first.first); });
}

bool OutcomeAggregator::isCold(const AttemptReport &report, MonotonicTime now)
{
    const TargetId &target = report.target;
    if (!m_targets.contains(target) && m_targets.size() >= trackedTargetLimit) {
        const auto older = [](const auto &left, const auto &right) {
            return left.second.firstSeen < right.second.firstSeen;
        };
        m_targets.erase(std::min_element(m_targets.begin(), m_targets.end(), older));
    }
    ColdStart &start = m_targets.try_emplace(target, ColdStart{report.servingSince.value_or(now), 0}).first->second;
    const bool cold = now - start.firstSeen < coldStartTime && start.answers < coldStartAnswers;
    if (cold)
        ++start.answers;
    return cold;
}

RouteOutcomes *OutcomeAggregator::entry(TicketNumber rollout, const RouteName &route)
{
    const auto found = m_pending.find({rollout, route});
    if (found != m_pending.end())
        return &found->second;
    if (m_pending.size() >= windowRouteLimit) {
        ++m_dropped;
        return nullptr;
    }
    RouteOutcomes &outcomes = m_pending[{rollout, route}];
    outcomes.rollout = rollout;
    outcomes.route = route;
    return &outcomes;
}

} // namespace dandeliondock
