#include <dandeliondock/distribution/child_registry.h>
#include <dandeliondock/distribution/revision_log.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

constexpr MonotonicTime start{Seconds(100)};

PollRequest makePoll(const std::string &node, std::uint64_t incarnation = 1)
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

ChildRegistry makeRegistry(std::size_t fanOut)
{
    ChildRegistry registry(DeploymentName("test"), NodeId("self"), RegionName("east"), fanOut);
    registry.setPath({NodeId("root"), NodeId("self")});
    return registry;
}

} // namespace

// Guards against accepting a child that would form a loop, have no path to the root or exceed the fan-out.
TEST_CASE("a poll is rejected with the matching reason", "[distribution]")
{
    ChildRegistry registry = makeRegistry(1);
    PollRequest foreign = makePoll("n1");
    foreign.deployment = DeploymentName("other");
    CHECK(registry.onPoll(foreign, start).refusal == PollRefusal::WrongDeployment);
    CHECK(registry.onPoll(makePoll("root"), start).refusal == PollRefusal::Loop);
    CHECK(registry.onPoll(makePoll("self"), start).refusal == PollRefusal::Loop);
    CHECK(registry.onPoll(makePoll("n1", 2), start).result == PollResult::Attached);
    CHECK(registry.onPoll(makePoll("n1", 1), start).refusal == PollRefusal::StaleIncarnation);
    const PollDecision full = registry.onPoll(makePoll("n2"), start);
    CHECK(full.result == PollResult::Full);
    CHECK(full.redirects == std::vector<Address>{Address("n1")});
    registry.setPath({});
    CHECK(registry.onPoll(makePoll("n2"), start).refusal == PollRefusal::NoPath);
    CHECK(registry.onPoll(makePoll("n1", 2), start).result == PollResult::Attached);
    registry.setLeaving();
    CHECK(registry.onPoll(makePoll("n1", 2), start).result == PollResult::Leaving);
}

// Guards against removing a child that still polls and against keeping one that stopped.
TEST_CASE("a child that sends no poll for 5 s is reported lost once", "[distribution]")
{
    ChildRegistry registry = makeRegistry(8);
    (void)registry.onPoll(makePoll("n1", 3), start);
    CHECK(registry.expire(start + childTimeout - Milliseconds(1)).empty());
    const std::vector<LostChild> lost = registry.expire(start + childTimeout);
    REQUIRE(lost.size() == 1);
    CHECK(lost.front().incarnation == Incarnation(3));
    CHECK(registry.expire(start + childTimeout).empty());
}

// Guards against endpoint changes that are lost in transit and never resent.
TEST_CASE("the directory is resent at intervals while the digests differ after every change was sent", "[distribution]")
{
    ChildRegistry registry = makeRegistry(8);
    LocalState state;
    state.directoryDigest = DirectoryDigest(5);
    state.endpointCursor = ChangeCursor(3);
    PollRequest request = makePoll("n1");
    PollNumber poll = registry.onPoll(request, start).poll;
    PendingUpdate update = registry.pendingUpdateFor(request.node, state, start);
    CHECK(update.fullEndpoints);
    registry.onResponseSent(request.node, poll, state, update, start);
    (void)registry.onPoll(request, start + Milliseconds(100));
    CHECK_FALSE(registry.pendingUpdateFor(request.node, state, start + Milliseconds(100)).any());
    CHECK(registry.pendingUpdateFor(request.node, state, start + directoryResyncInterval).fullEndpoints);
    state.endpointCursor = ChangeCursor(4);
    CHECK(registry.pendingUpdateFor(request.node, state, start).endpointsAfter == ChangeCursor(3));
    request.directoryDigest = state.directoryDigest;
    poll = registry.onPoll(request, start).poll;
    registry.onResponseSent(request.node, poll, state, {}, start);
    CHECK_FALSE(registry.pendingUpdateFor(request.node, state, start + directoryResyncInterval).any());
}

// Guards against a rollback that never reaches a child because the connection broke after the response was written.
TEST_CASE("a child that did not receive a response is sent everything again", "[distribution]")
{
    ChildRegistry registry = makeRegistry(8);
    LocalState state;
    state.rollouts = {{TicketNumber(2), ServiceName("ledger"), StageIndex(1), RolloutState::RolledBack, "failures"}};
    PollRequest request = makePoll("n1");
    const PollNumber lost = registry.onPoll(request, start).poll;
    registry.onResponseSent(request.node, lost, state, registry.pendingUpdateFor(request.node, state, start), start);
    CHECK(registry.pendingUpdateFor(request.node, state, start).rollouts.empty());
    request.resynchronise = true;
    const PollNumber next = registry.onPoll(request, start).poll;
    CHECK(registry.pendingUpdateFor(request.node, state, start).rollouts == state.rollouts);
    CHECK_FALSE(registry.isLatest(request.node, lost));
    // The thread that still holds the earlier poll must not record the rollouts as sent.
    registry.onResponseSent(request.node, lost, state, registry.pendingUpdateFor(request.node, state, start), start);
    CHECK(registry.pendingUpdateFor(request.node, state, start).rollouts == state.rollouts);
    CHECK(registry.isLatest(request.node, next));
}

// Guards against counting outcomes twice when a poll is repeated.
TEST_CASE("an outcome batch is accepted once", "[distribution]")
{
    ChildRegistry registry = makeRegistry(8);
    PollRequest request = makePoll("n1");
    request.outcomes = OutcomeBatch{SequenceNumber(4), {}};
    CHECK(registry.onPoll(request, start).acceptOutcomes);
    CHECK_FALSE(registry.onPoll(request, start).acceptOutcomes);
}

// Guards against deltas with gaps and against a log that grows without bound.
TEST_CASE("a delta follows the held revision without gaps or requires a snapshot", "[distribution]")
{
    rc::prop("the revisions of a delta are consecutive",
             [](const std::vector<std::uint8_t> &arrivals, std::uint8_t heldNumber) {
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
