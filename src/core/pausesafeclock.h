#ifndef HIBISCUS_CORE_PAUSESAFECLOCK_H
#define HIBISCUS_CORE_PAUSESAFECLOCK_H

#include "core/clock.h"

namespace Hibiscus
{

/**
 * Clock that does not advance while the process is paused.
 *
 * It moves only in tick(), by the time since the previous tick but by at most 1 s. A process that resumes therefore
 * finds its records as old as they were before the pause, while messages that arrived during the pause are still
 * unread.
 */
class PauseSafeClock : public Clock
{
public:
    /** @p clock must outlive this object. */
    explicit PauseSafeClock(const Clock &clock);

    /** Advances the clock. Must be called at least once a second, or else the clock runs slow. */
    void tick();

    /** Instant of the last tick. */
    TimePoint now() const override;

private:
    const Clock &clock_;
    TimePoint lastReading_;
    TimePoint now_;
};

} // namespace Hibiscus

#endif
