#ifndef HIBISCUS_CTL_SLEEPER_H
#define HIBISCUS_CTL_SLEEPER_H

#include "core/millis.h"

namespace Hibiscus
{

/** Waits between two polls. Commands get it passed in, so that tests don't have to wait in real time. */
class Sleeper
{
public:
    virtual ~Sleeper() = default;
    virtual void sleep(Millis duration) = 0;
};

/** Sleeper that blocks the calling thread. */
class ThreadSleeper : public Sleeper
{
public:
    void sleep(Millis duration) override;
};

} // namespace Hibiscus

#endif
