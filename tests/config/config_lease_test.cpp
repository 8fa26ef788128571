#include <dandeliondock/config/config_lease.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

namespace dandeliondock::testing {
namespace {

constexpr Milliseconds bound{5'000};
constexpr BootTime start{std::chrono::hours(1)};

} // namespace

TEST_CASE("a lease is safely shorter than its bound", "[config]")
{
    CHECK(configLeaseDuration(bound) == Milliseconds(4'750));
    CHECK(configLeaseDuration(Milliseconds(400)) == Milliseconds(300));
    CHECK(configLeaseDuration(Milliseconds(100)) == Milliseconds(0));
    CHECK(configLeaseDuration(Milliseconds(1)) == Milliseconds(0));
}

// Guards against a restarted process that accepts keys before it has read the configuration from the platform.
TEST_CASE("a lease is not held before its first confirmation, and without a bound it is always held", "[config]")
{
    ConfigLease lease(bound);
    CHECK_FALSE(lease.isHeld(start));
    CHECK_FALSE(lease.isHeld(BootTime()));
    CHECK_FALSE(lease.confirm(start, start));
    CHECK(lease.isHeld(start));
    CHECK(ConfigLease(std::nullopt).isHeld(start));
}

// Guards against a withdrawn key that is accepted after the bound: whatever confirmations arrive in whatever order,
// each late by any time, the lease is held only while a confirmed time is less than the bound ago.
TEST_CASE("a lease is held only while a confirmation is recent", "[config]")
{
    rc::prop("confirmations in any order", [](const std::vector<std::uint16_t> &ages, std::uint16_t pause) {
        ConfigLease lease(bound);
        BootTime now = start;
        std::optional<BootTime> latest;
        for (const std::uint16_t age : ages) {
            now += Milliseconds(pause % 1'000);
            const BootTime confirmedAt = now - Milliseconds(age);
            latest = std::max(latest.value_or(confirmedAt), confirmedAt);
            lease.confirm(confirmedAt, now);
            RC_ASSERT(lease.isHeld(now) == (now - *latest < configLeaseDuration(bound)));
        }
        // The machine is suspended for a time in which this process runs nothing.
        now += bound;
        RC_ASSERT(!lease.isHeld(now));
    });
    ConfigLease lease(bound);
    lease.confirm(start + std::chrono::hours(1), start); // a message with an impossible time
    CHECK_FALSE(lease.isHeld(start + bound));
}

TEST_CASE("the loss of a lease is recorded once, and the next confirmation ends it", "[config]")
{
    ConfigLease lease(bound);
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
TEST_CASE("a lease outlasts an interruption of 0.6 of the bound that begins at any moment of a poll", "[config]")
{
    constexpr Milliseconds hold{700};
    constexpr Milliseconds roundTrip{30};
    constexpr Milliseconds retryDelay{750};
    for (Milliseconds phase{0}; phase < hold + roundTrip; phase += Milliseconds(10)) {
        ConfigLease lease(bound);
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
