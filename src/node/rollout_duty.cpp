#include <dandeliondock/node/rollout_duty.h>

#include <dandeliondock/core/bounded_ring.h>
#include <dandeliondock/rollout/local_guard.h>
#include <dandeliondock/rollout/rollout_table.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <variant>

namespace dandeliondock {

namespace {

constexpr std::size_t controlEventCapacity = 1'024;

struct ChildBatch
{
    ChildId child;
    OutcomeBatch batch;
};

struct ParentChange
{
};

using ControlEvent = std::variant<RolloutRecord, ChildBatch, SequenceNumber, ParentChange>;
using SplitMap = std::map<ServiceName, VersionSplit>;

template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

const char *stepName(DriverStep step)
{
    switch (step) {
    case DriverStep::Hold:
        return "hold";
    case DriverStep::Advance:
        return "advance";
    case DriverStep::Complete:
        return "complete";
    case DriverStep::RollBack:
        return "roll_back";
    }
    return "unknown";
}

} // namespace

/// \brief The latest rolled-back rollout of each service.
using RollbackMap = std::map<ServiceName, TicketNumber>;

struct RolloutDuty::Impl
{
    Impl(RolloutHooks givenHooks, MetricsRegistry &givenMetrics, std::size_t reportCapacity, Milliseconds givenInterval)
        : hooks(std::move(givenHooks)), metrics(givenMetrics), interval(givenInterval),
          reports(reportCapacity, OverflowPolicy::DropOldest),
          controlEvents(controlEventCapacity, OverflowPolicy::Reject), splits(std::make_shared<const SplitMap>()),
          rollbacks(std::make_shared<const RollbackMap>())
    {
    }

    RolloutHooks hooks;
    MetricsRegistry &metrics;
    Milliseconds interval;
    BoundedRing<AttemptReport> reports;
    BoundedRing<ControlEvent> controlEvents;
    std::atomic<std::shared_ptr<const SplitMap>> splits;
    std::mutex rollbackWriteMutex;
    /// Read by split(), so that a rollback takes effect before the next tick.
    std::atomic<std::shared_ptr<const RollbackMap>> rollbacks;
    std::thread thread;

    // The members below are used only by the thread.
    ConfigStatePtr config;
    RolloutTable table;
    OutcomeAggregator aggregator;
    LocalGuard guard;
    std::map<TicketNumber, RouteName> stoppedRoutes;
    std::map<TicketNumber, RolloutDriver> drivers;
    std::map<TicketNumber, std::string> lastDecisions;
    ChangeNumber lastPublished;
    std::uint64_t countedDrops = 0;

    void run()
    {
        MonotonicTime nextTick = hooks.time.monotonic();
        while (!reports.closed()) {
            const MonotonicTime now = hooks.time.monotonic();
            if (now >= nextTick) {
                tick(now);
                nextTick = now + interval;
            }
            const std::optional<AttemptReport> report = reports.popFor(nextTick - std::min(now, nextTick));
            if (report)
                handleReport(*report);
        }
    }

    void tick(MonotonicTime now)
    {
        updateConfig();
        handleControlEvents();
        repeatGuardStops();
        processOutcomes(now);
        publishChanges();
        publishSplits();
        countDrops();
    }

    void updateConfig()
    {
        ConfigStatePtr current = hooks.config();
        if (current == config)
            return;
        config = std::move(current);
        table.configure(*config);
        const auto isRunning = [this](TicketNumber ticket) { return rolloutDefinition(ticket) != nullptr; };
        aggregator.retainOnly(isRunning);
        std::erase_if(stoppedRoutes, [&](const auto &entry) {
            if (!isRunning(entry.first))
                guard.forget(entry.first);
            return !isRunning(entry.first);
        });
        std::erase_if(drivers, [&](const auto &entry) { return !isRunning(entry.first); });
        std::erase_if(lastDecisions, [&](const auto &entry) { return !isRunning(entry.first); });
    }

    [[nodiscard]] const RolloutDefinition *rolloutDefinition(TicketNumber ticket) const
    {
        for (const auto &[service, definition] : table.definitions()) {
            if (definition.ticket == ticket)
                return &definition;
        }
        return nullptr;
    }

    void handleControlEvents()
    {
        while (const std::optional<ControlEvent> event = controlEvents.popFor(Microseconds{0})) {
            std::visit(
                    Overloaded{[this](const RolloutRecord &record) { table.merge(record); },
                               [this](const ChildBatch &batch) { aggregator.addChildBatch(batch.child, batch.batch); },
                               [this](SequenceNumber sequence) { aggregator.acknowledge(sequence); },
                               [this](ParentChange) { aggregator.onParentChanged(); }},
                    *event);
        }
    }

