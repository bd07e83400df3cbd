#include "core/pausesafeclock.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

// A gap between two ticks that is longer than this is a pause of the process, not elapsed working time.
constexpr Millis kLongestTick{1000};

} // namespace

PauseSafeClock::PauseSafeClock(const Clock &clock)
    : clock_(clock)
    , lastReading_(clock.now())
{
}

void PauseSafeClock::tick()
{
    const TimePoint reading = clock_.now();
    now_ = now_ + std::clamp(reading - lastReading_, Millis{0}, kLongestTick);
    lastReading_ = reading;
}

TimePoint PauseSafeClock::now() const
{
    return now_;
}

} // namespace Hibiscus
