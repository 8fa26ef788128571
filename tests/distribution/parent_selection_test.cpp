#include <dandeliondock/distribution/parent_selection.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

constexpr MonotonicTime start{Seconds(100)};
const CandidateAddresses candidates{{Address("lease")}, {Address("peer")}, {Address("directory")}, false};

ParentSelection makeSelection()
{
    return {NodeId("self"), Address("own"), seededRandom(1)};
}

PollAnswer attachedResponse(std::vector<NodeId> path)
{
    PollAnswer response;
    response.result = PollResult::Attached;
    response.path = std::move(path);
    response.grandparent = Address("grandparent");
    return response;
}

Address pollNextAddress(ParentSelection &selection)
{
    const ParentSelectionStep step = selection.next(candidates, start);
    return step.action == ParentSelectionAction::Poll ? step.candidate.address : Address();
}

} // namespace

// Guards against a mass restart that loads the store although a peer would have responded.
TEST_CASE("candidates are tried in the order of their sources and the store last", "[distribution]")
{
    ParentSelection selection = makeSelection();
    for (const char *expected : {"lease", "peer", "directory"}) {
        CHECK(pollNextAddress(selection) == Address(expected));
        selection.onFailure();
    }
    CHECK(selection.next(candidates, start).action == ParentSelectionAction::ReadLeases);
    const ParentSelectionStep wait = selection.next(candidates, start);
    CHECK(wait.action == ParentSelectionAction::Wait);
    CHECK(wait.until <= start + backoffBase);
    CHECK(pollNextAddress(selection) == Address("lease"));
}

// Guards against redirects of a full parent that are ignored or followed in a loop.
TEST_CASE("redirects are tried first and each address is tried once in a round", "[distribution]")
{
    ParentSelection selection = makeSelection();
    CHECK(pollNextAddress(selection) == Address("lease"));
    PollAnswer full;
    full.result = PollResult::Full;
    full.redirects = {Address("lease"), Address("own"), Address("child")};
    CHECK(selection.onResponse(full, start) == AttachOutcome::Redirected);
    CHECK(pollNextAddress(selection) == Address("child"));
}

// Guards against a loop that persists because its members keep polling each other.
TEST_CASE("a parent whose path contains this node is dropped", "[distribution]")
{
    ParentSelection selection = makeSelection();
    (void)pollNextAddress(selection);
    REQUIRE(selection.onResponse(attachedResponse({NodeId("root")}), start) == AttachOutcome::Attached);
    CHECK(selection.onResponse(attachedResponse({NodeId("self"), NodeId("n2")}), start) == AttachOutcome::Loop);
    CHECK_FALSE(selection.attached());
    CHECK(selection.parentPath().empty());
}

// Guards against a subtree that stays under a parent without a path to the root forever, or that leaves it at once.
TEST_CASE("a parent without a path is dropped after a timeout", "[distribution]")
{
    ParentSelection selection = makeSelection();
    (void)pollNextAddress(selection);
    REQUIRE(selection.onResponse(attachedResponse({NodeId("root")}), start) == AttachOutcome::Attached);
    CHECK(selection.onResponse(attachedResponse({}), start) == AttachOutcome::Attached);
    CHECK(selection.parentPath().empty());
    CHECK(selection.onResponse(attachedResponse({}), start + pathLossTimeout) == AttachOutcome::PathLost);
    CHECK_FALSE(selection.attached());
}

} // namespace dandeliondock
