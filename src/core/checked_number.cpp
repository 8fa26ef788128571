#include <dandeliondock/core/checked_number.h>

namespace dandeliondock {

std::optional<Milliseconds> checkedDuration(std::int64_t milliseconds) noexcept
{
    if (milliseconds < -maxMessageDuration.count() || milliseconds > maxMessageDuration.count())
        return std::nullopt;
    return Milliseconds(milliseconds);
}

std::optional<Milliseconds> checkedSeconds(double seconds) noexcept
{
    const double longest = std::chrono::duration<double>(maxMessageDuration).count();
    if (!(seconds > 0 && seconds <= longest)) // also true for NaN
        return std::nullopt;
    return Milliseconds(static_cast<std::int64_t>(seconds * 1'000));
}

std::optional<WallTime> checkedTime(std::int64_t unixMilliseconds) noexcept
{
    if (unixMilliseconds < 0 || unixMilliseconds > maxMessageTime.time_since_epoch().count())
        return std::nullopt;
    return WallTime(Milliseconds(unixMilliseconds));
}

std::optional<std::uint32_t> checkedCount(std::int64_t count) noexcept
{
    if (count < 0 || count > maxMessageCount)
        return std::nullopt;
    return static_cast<std::uint32_t>(count);
}

} // namespace dandeliondock
