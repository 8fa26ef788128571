#include <dandeliondock/accounts/key_lease.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

namespace dandeliondock::testing {
namespace {

constexpr Milliseconds bound{5'000};
constexpr BootTime start{std::chrono::hours(1)};

} // namespace

TEST_CASE("a lease is safely shorter than its bound", "[accounts]")
{
    CHECK(keyLeaseDuration(bound) == Milliseconds(4'750));
    CHECK(keyLeaseDuration(Milliseconds(400)) == Milliseconds(300));
    CHECK(keyLeaseDuration(Milliseconds(100)) == Milliseconds(0));
    CHECK(keyLeaseDuration(Milliseconds(1)) == Milliseconds(0));
}

// Guards against a restarted process that accepts keys before it has read the configuration from the platform.
TEST_CASE("a lease is not held before its first confirmation, and without a bound it is always held", "[accounts]")
{
    KeyLease lease(bound);
    CHECK_FALSE(lease.isHeld(start));
    CHECK_FALSE(lease.isHeld(BootTime()));
    CHECK_FALSE(lease.confirm(start, start));
    CHECK(lease.isHeld(start));
    CHECK(KeyLease(std::nullopt).isHeld(start));
}

// Guards against a withdrawn key that is accepted after the bound: whatever confirmations arrive in whatever order,
// each late by any time, the lease is held only while a confirmed time is less than the bound ago.
TEST_CASE("a lease is held only while a confirmation is recent", "[accounts]")
{
    rc::prop("confirmations in any order", [](const std::vector<std::uint16_t> &ages, std::uint16_t pause) {
        KeyLease lease(bound);
        BootTime now = start;
        std::optional<BootTime> latest;
        for (const std::uint16_t age : ages) {
            now += Milliseconds(pause % 1'000);
            const BootTime confirmedAt = now - Milliseconds(age);
            latest = std::max(latest.value_or(confirmedAt), confirmedAt);
            lease.confirm(confirmedAt, now);
            RC_ASSERT(lease.isHeld(now) == (now - *latest < keyLeaseDuration(bound)));
        }
        // The machine is suspended for a time in which this process runs nothing.
        now += bound;
        RC_ASSERT(!lease.isHeld(now));
    });
    KeyLease lease(bound);
    lease.confirm(start + std::chrono::hours(1), start); // a message with an impossible time
    CHECK_FALSE(lease.isHeld(start + bound));
}

TEST_CASE("the loss of a lease is recorded once, and the next confirmation ends it", "[accounts]")
{
    KeyLease lease(bound);
    CHECK(lease.recordLoss());
    CHECK_FALSE(lease.recordLoss());
    CHECK_FALSE(lease.confirm(start - bound, start));
    CHECK(lease.confirm(start, start));
    CHECK_FALSE(lease.confirm(start, start));
    CHECK(lease.recordLoss());
}

// Guards against refusals when the store was out of reach for 0.6 of the bound or less. The figures are those of a
// proxy that reads from the platform: a poll is held for 700 ms and takes 30 ms on the way; after an interruption the
// next read begins within the longest retry delay of 750 ms.
TEST_CASE("a lease outlasts an interruption of 0.6 of the bound that begins at any moment of a poll", "[accounts]")
{
    constexpr Milliseconds hold{700};
    constexpr Milliseconds roundTrip{30};
    constexpr Milliseconds retryDelay{750};
    for (Milliseconds phase{0}; phase < hold + roundTrip; phase += Milliseconds(10)) {
        KeyLease lease(bound);
        const BootTime pollSentAt = start;
        // The poll before this one was confirmed at the end of its hold; this one gets no response.
        lease.confirm(pollSentAt - roundTrip, pollSentAt);
        const BootTime interruptedAt = pollSentAt + phase;
        const BootTime regainedAt = interruptedAt + bound * 6 / 10 + retryDelay + roundTrip;
        INFO("phase " << phase.count());
        CHECK(lease.isHeld(regainedAt));
    }
}

} // namespace dandeliondock::testing
