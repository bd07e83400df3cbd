#ifndef HIBISCUS_BENCH_PROCESSORCLOCK_H
#define HIBISCUS_BENCH_PROCESSORCLOCK_H

namespace Hibiscus
{

/** Adds the processor time of the calling thread from construction to destruction to a sum, in microseconds. */
class ProcessorClock
{
public:
    explicit ProcessorClock(double &sum);
    ~ProcessorClock();
    ProcessorClock(const ProcessorClock &) = delete;
    ProcessorClock &operator=(const ProcessorClock &) = delete;

    /** Processor time of the calling thread in microseconds. */
    static double now();

private:
    double &sum_;
    double start_;
};

} // namespace Hibiscus

#endif
