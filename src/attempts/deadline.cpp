#include <dandeliondock/attempts/deadline.h>

#include <absl/strings/numbers.h>

#include <algorithm>
#include <cstdint>

namespace dandeliondock {

Deadline Deadline::fromHeader(std::optional<absl::string_view> header, Milliseconds routeTimeout, MonotonicTime now)
{
    std::uint32_t callerMilliseconds = 0;
    if (!header || !absl::SimpleAtoi(*header, &callerMilliseconds))
        return Deadline(now + routeTimeout);
    return Deadline(now + std::min(routeTimeout, Milliseconds(callerMilliseconds)));
}

Microseconds Deadline::remaining(MonotonicTime now) const
{
    return std::max(Microseconds(0), m_at - now);
}

Milliseconds Deadline::headerValue(MonotonicTime now) const
{
    return std::chrono::floor<Milliseconds>(remaining(now));
}

} // namespace dandeliondock
