#ifndef HIBISCUS_BACKEND_STANDIN_LOADREPORT_H
#define HIBISCUS_BACKEND_STANDIN_LOADREPORT_H

#include "backend_standin/backendfaults.h"
#include "core/millis.h"

#include <deque>
#include <string>

namespace Hibiscus
{

/** Load and drain state of a server at one time. */
struct LoadSample {
    TimePoint time;
    int running = 0;
    int waiting = 0;
    bool draining = false;
};

/** History of the load of a server, from which delayed or wrong reports are made. */
class LoadReport
{
public:
    /** Adds @p sample to the history. Must be called at regular intervals. */
    void record(const LoadSample &sample);
    /**
     * Sample that is reported at @p current.time: @p current itself or, with a report lag, the latest sample that is at
     * least as old as the lag. The load factor of @p faults is applied.
     */
    LoadSample reportedSample(const LoadSample &current, const BackendFaults &faults) const;

private:
    std::deque<LoadSample> samples_;
};

} // namespace Hibiscus

#endif
