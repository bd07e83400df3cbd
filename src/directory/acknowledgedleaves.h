#ifndef HIBISCUS_DIRECTORY_ACKNOWLEDGEDLEAVES_H
#define HIBISCUS_DIRECTORY_ACKNOWLEDGEDLEAVES_H

#include "core/pausesafeclock.h"

namespace Hibiscus
{

/**
 * Whether this process of a daemon knows what its earlier processes acknowledged: which servers beside it drain or have
 * left. Until then a check-in can't be told from a late one of a server that has left.
 *
 * The store holds what was acknowledged, so an up-to-date listing that was read since the start tells. Without the
 * store time tells: a check-in that arrives long after the start was sent after it, by a server that hadn't left
 * before.
 */
class AcknowledgedLeaves
{
public:
    /** Longest time between sending and arrival of a check-in. */
    static constexpr Millis kMaximumCheckInDelay{10000};

    /** @p clock must outlive the object. */
    explicit AcknowledgedLeaves(const Clock &clock);

    /** To be called at least once a second: time for which the process is paused doesn't count. */
    void tick();
    /** An up-to-date listing of the store has been read. */
    void listingReceived();
    /** A check-in of the present local server arrives. */
    void checkInReceived();

    bool areKnown() const
    {
        return areKnown_;
    }

private:
    PauseSafeClock clock_;
    TimePoint startedAt_; ///< Of this process.
    bool areKnown_ = false;
};

} // namespace Hibiscus

#endif
