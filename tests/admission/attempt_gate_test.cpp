#include <dandeliondock/admission/attempt_gate.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

const RouteName route("lookup");

MonotonicTime at(int milliseconds)
{
    return MonotonicTime(Seconds(100)) + Milliseconds(milliseconds);
}

// Returns a gate that has seen 40 attempts within 40 ms, of which every \c acceptedEvery th was accepted.
AttemptGate gateAfter(int acceptedEvery)
{
    AttemptGate gate;
    for (int index = 0; index < 40; ++index) {
        if (index % acceptedEvery == 0)
            gate.recordAccepted(route, at(index));
        else
            gate.recordRefused(route, Milliseconds(120), at(index));
    }
    return gate;
}

} // namespace

// Guards against attempts that cost bytes between data centres and are refused there.
TEST_CASE("attempts are withheld while most recent ones were refused", "[admission]")
{
    const AttemptGate gate = gateAfter(10);
    const auto withheld = gate.withhold(route, WorkClass::Interactive, 0.5, at(41));
    REQUIRE(withheld.has_value());
    CHECK(*withheld > Milliseconds(60));
    CHECK(*withheld <= Milliseconds(120));
    // Some attempts are still sent, or nobody would learn that there is room again.
    CHECK_FALSE(gate.withhold(route, WorkClass::Interactive, 0.95, at(41)).has_value());
    CHECK_FALSE(gate.withhold(route, WorkClass::Critical, 0.8, at(41)).has_value());
    CHECK_FALSE(gate.withhold(RouteName("other"), WorkClass::Interactive, 0, at(41)).has_value());
}

// Guards against refusals while there is room.
TEST_CASE("no attempt is withheld when every second one is accepted, with few attempts, or a second later",
          "[admission]")
{
    CHECK_FALSE(gateAfter(2).withhold(route, WorkClass::Interactive, 0, at(41)).has_value());
    CHECK_FALSE(gateAfter(10).withhold(route, WorkClass::Interactive, 0, at(2'500)).has_value());
    AttemptGate gate;
    for (int index = 0; index < 7; ++index)
        gate.recordRefused(route, Milliseconds(100), at(index));
    CHECK_FALSE(gate.withhold(route, WorkClass::Interactive, 0, at(8)).has_value());
}

} // namespace dandeliondock
