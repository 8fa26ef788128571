#include <dandeliondock/rollout/outcome_aggregator.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr int firstServerErrorStatus = 500;

} // namespace

Evidence classifyOutcome(const AttemptOutcome &outcome) noexcept
{
    switch (outcome.result) {
    case AttemptResult::Responded:
        return outcome.status >= firstServerErrorStatus ? Evidence::Failure : Evidence::Success;
    case AttemptResult::MayHaveRun:
    case AttemptResult::TimedOut:
        return Evidence::Failure;
    case AttemptResult::Cancelled: // its latency is at least the elapsed time
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
    if (evidence == Evidence::None || isInColdStart(report, now))
        return false;
    RouteOutcomes *outcomes = findOrAddEntry(rollout, report.route);
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

void OutcomeAggregator::recordGuardStop(TicketNumber rollout, const RouteName &route)
{
    if (RouteOutcomes *outcomes = findOrAddEntry(rollout, route))
        ++outcomes->guardStops;
}

bool OutcomeAggregator::addChildBatch(const ChildId &child, const OutcomeBatch &batch)
{
    const auto known = m_children.find(child.node);
    const std::pair stamp(child.incarnation, batch.sequence);
    if (known != m_children.end() && stamp <= known->second)
        return false;
    if (known == m_children.end() && m_children.size() >= aggregatorChildLimit) {
        ++m_dropped;
        return false;
    }
    m_children[child.node] = stamp;
    for (const RouteOutcomes &route : batch.routes) {
        if (RouteOutcomes *outcomes = findOrAddEntry(route.rollout, route.route))
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
    std::vector<RouteOutcomes> totals;
    for (auto &[key, outcomes] : m_pending)
        totals.push_back(std::move(outcomes));
    m_pending.clear();
    return totals;
}

void OutcomeAggregator::retainOnly(const std::function<bool(TicketNumber)> &isKept)
{
    std::erase_if(m_pending, [&isKept](const auto &item) { return !isKept(item.first.first); });
}

bool OutcomeAggregator::isInColdStart(const AttemptReport &report, MonotonicTime now)
{
    const TargetId &target = report.target;
    if (!m_coldStarts.contains(target) && m_coldStarts.size() >= trackedTargetLimit) {
        const auto startedEarlier = [](const auto &left, const auto &right) {
            return left.second.startedAt < right.second.startedAt;
        };
        m_coldStarts.erase(std::min_element(m_coldStarts.begin(), m_coldStarts.end(), startedEarlier));
    }
    ColdStart &coldStart =
            m_coldStarts.try_emplace(target, ColdStart{report.servingSince.value_or(now), 0}).first->second;
    const bool isCold = now - coldStart.startedAt < coldStartTime && coldStart.outcomes < coldStartOutcomes;
    if (isCold)
        ++coldStart.outcomes;
    return isCold;
}

RouteOutcomes *OutcomeAggregator::findOrAddEntry(TicketNumber rollout, const RouteName &route)
{
    const auto found = m_pending.find({rollout, route});
    if (found != m_pending.end())
        return &found->second;
    if (m_pending.size() >= aggregatorRouteLimit) {
        ++m_dropped;
        return nullptr;
    }
    RouteOutcomes &outcomes = m_pending[{rollout, route}];
    outcomes.rollout = rollout;
    outcomes.route = route;
    return &outcomes;
}

} // namespace dandeliondock
