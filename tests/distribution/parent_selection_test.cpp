#include <dandeliondock/distribution/parent_selection.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

constexpr MonotonicTime start{Seconds(100)};
const CandidateAddresses known{{Address("lease")}, {Address("peer")}, {Address("directory")}, false};

ParentSelection selectionOf()
{
    return {NodeId("self"), Address("own"), seededRandom(1)};
}

PollAnswer attachedUnder(std::vector<NodeId> path)
{
    PollAnswer answer;
    answer.result = PollResult::Attached;
    answer.path = std::move(path);
    answer.grandparent = Address("grandparent");
    return answer;
}

Address nextAddress(ParentSelection &selection)
{
    const ParentSelectionStep step = selection.next(known, start);
    return step.action == ParentSelectionAction::Poll ? step.candidate.address : Address();
}

} // namespace

// Guards against a storm that reaches the store although a peer would have answered.
TEST_CASE("candidates are tried in order and the store last", "[distribution]")
{
    ParentSelection selection = selectionOf();
    for (const char *expected : {"lease", "peer", "directory"}) {
        CHECK(nextAddress(selection) == Address(expected));
        selection.onFailure();
    }
    CHECK(selection.next(known, start).action == ParentSelectionAction::ReadLeases);
    const ParentSelectionStep pause = selection.next(known, start);
    CHECK(pause.action == ParentSelectionAction::Wait);
    CHECK(pause.until <= start + backoffBase);
    CHECK(nextAddress(selection) == Address("lease"));
}

// Guards against a full parent's advice that is ignored, or followed in a circle.
TEST_CASE("redirects are tried first and each address once in a round", "[distribution]")
{
    ParentSelection selection = selectionOf();
    CHECK(nextAddress(selection) == Address("lease"));
    PollAnswer full;
    full.result = PollResult::Full;
    full.redirects = {Address("lease"), Address("own"), Address("child")};
    CHECK(selection.onResponse(full, start) == AttachOutcome::Redirected);
    CHECK(nextAddress(selection) == Address("child"));
}

// Guards against a loop that stays because its members keep each other alive.
TEST_CASE("a parent whose path contains this node is left", "[distribution]")
{
    ParentSelection selection = selectionOf();
    (void)nextAddress(selection);
    REQUIRE(selection.onResponse(attachedUnder({NodeId("root")}), start) == AttachOutcome::Attached);
    CHECK(selection.onResponse(attachedUnder({NodeId("self"), NodeId("n2")}), start) == AttachOutcome::Loop);
    CHECK_FALSE(selection.attached());
    CHECK(selection.parentPath().empty());
}

// Guards against a subtree that waits for ever under a relay without a root, or that dissolves at once.
TEST_CASE("a parent without a path is left after a grace time", "[distribution]")
{
    ParentSelection selection = selectionOf();
    (void)nextAddress(selection);
    REQUIRE(selection.onResponse(attachedUnder({NodeId("root")}), start) == AttachOutcome::Attached);
    CHECK(selection.onResponse(attachedUnder({}), start) == AttachOutcome::Attached);
    CHECK(selection.parentPath().empty());
    CHECK(selection.onResponse(attachedUnder({}), start + pathLossTimeout) == AttachOutcome::PathLost);
    CHECK_FALSE(selection.attached());
}

} // namespace dandeliondock
