#include "directory/acknowledgedleaves.h"

#include "core/manualclock.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr Millis kTick{500};

/** Lets @p duration pass in a process that runs. */
void run(ManualClock &clock, AcknowledgedLeaves &leaves, Millis duration)
{
    for (Millis passed; passed < duration; passed = passed + kTick) {
        clock.advance(kTick);
        leaves.tick();
    }
}

} // namespace

TEST_CASE("AcknowledgedLeaves: an up-to-date listing tells which servers have left")
{
    // Guards against work for a server whose leave was acknowledged by an earlier process of the daemon.
    ManualClock clock;
    AcknowledgedLeaves leaves(clock);
    CHECK_FALSE(leaves.areKnown());
    leaves.listingReceived();
    CHECK(leaves.areKnown());
}

TEST_CASE("AcknowledgedLeaves: without the store only a check-in that can't be from before the start counts")
{
    // Guards against a late check-in that is taken for a start, and against a server that gets no work for as long as
    // the store is away.
    ManualClock clock;
    AcknowledgedLeaves leaves(clock);
    leaves.checkInReceived();
    run(clock, leaves, AcknowledgedLeaves::kMaximumCheckInDelay - kTick);
    leaves.checkInReceived();
    CHECK_FALSE(leaves.areKnown());
    run(clock, leaves, kTick);
    CHECK_FALSE(leaves.areKnown());
    leaves.checkInReceived();
    CHECK(leaves.areKnown());
}

TEST_CASE("AcknowledgedLeaves: a check-in that waited while the process was paused may be from before the start")
{
    // Guards against a late check-in that a process reads after it was frozen.
    ManualClock clock;
    AcknowledgedLeaves leaves(clock);
    clock.advance(AcknowledgedLeaves::kMaximumCheckInDelay * 2);
    leaves.checkInReceived();
    CHECK_FALSE(leaves.areKnown());
    leaves.tick();
    leaves.checkInReceived();
    CHECK_FALSE(leaves.areKnown());
}
