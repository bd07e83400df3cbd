#ifndef HIBISCUS_CORE_MANUALCLOCK_H
#define HIBISCUS_CORE_MANUALCLOCK_H

#include "core/clock.h"

namespace Hibiscus
{

/** Clock for tests that moves only in advance(). */
class ManualClock : public Clock
{
public:
    TimePoint now() const override
    {
        return now_;
    }

    void advance(Millis duration)
    {
        now_ = now_ + duration;
    }

private:
    TimePoint now_{1000};
};

} // namespace Hibiscus

#endif
