#ifndef HIBISCUS_CORE_CHRONOTIME_H
#define HIBISCUS_CORE_CHRONOTIME_H

#include "core/millis.h"

#include <algorithm>
#include <chrono>

namespace Hibiscus
{

/** Duration for the timers of Asio and the standard library, in whole microseconds; never negative. */
inline std::chrono::microseconds toChrono(Millis duration)
{
    constexpr double kMicrosPerMilli = 1000;
    return std::chrono::microseconds(static_cast<std::int64_t>(std::max(0.0, duration.value) * kMicrosPerMilli));
}

} // namespace Hibiscus

#endif
