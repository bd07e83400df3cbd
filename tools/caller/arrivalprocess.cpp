#include "caller/arrivalprocess.h"

#include <limits>

namespace Hibiscus
{

namespace
{

constexpr TimePoint kNever{std::numeric_limits<double>::infinity()};

} // namespace

ArrivalProcess::ArrivalProcess(const ArrivalSettings &settings, std::uint64_t seed)
    : settings_(settings)
    , engine_(seed)
{
    advance();
}

void ArrivalProcess::advance()
{
    TimePoint from = next_;
    while (from < kNever) {
        const TimePoint boundary = boundaryAfter(from);
        const double rate = rateAt(from);
        if (rate > 0) {
            const TimePoint candidate = from + Millis{std::exponential_distribution<double>(rate / 1000)(engine_)};
            if (candidate < boundary) {
                next_ = candidate;
                return;
            }
        }
        // A Poisson process is memoryless, so the next arrival can be drawn again where the rate changes.
        from = boundary;
    }
    next_ = kNever;
}

double ArrivalProcess::rateAt(TimePoint time) const
{
    const bool inSurge = time >= settings_.surgeStart && time < settings_.surgeEnd;
    return settings_.rate * (inSurge ? settings_.surgeFactor : 1);
}

TimePoint ArrivalProcess::boundaryAfter(TimePoint time) const
{
    if (time < settings_.surgeStart && settings_.surgeStart < settings_.surgeEnd) {
        return settings_.surgeStart;
    }
    return time < settings_.surgeEnd ? settings_.surgeEnd : kNever;
}

} // namespace Hibiscus
