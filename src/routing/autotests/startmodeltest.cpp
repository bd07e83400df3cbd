#include "startmodel.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr double kCold = 3000;

/** A service of which two in three slots are free, and many daemons that each send little. */
constexpr StartLoad kUsual{.servers = 6, .daemons = 80, .slots = 60, .serviceTime = 40, .perSecond = 2400};
/** A service that is half busy. */
constexpr StartLoad kBusy{
    .servers = 12, .daemons = 40, .slots = 58, .serviceTime = 100, .perSecond = 3400, .aim = 400, .deadline = 2000};

void checkFullShare(double coldFactor)
{
    StartModel model(kUsual);
    model.run(3000);
    model.replace(0);
    model.at(0).coldFactor = coldFactor;
    model.publish();
    model.start(0, kCold);
    const double fair = model.timeToFairShare(0);
    const StartResult result = model.run(3000);
    MESSAGE("cold factor " << coldFactor << ": fair share after " << fair << " ms, then in time "
                           << result.share(result.inTime));
    // A server at twice its time answers half as fast, so its share of the load is smaller until it is warm.
    CHECK(fair <= (coldFactor > 1 ? kCold + 1000 : 1500));
    CHECK(result.refused + result.failed == 0);
    CHECK(result.share(result.inTime) > 0.99);
}

} // namespace

TEST_CASE("Start: a server that is cold for 3 s, or warm at once, carries its share as soon as it can")
{
    // Guards against a new server that is met by a tenth of the load for as long as a clock says.
    checkFullShare(1);
    checkFullShare(2);
}

TEST_CASE("Start: many daemons that learn of a server at once don't flood it")
{
    // Guards against a queue at a server that has not answered a single request yet.
    StartModel model({.servers = 6, .daemons = 80, .slots = 60, .serviceTime = 40, .perSecond = 6000});
    model.run(3000);
    model.replace(0);
    model.publish();
    model.start(0, kCold);
    std::size_t longest = 0;
    for (int i = 0; i < 100; ++i) {
        const StartResult result = model.run(10);
        CHECK(result.refused == 0);
        longest = std::max(longest, model.at(0).gate->queued());
    }
    MESSAGE("longest queue " << longest);
    // With half of its slots in use nobody waits for longer than one request takes.
    CHECK(longest <= 30);
}

TEST_CASE("Start: a server that is never well fails hardly any requests, and flapping costs little more")
{
    // Guards against a full share for a server that comes up and fails all that it is given.
    StartModel model(kUsual);
    model.run(3000);
    model.replace(0);
    model.at(0).isSick = true;
    model.publish();
    model.start(0, kCold);
    const StartResult sick = model.run(10000);
    MESSAGE("never well: failed " << sick.share(sick.failed) << ", in time " << sick.share(sick.inTime));
    CHECK(sick.share(sick.failed) < 0.02);
    CHECK(sick.refused == 0);

    model.at(0).isSick = false;
    StartResult flapping;
    for (int i = 0; i < 5; ++i) {
        model.stop(0);
        const StartResult down = model.run(500);
        model.start(0, kCold);
        const StartResult up = model.run(1600);
        flapping.sent += down.sent + up.sent;
        flapping.failed += down.failed + up.failed;
        flapping.refused += down.refused + up.refused;
    }
    MESSAGE("flapping: failed " << flapping.share(flapping.failed) << ", refused " << flapping.refused);
    CHECK(flapping.share(flapping.failed) < 0.005);
    CHECK(flapping.refused == 0);
}

TEST_CASE("Start: ten of twelve servers new at once serve what they can")
{
    // Guards against a release that refuses work because all new servers are held at half their slots for seconds.
    StartModel model(kBusy);
    model.run(3000);
    for (int i = 0; i < 10; ++i) {
        model.replace(i);
    }
    model.publish();
    for (int i = 0; i < 10; ++i) {
        model.start(i, kCold);
    }
    const StartResult first = model.run(1000);
    const StartResult rest = model.run(4000);
    MESSAGE("release: first second refused " << first.share(first.refused) << " in time " << first.share(first.inTime)
                                             << "; then refused " << rest.share(rest.refused) << " in time "
                                             << rest.share(rest.inTime));
    CHECK(first.share(first.refused) < 0.05);
    CHECK(rest.share(rest.refused) < 0.005);
    CHECK(rest.share(rest.inTime) > 0.9);
}

TEST_CASE("Start: all servers and daemons new after a loss of power serve what they can at once")
{
    // Guards against a deployment that comes back and refuses what its servers could run.
    // Three quarters of what they can do while they are cold.
    StartLoad load = kBusy;
    load.perSecond = 2600;
    StartModel model(load);
    model.run(3000);
    for (int i = 0; i < kBusy.servers; ++i) {
        model.replace(i);
    }
    model.restartDaemons();
    for (int i = 0; i < kBusy.servers; ++i) {
        model.start(i, kCold);
    }
    const StartResult first = model.run(1500);
    const StartResult cold = model.run(1500);
    const StartResult warm = model.run(2000);
    MESSAGE("power: first 1.5 s refused " << first.share(first.refused) << "; then " << cold.share(cold.refused)
                                          << "; warm " << warm.share(warm.refused) << " in time "
                                          << warm.share(warm.inTime));
    CHECK(first.share(first.refused) < 0.15);
    CHECK(cold.share(cold.refused) < 0.1);
    CHECK(warm.share(warm.refused) < 0.005);
}
