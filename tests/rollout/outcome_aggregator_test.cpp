#include <dandeliondock/rollout/outcome_aggregator.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

namespace dandeliondock {
namespace {

constexpr TicketNumber rollout{7};

AttemptReport reportOf(AttemptResult result, int status = 200)
{
    AttemptReport report;
    report.route = RouteName("orders");
    report.target = TargetId("new1");
    report.newVersion = true;
    report.outcome.result = result;
    report.outcome.status = status;
    report.outcome.latency = Microseconds{3'000};
    return report;
}

void warm(OutcomeAggregator &window)
{
    window.record(rollout, reportOf(AttemptResult::Responded), MonotonicTime(Seconds{0}));
}

OutcomeBatch batchOf(std::uint64_t sequence)
{
    RouteOutcomes outcomes{rollout, RouteName("orders"), {}, {}, 0};
    outcomes.newVersion.requests = 1;
    return {SequenceNumber(sequence), {outcomes}};
}

} // namespace

// Guards against a cold start being taken for a fault of the new version.
TEST_CASE("a cold start is no evidence", "[rollout]")
{
    OutcomeAggregator window;
    for (std::uint32_t count = 0; count < coldStartAnswers; ++count)
        CHECK_FALSE(window.record(rollout, reportOf(AttemptResult::TimedOut), MonotonicTime(Seconds{1})));
    CHECK(window.takeTotals().empty());
    CHECK(window.record(rollout, reportOf(AttemptResult::Responded), MonotonicTime(Seconds{1})));
    OutcomeAggregator byAge;
    warm(byAge);
    CHECK(byAge.record(rollout, reportOf(AttemptResult::Responded), MonotonicTime(coldStartTime)));
    // Guards against a target that has served for long but is new to this node's callers being taken for cold.
    OutcomeAggregator warm;
    AttemptReport report = reportOf(AttemptResult::Responded);
    report.servingSince = MonotonicTime(Seconds{10});
    CHECK(warm.record(rollout, report, MonotonicTime(Seconds{10}) + coldStartTime));
}

// Guards against an overloaded or unreachable target being taken for a faulty version.
TEST_CASE("sheds and attempts that were not sent are no failures of the version", "[rollout]")
{
    CHECK(classifyOutcome({AttemptResult::Shed, 503, {}, {}, false}) == Evidence::None);
    CHECK(classifyOutcome({AttemptResult::NotSent, 0, {}, {}, false}) == Evidence::None);
    CHECK(classifyOutcome({AttemptResult::Responded, 404, {}, {}, false}) == Evidence::Success);
    CHECK(classifyOutcome({AttemptResult::Responded, 500, {}, {}, false}) == Evidence::Failure);
    CHECK(classifyOutcome({AttemptResult::TimedOut, 0, {}, {}, false}) == Evidence::Failure);
    CHECK(classifyOutcome({AttemptResult::MayHaveRun, 0, {}, {}, false}) == Evidence::Failure);
}

// Guards against evidence that is counted twice when an acknowledgement is lost, or lost when a batch is repeated.
TEST_CASE("an outcome reaches the parent exactly once", "[rollout]")
{
    rc::prop("whatever acknowledgements are lost", [](const std::vector<bool> &acknowledged) {
        OutcomeAggregator child;
        OutcomeAggregator parent;
        warm(child);
        std::uint64_t sent = 0;
        std::uint64_t taken = 0;
        const auto exchange = [&](bool acknowledges) {
            const auto batch = child.batch();
            if (!batch)
                return;
            parent.addChildBatch({NodeId("c"), Incarnation(1)}, *batch);
            for (const RouteOutcomes &sum : parent.takeTotals())
                taken += sum.newVersion.requests;
            if (acknowledges)
                child.acknowledge(batch->sequence);
        };
        for (const bool acknowledges : acknowledged) {
            sent += child.record(rollout, reportOf(AttemptResult::Responded), MonotonicTime(Seconds{9})) ? 1 : 0;
            exchange(acknowledges);
            RC_ASSERT(taken <= sent);
        }
        exchange(true);
        exchange(true);
        RC_ASSERT(taken == sent);
    });
}

// Guards against a late batch of a child's earlier process or a repeated one being added again.
TEST_CASE("a child's batch is taken once by incarnation and sequence", "[rollout]")
{
    OutcomeAggregator window;
    const NodeId child("c");
    CHECK(window.addChildBatch({child, Incarnation(2)}, batchOf(1)));
    CHECK_FALSE(window.addChildBatch({child, Incarnation(2)}, batchOf(1)));
    CHECK_FALSE(window.addChildBatch({child, Incarnation(1)}, batchOf(9)));
    CHECK(window.addChildBatch({child, Incarnation(3)}, batchOf(1)));
    CHECK(window.takeTotals().front().newVersion.requests == 2);
}

// Guards against evidence that the former parent passed on being counted again below a new parent.
TEST_CASE("an unacknowledged batch is dropped when the parent changes", "[rollout]")
{
    OutcomeAggregator window;
    window.addChildBatch({NodeId("c"), Incarnation(1)}, batchOf(1));
    REQUIRE(window.batch().has_value());
    window.onParentChanged();
    CHECK_FALSE(window.batch().has_value());
}

// Guards against unbounded memory and batches above the limit of control traffic.
TEST_CASE("routes, batches and children are bounded", "[rollout]")
{
    OutcomeAggregator window;
    for (std::uint64_t number = 0; number < 2 * windowRouteLimit; ++number) {
        OutcomeBatch batch = batchOf(number + 1);
        batch.routes.front().route = RouteName(std::to_string(number));
        window.addChildBatch({NodeId("c"), Incarnation(1)}, batch);
    }
    CHECK(window.dropped() == windowRouteLimit);
    CHECK(window.batch()->routes.size() == batchRouteLimit);
    CHECK(window.takeTotals().size() == windowRouteLimit - batchRouteLimit);
}

} // namespace dandeliondock