    void handleReport(const AttemptReport &report)
    {
        const auto found = table.definitions().find(report.service);
        if (found == table.definitions().end())
            return;
        const RolloutDefinition &rollout = found->second;
        if (report.version != (report.newVersion ? rollout.newVersion : rollout.oldVersion))
            return;
        const MonotonicTime now = hooks.time.monotonic();
        const bool isEvidence = aggregator.record(rollout.ticket, report, now);
        metrics.counter("dandeliondock_rollout_outcomes_total", isEvidence ? "evidence" : "no_evidence").add();
        if (!isEvidence)
            return;
        const bool failed = classifyOutcome(report.outcome) == Evidence::Failure;
        if (const auto request = guard.record(rollout.ticket, report.route, report.newVersion, failed, now))
            stopLocalShare(rollout, *request);
    }

    void stopLocalShare(const RolloutDefinition &rollout, const RollbackRequest &request)
    {
        const std::optional<RolloutRecord> current = table.record(rollout.service, rollout.ticket);
        if (!current || current->state != RolloutState::Running)
            return;
        table.stopLocally(rollout.ticket);
        stoppedRoutes.emplace(rollout.ticket, request.route);
        publishSplits();
        metrics.counter("dandeliondock_rollout_guard_stops_total").add();
        LogEvent(LogLevel::Warn, "rollout.share_stopped")
                .field("ticket", rollout.ticket)
                .field("service", rollout.service)
                .field("reason", request.reason)
                .write(hooks.log);
    }

    void repeatGuardStops()
    {
        for (const auto &[ticket, route] : stoppedRoutes) {
            const RolloutDefinition &definition = *rolloutDefinition(ticket);
            const std::optional<RolloutRecord> current = table.record(definition.service, ticket);
            if (current && current->state == RolloutState::Running)
                aggregator.recordGuardStop(ticket, route);
        }
    }

    void processOutcomes(MonotonicTime now)
    {
        const std::optional<FencingToken> lease = hooks.lease();
        bool hasDriver = false;
        for (const auto &[service, definition] : table.definitions())
            hasDriver = prepareDriver(definition, lease) || hasDriver;
        if (!hasDriver && !lease) {
            if (const std::optional<OutcomeBatch> batch = aggregator.batch())
                hooks.sendBatch(*batch);
            return;
        }
        for (const RouteOutcomes &outcomes : aggregator.takeTotals()) {
            const auto driver = drivers.find(outcomes.rollout);
            if (driver != drivers.end())
                driver->second.recordOutcomes(outcomes);
        }
        for (auto &[ticket, driver] : drivers)
            runDriver(driver, lease, now);
    }

    // A driver is kept without its lease while the store is unavailable, so that it can still roll back through the
    // relayed records.
    bool prepareDriver(const RolloutDefinition &definition, std::optional<FencingToken> lease)
    {
        if (lease) {
            drivers.try_emplace(definition.ticket, definition);
            return true;
        }
        if (drivers.contains(definition.ticket) && !hooks.row(definition.ticket).storeAvailable)
            return true;
        drivers.erase(definition.ticket);
        return false;
    }

    void runDriver(RolloutDriver &driver, std::optional<FencingToken> lease, MonotonicTime now)
    {
        const RolloutDefinition &definition = driver.definition();
        DriverInput input;
        input.now = now;
        input.wallNow = hooks.time.wall();
        input.leaseFence = lease;
        input.storedRow = hooks.row(definition.ticket);
        input.mergedRecord = table.record(definition.service, definition.ticket);
        input.newTargetCount = hooks.servingCount(definition.service, definition.newVersion);
        if (input.storedRow.row)
            table.merge(input.storedRow.row->record);
        const DriverDecision decision = driver.decide(input);
        if (decision.publishFirst)
            table.merge(decision.record);
        if (decision.write)
            hooks.requestWrite(*decision.write, input.storedRow.row);
        logDecision(definition, decision);
    }

    void logDecision(const RolloutDefinition &definition, const DriverDecision &decision)
    {
        const std::string text =
                absl::StrCat(stepName(decision.step), " ", decision.record.stage.value(), " ", decision.notice);
        std::string &last = lastDecisions[definition.ticket];
        if (text == last)
            return;
        last = text;
        metrics.counter("dandeliondock_rollout_steps_total", stepName(decision.step)).add();
        const bool isBad = decision.step == DriverStep::RollBack;
        LogEvent(isBad ? LogLevel::Warn : LogLevel::Info, absl::StrCat("rollout.", stepName(decision.step)))
                .field("ticket", definition.ticket)
                .field("service", definition.service)
                .field("stage", decision.record.stage)
                .field("notice", decision.notice)
                .write(hooks.log);
    }

