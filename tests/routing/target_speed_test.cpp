#include <dandeliondock/routing/target_speed.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace dandeliondock {
namespace {

const RouteName route("lookup");

MonotonicTime at(int milliseconds)
{
    return MonotonicTime(Seconds(100)) + Milliseconds(milliseconds);
}

} // namespace

// Guards against targets of different speed that look alike, and against a usual time that follows the chosen targets.
TEST_CASE("the speed of a target is learnt relative to the usual work time of the route", "[routing]")
{
    UsualWorkTimes usual;
    TargetSpeed fast;
    TargetSpeed slow;
    for (int round = 0; round < 200; ++round) {
        for (int index = 0; index < 3; ++index)
            fast.record(usual.record(route, Milliseconds(70), fast.learnt(at(round))), at(round));
        slow.record(usual.record(route, Milliseconds(170), slow.learnt(at(round))), at(round));
    }
    CHECK(slow.expected(at(200)).value() / fast.expected(at(200)).value() == Approx(170.0 / 70).epsilon(0.05));
    CHECK(usual.of(route) > Milliseconds(70));
    CHECK(usual.of(route) < Milliseconds(170));
    CHECK(usual.of(RouteName("other")) == Microseconds(0));
}

// Guards against a target that is avoided for ever because it was slow once: nothing is sent to it that would show
// otherwise.
TEST_CASE("a learnt speed is forgotten when nothing is recorded", "[routing]")
{
    TargetSpeed speed;
    for (int round = 0; round < 50; ++round)
        speed.record(WorkFactor(3), at(round));
    CHECK(speed.learnt(at(50)).value() > 2.5);
    CHECK(speed.learnt(at(200'000)).value() < 1.05);
    CHECK(speed.expected(at(200'000)) == usualWorkFactor);
}

// Guards against a report of the moment that is still believed when the slow period is over.
TEST_CASE("a reported factor of the moment counts for a short time only", "[routing]")
{
    TargetSpeed speed;
    speed.recordCurrent(WorkFactor(2.5), at(0));
    CHECK(speed.expected(at(1)).value() > 2.4);
    CHECK(speed.expected(at(150)).value() == Approx(1.75));
    CHECK(speed.expected(at(300)) == usualWorkFactor);
}

// Guards against requests that move between equal targets because of the scatter of their work times.
TEST_CASE("small differences between targets do not count", "[routing]")
{
    TargetSpeed speed;
    for (int round = 0; round < 50; ++round)
        speed.record(WorkFactor(round % 2 == 0 ? 1.2 : 1.0), at(round));
    CHECK(speed.expected(at(50)) == usualWorkFactor);
}

TEST_CASE("factors stay within their bounds for any observations", "[routing]")
{
    rc::prop("observations of any size", [] {
        UsualWorkTimes usual;
        TargetSpeed speed;
        const auto times =
                *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(1, 86'400'000'000));
        int now = 0;
        for (const std::int64_t time : times) {
            speed.record(usual.record(route, Microseconds(time), speed.learnt(at(now))), at(now));
            RC_ASSERT(speed.expected(at(now)) >= minWorkFactor);
            RC_ASSERT(speed.expected(at(now)) <= maxWorkFactor);
            now += 10;
        }
    });
}

} // namespace dandeliondock
