#include "standins/rollout_simulation.h"

#include <algorithm>
#include <array>

namespace dandeliondock::standins {

namespace {

constexpr std::uint64_t million = 1'000'000;
constexpr std::uint64_t baseFailuresPerMillion = 2'000;
constexpr std::uint64_t faultFailuresPerMillion = 500'000;
constexpr std::uint64_t sharedFaultFailuresPerMillion = 600'000;
constexpr int laterFaultOnsetSeconds = 120;
constexpr SimulationSpan sharedFaultSpan{60, 90};
constexpr int slowLatencyFactor = 4;
constexpr int maxSecondsAfterDeadline = 60;
constexpr int secondsAfterResult = 5;
// A version that fails under load fails while its requests, if all went to one target, would load that target with at
// least this percentage of its load at the full share.
constexpr int overloadPercent = 90;
constexpr TicketNumber ticketNumber{7};

const std::array<RouteName, 2> routes{RouteName("orders"), RouteName("lookups")};

MonotonicTime monotonicAt(int second)
{
    return MonotonicTime(Seconds(second));
}

WallTime wallAt(int second)
{
    return WallTime(Seconds(second));
}

Service serviceUnderTest(const SimulationSettings &settings)
{
    Service service;
    service.name = ServiceName("ledger");
    service.version = VersionName("v2");
    service.previousVersion = VersionName("v1");
    service.rollout = RolloutPlan{wallAt(settings.deadlineSeconds), settings.stageShares, Milliseconds{30'000}};
    return service;
}

ConfigState configUnderTest(const Service &service)
{
    Ticket ticket;
    ticket.number = ticketNumber;
    ticket.author = AuthorName("ada");
    ticket.resources = {service, Version{service.name, VersionName("v1")}, Version{service.name, VersionName("v2")}};
    return ConfigState().apply({RevisionNumber(1), ticket, wallAt(0)}).value();
}

struct SimulatedNode
{
    RolloutTable table;
    OutcomeAggregator aggregator;
    LocalGuard guard;
    std::optional<RouteName> stoppedRoute;
    StageIndex lastStage;
    bool knowsRollback = false;
};

struct RecordDelivery
{
    int second;
    std::size_t node;
    RolloutRecord record;
};

class RolloutSimulation
{
public:
    explicit RolloutSimulation(const SimulationSettings &settings)
        : m_settings(settings), m_random(seededRandom(settings.seed)), m_service(serviceUnderTest(settings)),
          m_driver(rolloutsOf(configUnderTest(m_service)).front(), settings.makeRule()),
          m_nodes(static_cast<std::size_t>(settings.nodes))
    {
        for (SimulatedNode &node : m_nodes)
            node.table.configure(configUnderTest(m_service));
    }

    SimulationResult run()
    {
        const int endSecond = m_settings.deadlineSeconds + maxSecondsAfterDeadline;
        for (int second = 0; second < endSecond; ++second) {
            deliverRecords(second);
            sendRequests(second);
            passOutcomesToRoot();
            if (!m_settings.driverFrozen.contains(second))
                runDriver(second);
            if (m_result.state != RolloutState::Running && second >= m_result.endedAt + secondsAfterResult)
                break;
        }
        return m_result;
    }

private:
    bool drawChance(std::uint64_t perMillion) { return uniformBelow(m_random, million) < perMillion; }

    void deliverRecords(int second)
    {
        for (const RecordDelivery &delivery : m_deliveries) {
            if (delivery.second != second)
                continue;
            SimulatedNode &node = m_nodes[delivery.node];
            node.table.merge(delivery.record);
            checkInvariants(node);
        }
        std::erase_if(m_deliveries, [second](const RecordDelivery &item) { return item.second <= second; });
    }

    void checkInvariants(SimulatedNode &node)
    {
        const auto currentRecord = node.table.record(m_service.name, ticketNumber);
        m_result.stageFell = m_result.stageFell || currentRecord->stage < node.lastStage;
        node.lastStage = currentRecord->stage;
        node.knowsRollback = node.knowsRollback || currentRecord->state == RolloutState::RolledBack;
        const auto split = node.table.split(m_service, m_settings.newTargets);
        m_result.shareAfterRollback = m_result.shareAfterRollback || (node.knowsRollback && split->newShare > noShare);
    }

    void sendRequests(int second)
    {
        for (SimulatedNode &node : m_nodes) {
            const VersionSplit split = *node.table.split(m_service, m_settings.newTargets);
            if (m_result.state == RolloutState::Running)
                m_result.highestShare = std::max(m_result.highestShare, split.newShare.value());
            for (int count = 0; count < m_settings.requestsPerSecond / m_settings.nodes; ++count)
                sendRequest(node, split, second);
        }
    }

    void sendRequest(SimulatedNode &node, const VersionSplit &split, int second)
    {
        const bool isNew = uniformBelow(m_random, fullShare.value()) < split.newShare.value();
        AttemptReport report;
        report.route = routes[uniformBelow(m_random, routes.size())];
        report.newVersion = isNew;
        report.target = drawTarget(isNew, split);
        const bool isFaulty = isNew && isFaultActive(report.route, split, second);
        m_result.newRequests += isNew ? 1 : 0;
        m_result.faultRequests += isFaulty ? 1 : 0;
        const bool failed = drawChance(failuresPerMillion(isFaulty, second));
        report.outcome.status = failed ? 500 : 200;
        report.outcome.latency = drawLatency(isFaulty);
        if (!node.aggregator.record(ticketNumber, report, monotonicAt(second)))
            return;
        const auto rollbackRequest = node.guard.record(ticketNumber, report.route, isNew, failed, monotonicAt(second));
        if (rollbackRequest && m_settings.useGuard) {
            node.table.stopLocally(ticketNumber);
            node.stoppedRoute = rollbackRequest->route;
        }
    }

    TargetId drawTarget(bool isNew, const VersionSplit &split)
    {
        const std::uint64_t targetCount = m_settings.newTargets;
        const std::uint64_t scaledTargetCount = std::uint64_t{split.newTargetShare.value()} * targetCount;
        const std::uint64_t usedTargetCount =
                isNew ? (scaledTargetCount + fullShare.value() - 1) / fullShare.value() : targetCount;
        return TargetId((isNew ? "new" : "old") + std::to_string(uniformBelow(m_random, usedTargetCount)));
    }

    [[nodiscard]] bool isFaultActive(const RouteName &route, const VersionSplit &split, int second) const
    {
        switch (m_settings.kind) {
        case VersionKind::FailsAtOnce:
        case VersionKind::Slow:
            return true;
        case VersionKind::FailsLater:
            return second >= laterFaultOnsetSeconds;
        case VersionKind::FailsUnderLoad:
            return split.newShare.value() * m_settings.newTargets * 100 >= fullShare.value() * overloadPercent;
        case VersionKind::FailsOnOneRoute:
            return route == routes[0];
        case VersionKind::Good:
        case VersionKind::SharedFault:
            return false;
        }
        return false;
    }

    [[nodiscard]] std::uint64_t failuresPerMillion(bool isFaulty, int second) const
    {
        if (m_settings.kind == VersionKind::SharedFault && sharedFaultSpan.contains(second))
            return sharedFaultFailuresPerMillion;
        return isFaulty && m_settings.kind != VersionKind::Slow ? faultFailuresPerMillion : baseFailuresPerMillion;
    }

    Microseconds drawLatency(bool isFaulty)
    {
        const Microseconds ordinary(2'000 + uniformBelow(m_random, 6'000));
        return isFaulty && m_settings.kind == VersionKind::Slow ? ordinary * slowLatencyFactor : ordinary;
    }

    void passOutcomesToRoot()
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (m_nodes[index].stoppedRoute)
                m_nodes[index].aggregator.recordGuardStop(ticketNumber, *m_nodes[index].stoppedRoute);
            const auto batch = m_nodes[index].aggregator.batch();
            if (!batch)
                continue;
            m_rootAggregator.addChildBatch({NodeId(std::to_string(index)), Incarnation(1)}, *batch);
            if (!m_settings.losesMessages || drawChance(million / 2))
                m_nodes[index].aggregator.acknowledge(batch->sequence);
        }
    }

