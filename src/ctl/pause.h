#ifndef HIBISCUS_CTL_PAUSE_H
#define HIBISCUS_CTL_PAUSE_H

#include "core/millis.h"

namespace Hibiscus
{

/** Lets time pass between two polls. Commands take it from outside, so that tests need not wait. */
class Pause
{
public:
    virtual ~Pause() = default;
    virtual void wait(Millis duration) = 0;
};

/** Pause in which the thread sleeps. */
class SleepingPause : public Pause
{
public:
    void wait(Millis duration) override;
};

} // namespace Hibiscus

#endif
