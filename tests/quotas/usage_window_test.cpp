#include <dandeliondock/quotas/usage_window.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

namespace dandeliondock {
namespace {

constexpr Milliseconds window{5'000};

MonotonicTime at(std::int64_t milliseconds)
{
    return MonotonicTime(std::chrono::hours(1) + Milliseconds(milliseconds));
}

} // namespace

// Guards against requests that leave the window early, which would let an account exceed its bound.
TEST_CASE("the window has at least the requests of its length and at most one slice more", "[quotas]")
{
    rc::prop("any arrivals and refunds", [](const std::vector<std::uint16_t> &gaps, bool refundsLast) {
        UsageWindow usage(window);
        std::vector<std::int64_t> times;
        std::int64_t now = 0;
        for (const std::uint16_t gap : gaps) {
            now += gap % 700;
            usage.recordOffered(at(now));
            usage.recordAdmitted(at(now));
            times.push_back(now);
        }
        if (refundsLast && !times.empty()) {
            usage.removeAdmitted(at(times.back()), at(now));
            times.pop_back();
        }
        const auto since = [&](std::int64_t length) {
            return static_cast<double>(
                    std::count_if(times.begin(), times.end(), [&](std::int64_t time) { return time > now - length; }));
        };
        const double counted = usage.admittedInWindow(at(now)).value();
        RC_ASSERT(counted >= since(5'000));
        RC_ASSERT(counted <= since(5'126));
    });
}

// Guards against a refund of a request that has left the window, which would take another request out of it.
TEST_CASE("a refund after the window changes nothing", "[quotas]")
{
    UsageWindow usage(window);
    usage.recordAdmitted(at(0));
    usage.recordAdmitted(at(6'000));
    usage.removeAdmitted(at(0), at(6'000));
    CHECK(usage.admittedInWindow(at(6'000)) == RequestAmount(1));
    CHECK(usage.admittedInWindow(at(60'000)) == RequestAmount(0));
}

// Guards against a rise of the demand that shows too late.
TEST_CASE("the recent rate follows the demand within half a second", "[quotas]")
{
    UsageWindow usage(window);
    for (std::int64_t time = 0; time < 5'000; time += 100)
        usage.recordOffered(at(time));
    CHECK(usage.offeredRate(at(5'000)).value() == Approx(10).margin(3));
    for (std::int64_t time = 5'000; time < 5'400; time += 10)
        usage.recordOffered(at(time));
    CHECK(usage.offeredRate(at(5'400)).value() == Approx(100).margin(12));
    CHECK(usage.hasTraffic(at(9'000)));
    CHECK_FALSE(usage.hasTraffic(at(11'000)));
}

} // namespace dandeliondock
