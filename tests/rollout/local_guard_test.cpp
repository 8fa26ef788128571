#include <dandeliondock/rollout/local_guard.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

constexpr TicketNumber rollout{7};
const RouteName orders("orders");

std::optional<RollbackRequest> recordUntilRequest(LocalGuard &guard, bool oldFails, bool newFails)
{
    std::optional<RollbackRequest> request;
    for (int count = 0; count < 40 && !request; ++count) {
        request = guard.record(rollout, orders, false, oldFails, MonotonicTime(Seconds{1}));
        if (!request)
            request = guard.record(rollout, orders, true, newFails, MonotonicTime(Seconds{1}));
    }
    return request;
}

} // namespace

// Guards against a node that keeps sending requests to a clearly failing version until the driver decides.
TEST_CASE("a clear failure of the new version causes one rollback request", "[rollout]")
{
    LocalGuard guard;
    const auto request = recordUntilRequest(guard, false, true);
    REQUIRE(request.has_value());
    CHECK(request->route == orders);
    CHECK(request->reason.find("the old one 0 of 20") != std::string::npos);
    CHECK_FALSE(recordUntilRequest(guard, false, true).has_value());
}

// Guards against blaming the new version for a fault in a dependency of both versions.
TEST_CASE("a fault shared by both versions causes no rollback request", "[rollout]")
{
    LocalGuard guard;
    CHECK_FALSE(recordUntilRequest(guard, true, true).has_value());
    LocalGuard withoutOld;
    for (int count = 0; count < 50; ++count)
        CHECK_FALSE(withoutOld.record(rollout, orders, true, true, MonotonicTime(Seconds{1})).has_value());
}

// Guards against blaming the new version for a shared fault that began after the old version's last successful outcome.
TEST_CASE("outcomes of the old version before the first failure of the new one do not count", "[rollout]")
{
    LocalGuard guard;
    for (int count = 0; count < 100; ++count)
        CHECK_FALSE(guard.record(rollout, orders, false, false, MonotonicTime(Seconds{1})).has_value());
    for (int count = 0; count < 20; ++count)
        CHECK_FALSE(guard.record(rollout, orders, true, true, MonotonicTime(Seconds{2})).has_value());
}

// Guards against comparing outcomes of the old version from an earlier window with failures in a later one.
TEST_CASE("outcomes of an earlier window are not compared", "[rollout]")
{
    LocalGuard guard;
    for (int count = 0; count < 20; ++count)
        CHECK_FALSE(guard.record(rollout, orders, false, false, MonotonicTime(Seconds{1})).has_value());
    for (int count = 0; count < 20; ++count)
        CHECK_FALSE(guard.record(rollout, orders, true, true, MonotonicTime(Seconds{1} + guardWindow)).has_value());
}

} // namespace dandeliondock
