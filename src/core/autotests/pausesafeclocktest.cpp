#include "core/pausesafeclock.h"
#include "core/manualclock.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("PauseSafeClock: a pause adds at most one second")
{
    // Guards against a record that expires during a pause, before the process has read the messages that it must reject
    // because of that record.
    const struct {
        double gap;
        double added;
    } cases[] = {{0, 0}, {400, 400}, {1000, 1000}, {1001, 1000}, {3'600'000, 1000}, {-5, 0}};
    for (const auto &[gap, added] : cases) {
        CAPTURE(gap);
        ManualClock source;
        PauseSafeClock clock(source);
        const TimePoint start = clock.now();
        source.advance(Millis{gap});
        CHECK(clock.now() == start);
        clock.tick();
        CHECK((clock.now() - start).value == doctest::Approx(added));
        clock.tick();
        CHECK((clock.now() - start).value == doctest::Approx(added));
    }
}
