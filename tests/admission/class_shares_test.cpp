#include <dandeliondock/admission/class_shares.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

MonotonicTime at(int milliseconds)
{
    return MonotonicTime(Seconds(100)) + Milliseconds(milliseconds);
}

void record(ClassShares &shares, WorkClass workClass, int offered, int served, MonotonicTime now)
{
    for (int index = 0; index < offered; ++index)
        shares.recordOffered(workClass, now);
    for (int index = 0; index < served; ++index)
        shares.recordServed(workClass);
}

} // namespace

// Guards against reports that are served more often than confirmations because they can wait for longer.
TEST_CASE("a class is held back while a more urgent one is served less often", "[admission]")
{
    ClassShares shares;
    CHECK_FALSE(shares.isServedBeforeUrgent(WorkClass::Deferrable));
    record(shares, WorkClass::Interactive, 40, 10, at(0));
    record(shares, WorkClass::Deferrable, 40, 12, at(0));
    CHECK(shares.isServedBeforeUrgent(WorkClass::Deferrable));
    CHECK_FALSE(shares.isServedBeforeUrgent(WorkClass::Interactive));
    record(shares, WorkClass::Interactive, 10, 10, at(0));
    CHECK_FALSE(shares.isServedBeforeUrgent(WorkClass::Deferrable));
}

// Guards against refusals while there is room, and against a class that is held back for a long time after an overload.
TEST_CASE("nothing is held back when the urgent classes are served", "[admission]")
{
    ClassShares shares;
    record(shares, WorkClass::Critical, 40, 39, at(0));
    record(shares, WorkClass::Deferrable, 40, 40, at(0));
    CHECK_FALSE(shares.isServedBeforeUrgent(WorkClass::Deferrable));
    record(shares, WorkClass::Critical, 40, 0, at(0));
    CHECK(shares.isServedBeforeUrgent(WorkClass::Deferrable));
    record(shares, WorkClass::Critical, 20, 20, at(20'000));
    CHECK_FALSE(shares.isServedBeforeUrgent(WorkClass::Deferrable));
}

} // namespace dandeliondock
