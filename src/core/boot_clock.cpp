#include <dandeliondock/core/boot_clock.h>

#include <ctime>

namespace dandeliondock {

BootClock::time_point BootClock::now() noexcept
{
    timespec time{};
    // Fails only for a clock that the kernel does not have; CLOCK_BOOTTIME exists since Linux 2.6.39.
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec)
                                                           + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace dandeliondock
