#ifndef HIBISCUS_MESH_DRAINSEQUENCE_H
#define HIBISCUS_MESH_DRAINSEQUENCE_H

#include "core/clock.h"
#include "daemon/periodictimers.h"

#include <functional>

namespace Hibiscus
{

/** Steps by which a daemon that is told to stop hands over its work. */
class DrainSequence
{
public:
    struct Steps {
        std::function<void()> begin;
        std::function<void()> detach; ///< The local server gets no new work from now on.
        std::function<void()> closeCallers; ///< Repeated until the end.
        std::function<bool()> isIdle; ///< No request is in progress.
        std::function<void()> end; ///< The process may end.
    };

    /** @p gracePeriod is the time from begin() until the process is killed. @p timers and @p clock must outlive the
     * object. */
    DrainSequence(PeriodicTimers &timers, const Clock &clock, Millis gracePeriod, Steps steps);

    /** Begins the sequence; does nothing once it has begun. */
    void begin();

    bool hasBegun() const
    {
        return hasBegun_;
    }
    /** The local server gets no new work from this daemon. */
    bool isDetached() const
    {
        return isDetached_;
    }

private:
    void tick();

    PeriodicTimers &timers_;
    const Clock &clock_;
    Millis gracePeriod_;
    Steps steps_;
    bool hasBegun_ = false;
    bool isDetached_ = false;
    TimePoint begunAt_;
};

} // namespace Hibiscus

#endif
