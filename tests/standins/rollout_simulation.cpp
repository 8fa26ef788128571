#include "standins/rollout_simulation.h"

#include <algorithm>
#include <array>

namespace dandeliondock::standins {

namespace {

constexpr std::uint64_t million = 1'000'000;
constexpr std::uint64_t ordinaryFailures = 2'000; // in a million
constexpr std::uint64_t faultyFailures = 500'000; // in a million
constexpr std::uint64_t sharedFailures = 600'000; // in a million
constexpr int laterOnset = 120;                   // seconds
constexpr ModelSpan sharedFault{60, 90};          // seconds
constexpr int slowFactor = 4;
constexpr int secondsAfterDeadline = 60;
constexpr int secondsAfterEnd = 5;
constexpr int overloadPercent = 90; // of the load that one target carries at the end
constexpr TicketNumber ticket{7};

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

ConfigState stateUnderTest(const Service &service)
{
    Ticket filed;
    filed.number = ticket;
    filed.author = AuthorName("ada");
    filed.resources = {service, Version{service.name, VersionName("v1")}, Version{service.name, VersionName("v2")}};
    return ConfigState().apply({RevisionNumber(1), filed, wallAt(0)}).value();
}

struct ModelNode
{
    RolloutTable table;
    OutcomeAggregator window;
    LocalGuard guard;
    std::optional<RouteName> stoppedRoute;
    StageIndex lastStage;
    bool sawRollback = false;
};

struct Delivery
{
    int second;
    std::size_t node;
    RolloutRecord record;
};

class Model
{
public:
    explicit Model(const SimulationSettings &settings)
        : m_settings(settings), m_random(seededRandom(settings.seed)), m_service(serviceUnderTest(settings)),
          m_driver(rolloutsOf(stateUnderTest(m_service)).front(), settings.makeRule()),
          m_nodes(static_cast<std::size_t>(settings.nodes))
    {
        for (ModelNode &node : m_nodes)
            node.table.configure(stateUnderTest(m_service));
    }

    SimulationResult run()
    {
        const int last = m_settings.deadlineSeconds + secondsAfterDeadline;
        for (int second = 0; second < last; ++second) {
            deliver(second);
            carryRequests(second);
            passEvidence();
            if (!m_settings.driverFrozen.contains(second))
                drive(second);
            if (m_result.state != RolloutState::Running && second >= m_result.endedAt + secondsAfterEnd)
                break;
        }
        return m_result;
    }

private:
    bool chance(std::uint64_t inMillion) { return uniformBelow(m_random, million) < inMillion; }

    void deliver(int second)
    {
        for (const Delivery &delivery : m_deliveries) {
            if (delivery.second != second)
                continue;
            ModelNode &node = m_nodes[delivery.node];
            node.table.merge(delivery.record);
            checkNode(node);
        }
        std::erase_if(m_deliveries, [second](const Delivery &item) { return item.second <= second; });
    }

    void checkNode(ModelNode &node)
    {
        const auto held = node.table.record(m_service.name, ticket);
        m_result.stageFell = m_result.stageFell || held->stage < node.lastStage;
        node.lastStage = held->stage;
        node.sawRollback = node.sawRollback || held->state == RolloutState::RolledBack;
        const auto split = node.table.split(m_service, m_settings.newTargets);
        m_result.shareAfterRollback = m_result.shareAfterRollback || (node.sawRollback && split->newShare > noShare);
    }

    void carryRequests(int second)
    {
        for (ModelNode &node : m_nodes) {
            const VersionSplit split = *node.table.split(m_service, m_settings.newTargets);
            if (m_result.state == RolloutState::Running)
                m_result.highestShare = std::max(m_result.highestShare, split.newShare.value());
            for (int count = 0; count < m_settings.requestsPerSecond / m_settings.nodes; ++count)
                carryRequest(node, split, second);
        }
    }

