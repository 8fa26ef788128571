#include <dandeliondock/core/time_source.h>

namespace dandeliondock {

TimeSource systemTime()
{
    return TimeSource{[] { return std::chrono::time_point_cast<Microseconds>(std::chrono::steady_clock::now()); },
                      [] { return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now()); }};
}

} // namespace dandeliondock
