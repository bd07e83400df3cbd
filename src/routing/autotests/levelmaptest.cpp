#include "routing/levelmap.h"
#include "core/ids.h"
#include "core/manualclock.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("LevelMap: calls below the reported level are shed until the report is 2 s old")
{
    // Guards against sending calls that would be shed, and against shedding calls because of an expired report.
    ManualClock clock;
    LevelMap<ServiceName> levels(clock);
    const ServiceName service("records");
    CHECK(levels.admits(service, levelOf(0, 0)));
    levels.report(service, levelOf(1, 5));
    CHECK_FALSE(levels.admits(service, levelOf(1, 4)));
    CHECK(levels.admits(service, levelOf(1, 5)));
    CHECK(levels.admits(ServiceName("listings"), levelOf(0, 0)));
    levels.report(service, levelOf(0, 7));
    CHECK(levels.levelFor(service) == levelOf(0, 7));
    clock.advance(Millis{1999});
    levels.prune();
    CHECK_FALSE(levels.admits(service, levelOf(0, 6)));
    clock.advance(Millis{1});
    CHECK(levels.admits(service, levelOf(0, 0)));
    levels.prune();
    CHECK(levels.size() == 0);
}
