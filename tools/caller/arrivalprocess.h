#ifndef HIBISCUS_CALLER_ARRIVALPROCESS_H
#define HIBISCUS_CALLER_ARRIVALPROCESS_H

#include "core/millis.h"

#include <cstdint>
#include <random>

namespace Hibiscus
{

/** Request rate of a run, which starts at time 0 and has one surge. */
struct ArrivalSettings {
    double rate = 0; ///< Per second.
    double surgeFactor = 1;
    TimePoint surgeStart;
    TimePoint surgeEnd;
};

/** Arrival times of a Poisson process with a surge, independent of the responses to earlier requests. */
class ArrivalProcess
{
public:
    ArrivalProcess(const ArrivalSettings &settings, std::uint64_t seed);

    /** Time of the next arrival; infinite if there is none. */
    TimePoint next() const
    {
        return next_;
    }
    /** Draws the arrival after next(). */
    void advance();

private:
    double rateAt(TimePoint time) const;
    /** End of the interval of constant rate that contains @p time; infinite for the last one. */
    TimePoint boundaryAfter(TimePoint time) const;

    ArrivalSettings settings_;
    std::mt19937_64 engine_;
    TimePoint next_;
};

} // namespace Hibiscus

#endif
