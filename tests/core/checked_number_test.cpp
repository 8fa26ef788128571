#include <dandeliondock/core/checked_number.h>

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

namespace dandeliondock {

// Guards against a number of a message that overflows when it is added to a clock or cast to a smaller type.
TEST_CASE("numbers outside the range of their unit are refused", "[core]")
{
    constexpr std::int64_t lowest = std::numeric_limits<std::int64_t>::min();
    constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();
    CHECK(checkedDuration(-5) == Milliseconds(-5));
    CHECK(checkedDuration(maxMessageDuration.count()) == maxMessageDuration);
    for (const std::int64_t number : {lowest, -maxMessageDuration.count() - 1, maxMessageDuration.count() + 1, highest})
        CHECK_FALSE(checkedDuration(number).has_value());
    CHECK(checkedSeconds(0.25) == Milliseconds(250));
    for (const double number : {-1.0, 0.0, 1e300, HUGE_VAL, -HUGE_VAL, std::nan("")})
        CHECK_FALSE(checkedSeconds(number).has_value());
    CHECK(checkedTime(0) == WallTime());
    for (const std::int64_t number : {lowest, std::int64_t{-1}, maxMessageTime.time_since_epoch().count() + 1, highest})
        CHECK_FALSE(checkedTime(number).has_value());
    CHECK(checkedCount(maxMessageCount) == maxMessageCount);
    for (const std::int64_t number : {lowest, std::int64_t{-1}, std::int64_t{maxMessageCount} + 1, highest})
        CHECK_FALSE(checkedCount(number).has_value());
}

} // namespace dandeliondock
