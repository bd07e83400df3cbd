#ifndef HIBISCUS_CALLER_ARRIVALPROCESS_H
#define HIBISCUS_CALLER_ARRIVALPROCESS_H

#include "core/millis.h"

#include <cstdint>
#include <random>

namespace Hibiscus
{

/** Rate over the time of a run, which starts at 0. */
struct ArrivalSettings {
    double rate = 0; ///< Per second.
    double surgeFactor = 1;
    TimePoint surgeStart;
    TimePoint surgeEnd;
};

/** Arrival times of a Poisson process with a surge; they don't depend on how the calls fare. */
class ArrivalProcess
{
public:
    ArrivalProcess(const ArrivalSettings &settings, std::uint64_t seed);

    /** Time of the next arrival, which pop() moves on. */
    TimePoint next() const
    {
        return next_;
    }
    void pop();

private:
    double rateAt(TimePoint time) const;
    /** End of the stretch of constant rate that contains @p time. */
    TimePoint boundaryAfter(TimePoint time) const;

    ArrivalSettings settings_;
    std::mt19937_64 engine_;
    TimePoint next_;
};

} // namespace Hibiscus

#endif