    void publishChanges()
    {
        const std::vector<RolloutRecord> changes = table.changesSince(lastPublished);
        lastPublished = table.lastChange();
        if (!changes.empty())
            hooks.publish(changes);
    }

    void publishSplits()
    {
        auto next = std::make_shared<SplitMap>();
        for (const auto &[name, definition] : table.definitions()) {
            const Service *service = config->service(name);
            if (service == nullptr)
                continue;
            if (const auto split = table.split(*service, hooks.servingCount(name, definition.newVersion)))
                next->emplace(name, *split);
        }
        splits.store(std::move(next));
    }

    void countDrops()
    {
        const std::uint64_t drops = reports.dropped() + aggregator.dropped();
        metrics.counter("dandeliondock_rollout_dropped_total").add(drops - countedDrops);
        countedDrops = drops;
    }

    // A rollback takes effect here and not at the thread's next tick, because a node that resumes after a pause routes
    // requests as soon as its parent has responded, which may be before that tick.
    void recordRollback(const RolloutRecord &record)
    {
        const std::scoped_lock lock(rollbackWriteMutex);
        auto next = std::make_shared<RollbackMap>(*rollbacks.load());
        TicketNumber &latest = (*next)[record.service];
        latest = std::max(latest, record.ticket);
        rollbacks.store(std::move(next));
    }

    [[nodiscard]] bool isRolledBack(const ServiceName &service, TicketNumber rollout) const
    {
        const std::shared_ptr<const RollbackMap> current = rollbacks.load();
        const auto found = current->find(service);
        return found != current->end() && found->second == rollout;
    }

    [[nodiscard]] bool pushControlEvent(ControlEvent event)
    {
        return controlEvents.push(std::move(event)) == PushResult::Pushed;
    }
};

RolloutDuty::RolloutDuty(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

RolloutDuty::~RolloutDuty()
{
    stop();
}

void RolloutDuty::report(AttemptReport report)
{
    m_impl->reports.push(std::move(report));
}

bool RolloutDuty::merge(RolloutRecord record)
{
    if (record.state == RolloutState::RolledBack)
        m_impl->recordRollback(record);
    return m_impl->pushControlEvent(std::move(record));
}

bool RolloutDuty::addChildBatch(ChildId child, OutcomeBatch batch)
{
    return m_impl->pushControlEvent(ChildBatch{std::move(child), std::move(batch)});
}

bool RolloutDuty::acknowledge(SequenceNumber sequence)
{
    return m_impl->pushControlEvent(sequence);
}

bool RolloutDuty::onParentChanged()
{
    return m_impl->pushControlEvent(ParentChange{});
}

std::optional<VersionSplit> RolloutDuty::split(const Service &service) const
{
    if (!service.previousVersion)
        return std::nullopt;
    const std::shared_ptr<const SplitMap> splits = m_impl->splits.load();
    const auto found = splits->find(service.name);
    const bool isCurrent = found != splits->end() && found->second.newVersion == service.version;
    if (isCurrent && !m_impl->isRolledBack(service.name, found->second.rollout))
        return found->second;
    return VersionSplit{TicketNumber{}, *service.previousVersion, service.version, noShare, noShare};
}

void RolloutDuty::stop()
{
    m_impl->reports.close();
    m_impl->controlEvents.close();
    if (m_impl->thread.joinable())
        m_impl->thread.join();
}

RolloutDutyBuilder &RolloutDutyBuilder::hooks(RolloutHooks hooks)
{
    m_hooks = std::move(hooks);
    return *this;
}

RolloutDutyBuilder &RolloutDutyBuilder::metrics(MetricsRegistry &metrics)
{
    m_metrics = &metrics;
    return *this;
}

RolloutDutyBuilder &RolloutDutyBuilder::reportCapacity(std::size_t capacity)
{
    m_reportCapacity = capacity;
    return *this;
}

RolloutDutyBuilder &RolloutDutyBuilder::interval(Milliseconds interval)
{
    m_interval = interval;
    return *this;
}

std::unique_ptr<RolloutDuty> RolloutDutyBuilder::start()
{
    auto impl = std::make_unique<RolloutDuty::Impl>(std::move(m_hooks), *m_metrics, m_reportCapacity, m_interval);
    RolloutDuty::Impl *self = impl.get();
    std::unique_ptr<RolloutDuty> duty(new RolloutDuty(std::move(impl)));
    self->thread = std::thread([self] { self->run(); });
    return duty;
}

} // namespace dandeliondock