    void carryRequest(ModelNode &node, const VersionSplit &split, int second)
    {
        const bool isNew = uniformBelow(m_random, fullShare.value()) < split.newShare.value();
        AttemptReport report;
        report.route = routes[uniformBelow(m_random, routes.size())];
        report.newVersion = isNew;
        report.target = targetOf(isNew, split);
        const bool isFaulty = isNew && faultShows(report.route, split, second);
        m_result.newRequests += isNew ? 1 : 0;
        m_result.faultRequests += isFaulty ? 1 : 0;
        const bool failed = chance(failuresOf(isFaulty, second));
        report.outcome.status = failed ? 500 : 200;
        report.outcome.latency = latencyOf(isFaulty);
        if (!node.window.record(ticket, report, monotonicAt(second)))
            return;
        const auto guardStop = node.guard.record(ticket, report.route, isNew, failed, monotonicAt(second));
        if (guardStop && m_settings.useGuard) {
            node.table.stopLocally(ticket);
            node.stoppedRoute = guardStop->route;
        }
    }

    TargetId targetOf(bool isNew, const VersionSplit &split)
    {
        const std::uint64_t all = m_settings.newTargets;
        const std::uint64_t part = std::uint64_t{split.newTargetShare.value()} * all;
        const std::uint64_t carrying = isNew ? (part + fullShare.value() - 1) / fullShare.value() : all;
        return TargetId((isNew ? "new" : "old") + std::to_string(uniformBelow(m_random, carrying)));
    }

    [[nodiscard]] bool faultShows(const RouteName &route, const VersionSplit &split, int second) const
    {
        switch (m_settings.kind) {
        case VersionKind::FailsAtOnce:
        case VersionKind::Slow:
            return true;
        case VersionKind::FailsLater:
            return second >= laterOnset;
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

    [[nodiscard]] std::uint64_t failuresOf(bool isFaulty, int second) const
    {
        if (m_settings.kind == VersionKind::SharedFault && sharedFault.contains(second))
            return sharedFailures;
        return isFaulty && m_settings.kind != VersionKind::Slow ? faultyFailures : ordinaryFailures;
    }

    Microseconds latencyOf(bool isFaulty)
    {
        const Microseconds ordinary(2'000 + uniformBelow(m_random, 6'000));
        return isFaulty && m_settings.kind == VersionKind::Slow ? ordinary * slowFactor : ordinary;
    }

    void passEvidence()
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (m_nodes[index].stoppedRoute)
                m_nodes[index].window.recordGuardStop(ticket, *m_nodes[index].stoppedRoute);
            const auto batch = m_nodes[index].window.batch();
            if (!batch)
                continue;
            m_root.addChildBatch({NodeId(std::to_string(index)), Incarnation(1)}, *batch);
            if (!m_settings.losesMessages || chance(million / 2))
                m_nodes[index].window.acknowledge(batch->sequence);
        }
    }

    void drive(int second)
    {
        for (const RouteOutcomes &outcomes : m_root.takeTotals())
            m_driver.recordOutcomes(outcomes);
        const bool storeUnavailable = m_settings.storeUnavailable.contains(second);
        DriverInput input;
        input.now = monotonicAt(second);
        input.wallNow = wallAt(second);
        if (!storeUnavailable)
            input.leaseFence = FencingToken(1);
        input.storedRow = {!storeUnavailable, storeUnavailable ? std::nullopt : m_row};
        input.mergedRecord = m_published;
        input.newTargetCount = m_settings.newTargets;
        const DriverDecision decision = m_driver.decide(input);
        if (decision.write)
            m_row = decision.write;
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
        m_published = m_published ? mergeRecords(*m_published, record) : record;
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            const int delay = 1 + static_cast<int>(uniformBelow(m_random, m_settings.losesMessages ? 6 : 2));
            m_deliveries.push_back({second + delay, node, record});
            if (m_settings.losesMessages)
                m_deliveries.push_back({second + 2 * delay, node, record});
        }
    }

    SimulationSettings m_settings;
    RandomSource m_random;
    Service m_service;
    RolloutDriver m_driver;
    std::vector<ModelNode> m_nodes;
    OutcomeAggregator m_root;
    std::optional<RolloutRow> m_row;
    std::optional<RolloutRecord> m_published;
    std::vector<Delivery> m_deliveries;
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
    return Model(settings).run();
}

} // namespace dandeliondock::standins
