#ifndef HIBISCUS_CORE_CLOCK_H
#define HIBISCUS_CORE_CLOCK_H

#include "core/millis.h"

namespace Hibiscus
{

/** Source of the current time. Decision libraries take it from outside, so that tests can drive it. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** Current instant. Never goes backwards. */
    virtual TimePoint now() const = 0;
};

} // namespace Hibiscus

#endif
