#include <dandeliondock/rollout/local_guard.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

constexpr TicketNumber rollout{7};
const RouteName orders("orders");

std::optional<RollbackRequest> feed(LocalGuard &guard, bool oldFails, bool newFails)
{
    std::optional<RollbackRequest> wish;
    for (int count = 0; count < 40 && !wish; ++count) {
        wish = guard.record(rollout, orders, false, oldFails, MonotonicTime(Seconds{1}));
        if (!wish)
            wish = guard.record(rollout, orders, true, newFails, MonotonicTime(Seconds{1}));
    }
    return wish;
}

} // namespace

// Guards against a node that keeps sending requests to a version that plainly fails until the driver decides.
TEST_CASE("a plain failure of the new version stops the node's own share once", "[rollout]")
{
    LocalGuard guard;
    const auto wish = feed(guard, false, true);
    REQUIRE(wish.has_value());
    CHECK(wish->route == orders);
    CHECK(wish->reason.find("the old one 0 of 20") != std::string::npos);
    CHECK_FALSE(feed(guard, false, true).has_value());
}

// Guards against blaming the new version for a fault of what both versions depend on.
TEST_CASE("a fault shared by both versions causes no wish", "[rollout]")
{
    LocalGuard guard;
    CHECK_FALSE(feed(guard, true, true).has_value());
    LocalGuard withoutOld;
    for (int count = 0; count < 50; ++count)
        CHECK_FALSE(withoutOld.record(rollout, orders, true, true, MonotonicTime(Seconds{1})).has_value());
}

// Guards against a shared fault that begins after the old version's last answers were good.
TEST_CASE("old answers before the first failure of the new version do not count", "[rollout]")
{
    LocalGuard guard;
    for (int count = 0; count < 100; ++count)
        CHECK_FALSE(guard.record(rollout, orders, false, false, MonotonicTime(Seconds{1})).has_value());
    for (int count = 0; count < 20; ++count)
        CHECK_FALSE(guard.record(rollout, orders, true, true, MonotonicTime(Seconds{2})).has_value());
}

// Guards against old answers from an earlier window standing beside failures of a later one.
TEST_CASE("answers of an earlier window are not compared", "[rollout]")
{
    LocalGuard guard;
    for (int count = 0; count < 20; ++count)
        CHECK_FALSE(guard.record(rollout, orders, false, false, MonotonicTime(Seconds{1})).has_value());
    for (int count = 0; count < 20; ++count)
        CHECK_FALSE(guard.record(rollout, orders, true, true, MonotonicTime(Seconds{1} + guardWindow)).has_value());
}

} // namespace dandeliondock
