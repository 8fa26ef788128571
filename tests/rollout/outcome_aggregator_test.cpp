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

void startColdStart(OutcomeAggregator &aggregator)
{
    aggregator.record(rollout, reportOf(AttemptResult::Responded), MonotonicTime(Seconds{0}));
}

OutcomeBatch batchOf(std::uint64_t sequence)
{
    RouteOutcomes outcomes{rollout, RouteName("orders"), {}, {}, 0};
    outcomes.newVersion.requests = 1;
    return {SequenceNumber(sequence), {outcomes}};
}

} // namespace

// Guards against mistaking a cold start for a fault of the new version.
TEST_CASE("outcomes during a cold start are no evidence", "[rollout]")
{
    OutcomeAggregator aggregator;
    for (std::uint32_t count = 0; count < coldStartOutcomes; ++count)
        CHECK_FALSE(aggregator.record(rollout, reportOf(AttemptResult::TimedOut), MonotonicTime(Seconds{1})));
    CHECK(aggregator.takeTotals().empty());
    CHECK(aggregator.record(rollout, reportOf(AttemptResult::Responded), MonotonicTime(Seconds{1})));
    OutcomeAggregator byAge;
    startColdStart(byAge);
    CHECK(byAge.record(rollout, reportOf(AttemptResult::Responded), MonotonicTime(coldStartTime)));
    // Guards against treating a target as cold that has served for a long time but is new to this node's callers.
    OutcomeAggregator alreadyServing;
    AttemptReport report = reportOf(AttemptResult::Responded);
    report.servingSince = MonotonicTime(Seconds{10});
    CHECK(alreadyServing.record(rollout, report, MonotonicTime(Seconds{10}) + coldStartTime));
}

// Guards against mistaking an overloaded or unreachable target for a faulty version.
TEST_CASE("shed attempts and attempts that were not sent are no failures of the version", "[rollout]")
{
    CHECK(classifyOutcome({AttemptResult::Shed, 503, {}, {}, false}) == Evidence::None);
    CHECK(classifyOutcome({AttemptResult::NotSent, 0, {}, {}, false}) == Evidence::None);
    CHECK(classifyOutcome({AttemptResult::Responded, 404, {}, {}, false}) == Evidence::Success);
    CHECK(classifyOutcome({AttemptResult::Responded, 500, {}, {}, false}) == Evidence::Failure);
    CHECK(classifyOutcome({AttemptResult::TimedOut, 0, {}, {}, false}) == Evidence::Failure);
    CHECK(classifyOutcome({AttemptResult::MayHaveRun, 0, {}, {}, false}) == Evidence::Failure);
}

// Guards against evidence that is counted twice when an acknowledgement is lost, or lost when a batch is sent again.
TEST_CASE("an outcome reaches the parent exactly once", "[rollout]")
{
    rc::prop("for any lost acknowledgements", [](const std::vector<bool> &acknowledged) {
        OutcomeAggregator child;
        OutcomeAggregator parent;
        startColdStart(child);
        std::uint64_t sent = 0;
        std::uint64_t counted = 0;
        const auto sendBatch = [&](bool acknowledges) {
            const auto batch = child.batch();
            if (!batch)
                return;
            parent.addChildBatch({NodeId("c"), Incarnation(1)}, *batch);
            for (const RouteOutcomes &sum : parent.takeTotals())
                counted += sum.newVersion.requests;
            if (acknowledges)
                child.acknowledge(batch->sequence);
        };
        for (const bool acknowledges : acknowledged) {
            sent += child.record(rollout, reportOf(AttemptResult::Responded), MonotonicTime(Seconds{9})) ? 1 : 0;
            sendBatch(acknowledges);
            RC_ASSERT(counted <= sent);
        }
        sendBatch(true);
        sendBatch(true);
        RC_ASSERT(counted == sent);
    });
}

// Guards against adding a repeated batch, or a late batch of a child's earlier process.
TEST_CASE("a child's batch is added once, by incarnation and sequence", "[rollout]")
{
    OutcomeAggregator aggregator;
    const NodeId child("c");
    CHECK(aggregator.addChildBatch({child, Incarnation(2)}, batchOf(1)));
    CHECK_FALSE(aggregator.addChildBatch({child, Incarnation(2)}, batchOf(1)));
    CHECK_FALSE(aggregator.addChildBatch({child, Incarnation(1)}, batchOf(9)));
    CHECK(aggregator.addChildBatch({child, Incarnation(3)}, batchOf(1)));
    CHECK(aggregator.takeTotals().front().newVersion.requests == 2);
}

// Guards against counting evidence again under a new parent when the former parent has already counted it.
TEST_CASE("an unacknowledged batch is dropped when the parent changes", "[rollout]")
{
    OutcomeAggregator aggregator;
    aggregator.addChildBatch({NodeId("c"), Incarnation(1)}, batchOf(1));
    REQUIRE(aggregator.batch().has_value());
    aggregator.onParentChanged();
    CHECK_FALSE(aggregator.batch().has_value());
}

// Guards against unbounded memory use and batches that exceed the limit of control traffic.
TEST_CASE("routes and batches are bounded", "[rollout]")
{
    OutcomeAggregator aggregator;
    for (std::uint64_t number = 0; number < 2 * aggregatorRouteLimit; ++number) {
        OutcomeBatch batch = batchOf(number + 1);
        batch.routes.front().route = RouteName(std::to_string(number));
        aggregator.addChildBatch({NodeId("c"), Incarnation(1)}, batch);
    }
    CHECK(aggregator.dropped() == aggregatorRouteLimit);
    CHECK(aggregator.batch()->routes.size() == batchRouteLimit);
    CHECK(aggregator.takeTotals().size() == aggregatorRouteLimit - batchRouteLimit);
}

} // namespace dandeliondock
