#include "bench/processorclock.h"

#include <ctime>

namespace Hibiscus
{

ProcessorClock::ProcessorClock(double &sum)
    : sum_(sum)
    , start_(now())
{
}

ProcessorClock::~ProcessorClock()
{
    sum_ += now() - start_;
}

double ProcessorClock::now()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

} // namespace Hibiscus
