#include "daemon/serverquality.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

const ServiceName kShort("short");
const ServiceName kLong("long");

void record(ServerQuality &quality, int count, double factor)
{
    for (int i = 0; i < count; ++i) {
        quality.recordTime(i % 2 == 0 ? kShort : kLong, Millis{(i % 2 == 0 ? 10 : 300) * factor});
    }
}

} // namespace

TEST_CASE("ServerQuality: a server that turns slow is seen soon and for as long as it stays slow")
{
    // Guards against a baseline that follows the slow times, so that the server seems sound again while it is slow.
    ServerQuality quality;
    record(quality, 2000, 1);
    CHECK(quality.slowdown() < 1.3);
    record(quality, 40, 5);
    CHECK(quality.slowdown() > 3);
    record(quality, 8000, 5);
    CHECK(quality.slowdown() > 3);
    record(quality, 80, 1);
    CHECK(quality.slowdown() < 1.3);
}

TEST_CASE("ServerQuality: more long requests do not make a server slow")
{
    // Guards against a change of the mix of requests that is taken for a slow server.
    ServerQuality quality;
    record(quality, 200, 1);
    for (int i = 0; i < 200; ++i) {
        quality.recordTime(kLong, Millis{300});
    }
    CHECK(quality.slowdown() < 1.3);
}

TEST_CASE("ServerQuality: the failing share follows the recent requests and ends with the process")
{
    // Guards against a server that is avoided for the failures of its predecessor.
    ServerQuality quality;
    for (int i = 0; i < 200; ++i) {
        quality.recordResult(i % 2 == 0);
    }
    CHECK(quality.failingShare() > 0.35);
    CHECK(quality.failingShare() < 0.65);
    quality.reset();
    CHECK(quality.failingShare() == 0);
}
