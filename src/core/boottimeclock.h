#ifndef HIBISCUS_CORE_BOOTTIMECLOCK_H
#define HIBISCUS_CORE_BOOTTIMECLOCK_H

#include "core/clock.h"

namespace Hibiscus
{

/**
 * Monotonic clock of the operating system that also counts the time for which the host is suspended, which SteadyClock
 * doesn't. For what other hosts take as expired meanwhile.
 */
class BootTimeClock : public Clock
{
public:
    TimePoint now() const override;
};

} // namespace Hibiscus

#endif
