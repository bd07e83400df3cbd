#include "core/steadyclock.h"

#include <chrono>

namespace Hibiscus
{

TimePoint SteadyClock::now() const
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return {std::chrono::duration<double, std::milli>(sinceStart).count()};
}

} // namespace Hibiscus
