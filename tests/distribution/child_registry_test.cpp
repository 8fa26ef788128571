#include <dandeliondock/distribution/child_registry.h>
#include <dandeliondock/distribution/revision_log.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

constexpr MonotonicTime start{Seconds(100)};

PollRequest pollOf(const std::string &node, std::uint64_t incarnation = 1)
{
    PollRequest request;
    request.deployment = DeploymentName("test");
    request.node = NodeId(node);
    request.incarnation = Incarnation(incarnation);
    request.region = RegionName("east");
    request.controlAddress = Address(node);
    request.acknowledgement = {RevisionNumber(), NodeCount(1)};
    return request;
}

ChildRegistry relayOf(std::size_t fanOut)
{
    ChildRegistry relay(DeploymentName("test"), NodeId("self"), RegionName("east"), fanOut);
    relay.setPath({NodeId("root"), NodeId("self")});
    return relay;
}

} // namespace

// Guards against children that are taken in where they would form a loop, hang without a root or crowd a relay.
TEST_CASE("a poll is refused with its reason", "[distribution]")
{
    ChildRegistry relay = relayOf(1);
    PollRequest foreign = pollOf("n1");
    foreign.deployment = DeploymentName("other");
    CHECK(relay.onPoll(foreign, start).refusal == PollRefusal::WrongDeployment);
    CHECK(relay.onPoll(pollOf("root"), start).refusal == PollRefusal::Loop);
    CHECK(relay.onPoll(pollOf("self"), start).refusal == PollRefusal::Loop);
    CHECK(relay.onPoll(pollOf("n1", 2), start).result == PollResult::Attached);
    CHECK(relay.onPoll(pollOf("n1", 1), start).refusal == PollRefusal::StaleIncarnation);
    const PollDecision full = relay.onPoll(pollOf("n2"), start);
    CHECK(full.result == PollResult::Full);
    CHECK(full.redirects == std::vector<Address>{Address("n1")});
    relay.setPath({});
    CHECK(relay.onPoll(pollOf("n2"), start).refusal == PollRefusal::NoPath);
    CHECK(relay.onPoll(pollOf("n1", 2), start).result == PollResult::Attached);
    relay.setLeaving();
    CHECK(relay.onPoll(pollOf("n1", 2), start).result == PollResult::Leaving);
}

// Guards against children that are dropped while they poll, or kept after they stopped.
TEST_CASE("a child that misses polls for 5 s is lost once", "[distribution]")
{
    ChildRegistry relay = relayOf(8);
    (void)relay.onPoll(pollOf("n1", 3), start);
    CHECK(relay.expire(start + childTimeout - Milliseconds(1)).empty());
    const std::vector<LostChild> lost = relay.expire(start + childTimeout);
    REQUIRE(lost.size() == 1);
    CHECK(lost.front().incarnation == Incarnation(3));
    CHECK(relay.expire(start + childTimeout).empty());
}

// Guards against endpoint changes that were lost on the way and never sent again.
TEST_CASE("a digest that differs after every change was sent is repaired at intervals", "[distribution]")
{
    ChildRegistry relay = relayOf(8);
    LocalState view;
    view.directoryDigest = DirectoryDigest(5);
    view.endpointCursor = ChangeCursor(3);
    PollRequest request = pollOf("n1");
    PollNumber poll = relay.onPoll(request, start).poll;
    PendingUpdate need = relay.pendingUpdateFor(request.node, view, start);
    CHECK(need.fullEndpoints);
    relay.onResponseSent(request.node, poll, view, need, start);
    (void)relay.onPoll(request, start + Milliseconds(100));
    CHECK_FALSE(relay.pendingUpdateFor(request.node, view, start + Milliseconds(100)).any());
    CHECK(relay.pendingUpdateFor(request.node, view, start + directoryResyncInterval).fullEndpoints);
    view.endpointCursor = ChangeCursor(4);
    CHECK(relay.pendingUpdateFor(request.node, view, start).endpointsAfter == ChangeCursor(3));
    request.directoryDigest = view.directoryDigest;
    poll = relay.onPoll(request, start).poll;
    relay.onResponseSent(request.node, poll, view, {}, start);
    CHECK_FALSE(relay.pendingUpdateFor(request.node, view, start + directoryResyncInterval).any());
}

// Guards against a rollback that never reaches a child because the connection broke after the answer was written.
TEST_CASE("a child that lost an answer is sent everything again", "[distribution]")
{
    ChildRegistry relay = relayOf(8);
    LocalState view;
    view.rollouts = {{TicketNumber(2), ServiceName("ledger"), StageIndex(1), RolloutState::RolledBack, "failures"}};
    PollRequest request = pollOf("n1");
    const PollNumber lost = relay.onPoll(request, start).poll;
    relay.onResponseSent(request.node, lost, view, relay.pendingUpdateFor(request.node, view, start), start);
    CHECK(relay.pendingUpdateFor(request.node, view, start).rollouts.empty());
    request.resynchronise = true;
    const PollNumber next = relay.onPoll(request, start).poll;
    CHECK(relay.pendingUpdateFor(request.node, view, start).rollouts == view.rollouts);
    CHECK_FALSE(relay.isLatest(request.node, lost));
    // The thread that still holds the lost poll must not mark the records as received.
    relay.onResponseSent(request.node, lost, view, relay.pendingUpdateFor(request.node, view, start), start);
    CHECK(relay.pendingUpdateFor(request.node, view, start).rollouts == view.rollouts);
    CHECK(relay.isLatest(request.node, next));
}

// Guards against evidence that is counted twice when a poll is repeated.
TEST_CASE("a batch of outcomes is taken once", "[distribution]")
{
    ChildRegistry relay = relayOf(8);
    PollRequest request = pollOf("n1");
    request.outcomes = OutcomeBatch{SequenceNumber(4), {}};
    CHECK(relay.onPoll(request, start).acceptOutcomes);
    CHECK_FALSE(relay.onPoll(request, start).acceptOutcomes);
}

// Guards against deltas with holes and against a log that grows without bound.
TEST_CASE("a delta is consecutive from the held revision or a snapshot is needed", "[distribution]")
{
    rc::prop("deltas connect", [](const std::vector<std::uint8_t> &arrivals, std::uint8_t heldNumber) {
        RevisionLog log(4);
        for (const std::uint8_t arrival : arrivals)
            log.add({RevisionNumber(arrival % 12U), {}, WallTime()});
        RC_ASSERT(log.size() <= 4U);
        const RevisionNumber held(heldNumber % 12U);
        const RevisionDelta delta = log.after(held, 3);
        RC_ASSERT(delta.revisions.size() <= 3U);
        RC_ASSERT(delta.snapshotNeeded == (held < log.latest() && delta.revisions.empty()));
        std::uint64_t expected = held.value();
        for (const Revision &revision : delta.revisions)
            RC_ASSERT(revision.number.value() == ++expected);
    });
}

} // namespace dandeliondock
