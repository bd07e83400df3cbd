#include "quarantine/suspectslot.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("SuspectSlot: holds one attempt at a time")
{
    // Guards against two suspects on one server, and a late release that frees the slot of another attempt.
    SuspectSlot slot;
    CHECK(slot.tryAcquire(AttemptId(1)));
    CHECK(slot.tryAcquire(AttemptId(1)));
    CHECK_FALSE(slot.tryAcquire(AttemptId(2)));
    slot.release(AttemptId(1));
    CHECK(slot.tryAcquire(AttemptId(2)));
    slot.release(AttemptId(1));
    CHECK_FALSE(slot.tryAcquire(AttemptId(3)));
}
