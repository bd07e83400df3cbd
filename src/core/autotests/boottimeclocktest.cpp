#include "core/boottimeclock.h"

#include <fstream>

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("BootTimeClock: it runs with the system's uptime, which counts the time for which the host is suspended")
{
    // Guards against a clock that stands still while the other hosts take what this one holds as expired.
    constexpr double kMillisPerSecond = 1000;
    constexpr double kRounding = 20; // In ms; the uptime has two decimals.
    const BootTimeClock clock;
    const TimePoint before = clock.now();
    double uptime = 0;
    std::ifstream("/proc/uptime") >> uptime;
    const TimePoint after = clock.now();
    CHECK(uptime * kMillisPerSecond >= before.value - kRounding);
    CHECK(uptime * kMillisPerSecond <= after.value + kRounding);
}
