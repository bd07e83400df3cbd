#include "quarantine/suspectslot.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("SuspectSlot: holds one attempt at a time")
{
    // Guards against two suspects on one server, and a late release that frees the slot of another attempt.
    SuspectSlot slot;
    CHECK(slot.tryTake(AttemptId(1)));
    CHECK(slot.tryTake(AttemptId(1)));
    CHECK_FALSE(slot.tryTake(AttemptId(2)));
    slot.release(AttemptId(1));
    CHECK(slot.tryTake(AttemptId(2)));
    slot.release(AttemptId(1));
    CHECK_FALSE(slot.tryTake(AttemptId(3)));
}
