#ifndef HIBISCUS_CORE_STEADYCLOCK_H
#define HIBISCUS_CORE_STEADYCLOCK_H

#include "core/clock.h"

namespace Hibiscus
{

/** Monotonic clock of the operating system; it keeps running while the process is stopped. */
class SteadyClock : public Clock
{
public:
    TimePoint now() const override;
};

} // namespace Hibiscus

#endif
