#ifndef HIBISCUS_CORE_CLOCK_H
#define HIBISCUS_CORE_CLOCK_H

#include "core/millis.h"

namespace Hibiscus
{

/** Source of the current time. Components that make decisions receive it as a parameter, so that tests control it. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** Current instant. Never goes backwards. */
    virtual TimePoint now() const = 0;
};

} // namespace Hibiscus

#endif
