#ifndef HIBISCUS_BACKEND_STANDIN_LOADREPORT_H
#define HIBISCUS_BACKEND_STANDIN_LOADREPORT_H

#include "backend_standin/backendfaults.h"
#include "core/millis.h"

#include <deque>
#include <string>

namespace Hibiscus
{

/** State of a server at one time. */
struct LoadSample {
    TimePoint time;
    int running = 0;
    int waiting = 0;
    bool draining = false;
};

/** What a server says about itself, which may be late or wrong. */
class LoadReport
{
public:
    /** Keeps @p sample; to be called regularly. */
    void record(const LoadSample &sample);
    /** The sample that is reported at @p current.time: @p current itself or, with a lag, the last one old enough. */
    LoadSample seen(const LoadSample &current, const BackendFaults &faults) const;

private:
    std::deque<LoadSample> history_;
};

} // namespace Hibiscus

#endif