    void runDriver(int second)
    {
        for (const RouteOutcomes &outcomes : m_rootAggregator.takeTotals())
            m_driver.recordOutcomes(outcomes);
        const bool isStoreUnreachable = m_settings.storeUnavailable.contains(second);
        DriverInput input;
        input.now = monotonicAt(second);
        input.wallNow = wallAt(second);
        if (!isStoreUnreachable)
            input.leaseFence = FencingToken(1);
        input.storedRow = {!isStoreUnreachable, isStoreUnreachable ? std::nullopt : m_storedRow};
        input.mergedRecord = m_publishedRecord;
        input.newTargetCount = m_settings.newTargets;
        const DriverDecision decision = m_driver.decide(input);
        if (decision.write)
            m_storedRow = decision.write;
        if (decision.step != DriverStep::Hold)
            publish(decision.record, second);
    }

    void publish(const RolloutRecord &record, int second)
    {
        if (m_result.state == RolloutState::Running && record.state != RolloutState::Running) {
            m_result.state = record.state;
            m_result.endedAt = second;
            m_result.reason = record.reason;
        }
        m_publishedRecord = m_publishedRecord ? mergeRecords(*m_publishedRecord, record) : record;
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            const int delaySeconds = 1 + static_cast<int>(uniformBelow(m_random, m_settings.losesMessages ? 6 : 2));
            m_deliveries.push_back({second + delaySeconds, node, record});
            if (m_settings.losesMessages)
                m_deliveries.push_back({second + 2 * delaySeconds, node, record});
        }
    }

    SimulationSettings m_settings;
    RandomSource m_random;
    Service m_service;
    RolloutDriver m_driver;
    std::vector<SimulatedNode> m_nodes;
    OutcomeAggregator m_rootAggregator;
    std::optional<RolloutRow> m_storedRow;
    std::optional<RolloutRecord> m_publishedRecord;
    std::vector<RecordDelivery> m_deliveries;
    SimulationResult m_result;
};

} // namespace

const char *versionKindName(VersionKind kind)
{
    switch (kind) {
    case VersionKind::Good:
        return "good";
    case VersionKind::FailsAtOnce:
        return "fails-at-once";
    case VersionKind::FailsLater:
        return "fails-later";
    case VersionKind::FailsUnderLoad:
        return "fails-under-load";
    case VersionKind::FailsOnOneRoute:
        return "fails-on-one-route";
    case VersionKind::Slow:
        return "slow";
    case VersionKind::SharedFault:
        return "shared-fault";
    }
    return "unknown";
}

SimulationResult simulateRollout(const SimulationSettings &settings)
{
    return RolloutSimulation(settings).run();
}

} // namespace dandeliondock::standins
