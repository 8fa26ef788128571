#include "tree_model.h"

#include <dandeliondock/distribution/pause_detector.h>
#include <dandeliondock/distribution/snapshot_admission.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <queue>

namespace dandeliondock {
namespace {

struct Newcomer
{
    MonotonicTime due;
    bool finishing = false;
    MonotonicTime started;

    bool operator>(const Newcomer &other) const { return due > other.due; }
};

using Schedule = std::priority_queue<Newcomer, std::vector<Newcomer>, std::greater<>>;

} // namespace

// Guards against a herd that makes a parent serve more snapshots than it can, or that is told to return too early.
TEST_CASE("newcomers at once are served four at a time in few tries", "[distribution]")
{
    rc::prop("at most 4 are served, each asks few times, all end near the ideal time", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 200);
        const Milliseconds serving(*rc::gen::inRange(20, 200));
        SnapshotAdmission admission;
        Schedule schedule;
        const MonotonicTime start{Seconds(10)};
        for (std::size_t i = 0; i < count; ++i)
            schedule.push({start, false, {}});
        std::size_t requests = 0;
        MonotonicTime end = start;
        while (!schedule.empty()) {
            const Newcomer next = schedule.top();
            schedule.pop();
            end = next.due;
            if (next.finishing) {
                admission.finish(next.started, next.due);
                continue;
            }
            ++requests;
            const std::optional<Milliseconds> hint = admission.admit(next.due);
            RC_ASSERT(admission.serving() <= maxSnapshotsServed);
            if (!hint) {
                schedule.push({next.due + serving, true, next.due});
                continue;
            }
            RC_ASSERT(*hint > Milliseconds(0));
            RC_ASSERT(*hint <= Milliseconds(5'000));
            schedule.push({next.due + *hint, false, {}});
        }
        const Milliseconds ideal = serving * (count / maxSnapshotsServed + 1);
        RC_ASSERT(end - start <= ideal * 3 + Milliseconds(6'000));
        RC_ASSERT(requests <= count * 8);
    });
}

// Guards against starting nodes that all read the store while peers could take them in.
TEST_CASE("the store's reads stay bounded when every node but one starts again", "[distribution]")
{
    rc::prop("N newcomers cause fewer than 4 reads each within 10 s", [](std::uint64_t seed) {
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

// Guards against retries of many nodes in step.
TEST_CASE("backoff draws from the whole range up to a doubling limit", "[distribution]")
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

// Guards against a resumed process that takes what it holds for current.
TEST_CASE("a gap of more than 2 s between ticks is a pause", "[distribution]")
{
    PauseDetector detector;
    const MonotonicTime start{Seconds(5)};
    CHECK_FALSE(detector.onTick(start));
    CHECK_FALSE(detector.onTick(start + Milliseconds(2'000)));
    CHECK(detector.onTick(start + Milliseconds(4'001)));
}

} // namespace dandeliondock
