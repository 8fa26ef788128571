#include "tree_model.h"

#include <dandeliondock/distribution/pause_detector.h>
#include <dandeliondock/distribution/snapshot_admission.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <queue>

namespace dandeliondock {
namespace {

// A node requests a snapshot, or the serving of a snapshot ends.
struct SnapshotEvent
{
    MonotonicTime due;
    bool isFinish = false;
    MonotonicTime started;

    bool operator>(const SnapshotEvent &other) const { return due > other.due; }
};

using EventQueue = std::priority_queue<SnapshotEvent, std::vector<SnapshotEvent>, std::greater<>>;

} // namespace

// Guards against many nodes that start at once and make a parent serve more snapshots than it can, or that are told to
// retry too early.
TEST_CASE("nodes that start at once are served four snapshots at a time in few attempts", "[distribution]")
{
    rc::prop("at most 4 are served at once, each node sends few requests, all end near the ideal time", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 200);
        const Milliseconds servingTime(*rc::gen::inRange(20, 200));
        SnapshotAdmission admission;
        EventQueue events;
        const MonotonicTime start{Seconds(10)};
        for (std::size_t i = 0; i < count; ++i)
            events.push({start, false, {}});
        std::size_t requests = 0;
        MonotonicTime end = start;
        while (!events.empty()) {
            const SnapshotEvent event = events.top();
            events.pop();
            end = event.due;
            if (event.isFinish) {
                admission.finish(event.started, event.due);
                continue;
            }
            ++requests;
            const std::optional<Milliseconds> retryDelay = admission.admit(event.due);
            RC_ASSERT(admission.servingCount() <= maxSnapshotsServed);
            if (!retryDelay) {
                events.push({event.due + servingTime, true, event.due});
                continue;
            }
            RC_ASSERT(*retryDelay > Milliseconds(0));
            RC_ASSERT(*retryDelay <= Milliseconds(5'000));
            events.push({event.due + *retryDelay, false, {}});
        }
        const Milliseconds ideal = servingTime * (count / maxSnapshotsServed + 1);
        RC_ASSERT(end - start <= ideal * 3 + Milliseconds(6'000));
        RC_ASSERT(requests <= count * 8);
    });
}

// Guards against starting nodes that all read the store although peers could accept them as children.
TEST_CASE("reads of the store stay bounded when nearly all nodes restart at once", "[distribution]")
{
    rc::prop("restarted nodes cause fewer than 4 reads per node within 10 s", [](std::uint64_t seed) {
        testing::TreeModel model(40, seed, 4);
        model.fileTicket();
        model.advance(Milliseconds(20'000));
        RC_ASSERT(model.converged());
        for (std::size_t i = 2; i < model.size(); ++i)
            model.restart(i);
        const std::uint64_t before = model.storeReads();
        model.advance(Milliseconds(10'000));
        RC_ASSERT(model.storeReads() - before < 4 * model.size());
        RC_ASSERT(model.violations().empty());
    });
}

// Guards against many nodes that retry at the same time.
TEST_CASE("backoff draws its delay from the whole range up to a limit that doubles", "[distribution]")
{
    rc::prop("each delay is within its limit", [](std::uint64_t seed) {
        Backoff backoff(seededRandom(seed));
        Milliseconds limit = backoffBase;
        for (int i = 0; i < 12; ++i) {
            const Milliseconds delay = backoff.next();
            RC_ASSERT(delay >= Milliseconds(0) && delay <= limit);
            limit = std::min(backoffCap, limit * 2);
        }
        backoff.reset();
        RC_ASSERT(backoff.next() <= backoffBase);
    });
}

// Guards against a resumed process that treats its outdated state as current.
TEST_CASE("a gap of more than 2 s between ticks counts as a pause", "[distribution]")
{
    PauseDetector detector;
    const MonotonicTime start{Seconds(5)};
    CHECK_FALSE(detector.onTick(start));
    CHECK_FALSE(detector.onTick(start + Milliseconds(2'000)));
    CHECK(detector.onTick(start + Milliseconds(4'001)));
}

} // namespace dandeliondock
