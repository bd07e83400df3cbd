#ifndef HIBISCUS_DAEMON_SERVERQUALITY_H
#define HIBISCUS_DAEMON_SERVERQUALITY_H

#include "core/ids.h"
#include "core/millis.h"
#include "daemon/latencytracker.h"

namespace Hibiscus
{

/**
 * How well the local backend server has worked recently: its own service time compared with its usual one for the same
 * kind of request, and the share of requests that it failed by itself. Calls that it waits for do not count.
 */
class ServerQuality
{
public:
    /** Records a complete response of the server; @p key names the kind of request. */
    void recordTime(const ServiceName &key, Millis ownTime);

    /** Records whether the server failed or rejected a request through no fault of the calls below it. */
    void recordResult(bool failed);

    /** A new process of the server has started; its failures are those of the process before it. */
    void reset();

    /** Recent own service time as a multiple of the usual one. */
    double slowdown() const;

    /** Share of the recent requests that the server failed, from 0 to 1. */
    double failingShare() const;

private:
    LatencyTracker usual_;
    double slowdown_ = 1;
    double failingShare_ = 0;
    int slowSamples_ = 0;
};

} // namespace Hibiscus

#endif
