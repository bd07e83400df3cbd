#include "core/boottimeclock.h"

#include <ctime>

namespace Hibiscus
{

TimePoint BootTimeClock::now() const
{
    constexpr double kMillisPerSecond = 1000;
    constexpr double kNanosPerMilli = 1e6;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return {static_cast<double>(time.tv_sec) * kMillisPerSecond + static_cast<double>(time.tv_nsec) / kNanosPerMilli};
}

} // namespace Hibiscus
