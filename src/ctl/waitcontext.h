#ifndef HIBISCUS_CTL_WAITCONTEXT_H
#define HIBISCUS_CTL_WAITCONTEXT_H

#include "core/clock.h"
#include "ctl/progress.h"
#include "ctl/sleeper.h"

namespace Hibiscus
{

/** Clock, sleeper and progress output of a command that waits. */
struct WaitContext {
    const Clock &clock;
    Sleeper &sleeper;
    Progress &progress;
};

} // namespace Hibiscus

#endif
