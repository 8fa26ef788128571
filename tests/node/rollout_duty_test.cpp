#include <dandeliondock/node/rollout_duty.h>
#include <dandeliondock/rollout/local_guard.h>

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>

namespace dandeliondock {
namespace {

constexpr TicketNumber ticket{7};
const ServiceName ledgerName("ledger");

Service ledger()
{
    Service service;
    service.name = ledgerName;
    service.version = VersionName("v2");
    service.previousVersion = VersionName("v1");
    service.rollout = RolloutPlan{systemTime().wall() + Seconds{600}, {Share(5'000), fullShare}, Milliseconds{30'000}};
    return service;
}

ConfigStatePtr ledgerState()
{
    Ticket filed;
    filed.number = ticket;
    filed.author = AuthorName("ada");
    filed.resources = {ledger(), Version{ledgerName, VersionName("v1")}, Version{ledgerName, VersionName("v2")}};
    return std::make_shared<const ConfigState>(ConfigState().apply({RevisionNumber(1), filed, WallTime{}}).value());
}

/// \brief Fake of the node around the duty: a stored row, a lease, and what the duty sent last.
class FakeNode
{
public:
    explicit FakeNode(bool holdsLease) : m_holdsLease(holdsLease) {}

    RolloutHooks hooks()
    {
        RolloutHooks hooks;
        hooks.config = [state = ledgerState()] { return state; };
        hooks.servingCount = [](const ServiceName &, const VersionName &) { return 6U; };
        hooks.lease = [this] { return lease(); };
        hooks.row = [this](TicketNumber) { return storedRow(); };
        hooks.requestWrite = [this](const RolloutRow &next, const std::optional<RolloutRow> &expected) {
            write(next, expected);
        };
        hooks.sendBatch = [this](const OutcomeBatch &sent) { change([&] { batch = sent; }); };
        hooks.publish = [this](const std::vector<RolloutRecord> &records) {
            change([&] { published = records.back(); });
        };
        hooks.time = systemTime();
        return hooks;
    }

    void setStoreUnavailable()
    {
        change([this] { m_storeUnavailable = true; });
    }

    template <typename Condition>
    bool waitFor(Condition condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, Seconds{10}, condition);
    }

    std::optional<RolloutRow> row;
    std::optional<OutcomeBatch> batch;
    std::optional<RolloutRecord> published;

private:
    template <typename Change>
    void change(Change apply)
    {
        {
            const std::scoped_lock lock(m_mutex);
            apply();
        }
        m_changed.notify_all();
    }

    std::optional<FencingToken> lease()
    {
        const std::scoped_lock lock(m_mutex);
        return m_holdsLease && !m_storeUnavailable ? std::optional(FencingToken(1)) : std::nullopt;
    }

    StoredRow storedRow()
    {
        const std::scoped_lock lock(m_mutex);
        return m_storeUnavailable ? StoredRow{} : StoredRow{true, row};
    }

    void write(const RolloutRow &next, const std::optional<RolloutRow> &expected)
    {
        change([&] {
            if (row == expected)
                row = next;
        });
    }

    bool m_holdsLease;
    bool m_storeUnavailable = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
};

std::unique_ptr<RolloutDuty> startDuty(FakeNode &node, MetricsRegistry &metrics)
{
    return RolloutDutyBuilder().hooks(node.hooks()).metrics(metrics).interval(Milliseconds{20}).start();
}

RolloutRecord runningRecord()
{
    return {ticket, ledgerName, StageIndex(0), RolloutState::Running, {}};
}

void reportResponses(RolloutDuty &duty, bool newVersion, int status, int count)
{
    AttemptReport report;
    report.route = RouteName("orders");
    report.service = ledgerName;
    report.target = TargetId(newVersion ? "new" : "old");
    report.version = VersionName(newVersion ? "v2" : "v1");
    report.newVersion = newVersion;
    report.outcome.status = status;
    for (int index = 0; index < count; ++index)
        duty.report(report);
}

/// \brief Reports enough responses to end the cold start of both targets, then failures of the new version only.
void reportFailure(RolloutDuty &duty)
{
    reportResponses(duty, false, 200, static_cast<int>(coldStartOutcomes));
    reportResponses(duty, true, 200, static_cast<int>(coldStartOutcomes));
    reportResponses(duty, true, 500, static_cast<int>(minGuardFailures));
    reportResponses(duty, false, 200, 5 * static_cast<int>(minGuardOldOutcomes));
}

} // namespace

// Guards against a node that sends traffic to the new version before the driver's first stage.
TEST_CASE("the old version gets all traffic until a record arrives", "[node]")
{
    FakeNode node(false);
    MetricsRegistry metrics;
    const auto duty = startDuty(node, metrics);
    REQUIRE(duty->split(ledger()).has_value());
    CHECK(duty->split(ledger())->newShare == noShare);
    REQUIRE(duty->merge(runningRecord()));
    REQUIRE(node.waitFor([&] { return node.published.has_value(); }));
    duty->stop();
    CHECK(duty->split(ledger())->newShare == Share(5'000));
}

// Guards against a clearly failing version that keeps its share at the node, or whose failure is not sent to the
// parent.
TEST_CASE("a clear failure ends the version's share at the node and is sent to the parent", "[node]")
{
    FakeNode node(false);
    MetricsRegistry metrics;
    const auto duty = startDuty(node, metrics);
    REQUIRE(duty->merge(runningRecord()));
    REQUIRE(node.waitFor([&] { return node.published.has_value(); }));
    reportFailure(*duty);
    const auto hasStop = [&] {
        if (!node.batch)
            return false;
        static_cast<void>(duty->acknowledge(node.batch->sequence));
        return node.batch->routes.front().guardStops > 0;
    };
    CHECK(node.waitFor(hasStop));
    CHECK(duty->split(ledger())->newShare == noShare);
    CHECK(metrics.counter("dandeliondock_rollout_guard_stops_total").value() == 1);
}

// Guards against a failing version that keeps its share because the store is unavailable.
TEST_CASE("a driver without the store rolls back through the relayed records", "[node]")
{
    FakeNode node(true);
    MetricsRegistry metrics;
    const auto duty = startDuty(node, metrics);
    REQUIRE(node.waitFor([&] { return node.row.has_value() && node.published.has_value(); }));
    node.setStoreUnavailable();
    reportFailure(*duty);
    CHECK(node.waitFor([&] { return node.published->state == RolloutState::RolledBack; }));
    duty->stop();
    CHECK(duty->split(ledger())->newShare == noShare);
    CHECK(node.row->record.state == RolloutState::Running);
}

} // namespace dandeliondock
