#ifndef HIBISCUS_CTL_WAITING_H
#define HIBISCUS_CTL_WAITING_H

#include "core/clock.h"
#include "ctl/pause.h"
#include "ctl/progress.h"

namespace Hibiscus
{

/** What a command that waits needs from its surroundings. */
struct Waiting {
    const Clock &clock;
    Pause &pause;
    Progress &progress;
};

} // namespace Hibiscus

#endif
