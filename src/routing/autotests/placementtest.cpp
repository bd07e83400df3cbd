#include "placementmodel.h"
#include "routing/domainspill.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

/** A server of 20 slots and 20 ms completes 1,000 requests a second. */
constexpr double kCalm = 450;
constexpr Millis kDuration{10000};

/** Mean duration without any wait. */
constexpr double kAloneDuration = kServiceTime;

} // namespace

TEST_CASE("otherDomainShare: all stay while there is room, and what leaves grows with what is lacking")
{
    // Guards against hops between domains without need, and against all daemons leaving or returning at once.
    CHECK(otherDomainShare({.busyShare = 0.7}, {.busyShare = 0}) == 0);
    double before = 0;
    for (const double busy : {0.75, 0.85, 0.95, 1.0}) {
        const double share = otherDomainShare({.busyShare = busy}, {.busyShare = 0});
        CHECK(share > before);
        before = share;
    }
    CHECK(before == 1);
    CHECK(otherDomainShare({.busyShare = 1}, {.busyShare = 1}) == 0);
}

TEST_CASE("Placement: requests stay in their domain on a calm day")
{
    // Guards against a balancer that compares its own few requests in flight and so sends half of them across.
    PlacementModel model;
    for (const DomainResult &result : model.play(kDuration, {kCalm, kCalm, kCalm, kCalm})) {
        CHECK(result.leftShare() < 0.02);
        CHECK(result.refused == 0);
        CHECK(result.meanDuration() < 1.1 * kAloneDuration);
    }
}

TEST_CASE("Placement: a domain at 1.7 times the load that it can carry is helped by the others")
{
    // Guards against requests that queue or are refused beside the free slots of other domains.
    PlacementModel model;
    const auto results = model.play(kDuration, {1700, kCalm, kCalm, kCalm});
    CHECK(results[0].refused < 0.005 * results[0].sent);
    CHECK(results[0].leftShare() > 0.4);
    for (const std::size_t other : {1U, 2U, 3U}) {
        CHECK(results[other].refused < 0.005 * results[other].sent);
        CHECK(results[other].meanDuration() < 1.5 * kAloneDuration);
    }
}

TEST_CASE("Placement: when all domains are overloaded, requests are not sent in circles")
{
    // Guards against traffic between domains that helps nobody.
    PlacementModel model;
    int sent = 0;
    int left = 0;
    int refused = 0;
    for (const DomainResult &result : model.play(kDuration, {1300, 1300, 1300, 1300})) {
        sent += result.sent;
        left += result.left;
        refused += result.refused;
    }
    // 1,300 arrivals for 1,000 completions leave 23% to refuse, whatever the placing.
    CHECK(refused < 0.27 * sent);
    CHECK(left < 0.1 * sent);
}

TEST_CASE("Placement: a domain without a server uses the others, and its work comes home as its server returns")
{
    // Guards against refusals while other domains have room, against a herd that meets a server that just started, and
    // against hops for longer than the server needs.
    PlacementModel model;
    model.servers[0].present = false;
    model.publish();
    const auto without = model.play(kDuration, {kCalm, kCalm, kCalm, kCalm});
    CHECK(without[0].refused == 0);
    CHECK(without[0].leftShare() == 1);

    model.servers[0].present = true;
    model.publish();
    model.servers[0].mostWaiting = 0;
    const auto back = model.play(Millis{1000}, {kCalm, kCalm, kCalm, kCalm});
    CHECK(back[0].refused == 0);
    CHECK(model.servers[0].mostWaiting <= PlacementModel::kDaemonsPerDomain);
    CHECK(back[0].leftShare() > 0);
    CHECK(back[0].leftShare() < 0.2);
    CHECK(model.play(kDuration, {kCalm, kCalm, kCalm, kCalm})[0].leftShare() < 0.05);
}

TEST_CASE("Placement: a server that turns five times slower is left by most, and the others still answer in time")
{
    // Guards against callers that wait for their own domain's slow server although others are fast and have room.
    PlacementModel model;
    model.servers[0].serviceTime = 5 * kServiceTime;
    const std::vector<double> light(PlacementModel::kDomains, 150);
    model.play(Millis{1000}, light);
    const auto results = model.play(kDuration, light);
    CHECK(results[0].leftShare() > 0.8);
    CHECK(results[0].meanDuration() < 2 * kAloneDuration);
    model.servers[0].serviceTime = kServiceTime;
    model.play(Millis{1000}, light);
    CHECK(model.play(kDuration, light)[0].leftShare() < 0.05);
}

TEST_CASE("Placement: a server that fails part of its requests is left by most")
{
    // Guards against a loss that each domain has to bear alone while the servers of others are sound.
    PlacementModel model;
    model.servers[0].failingShare = 0.45;
    model.play(Millis{1000}, {kCalm, kCalm, kCalm, kCalm});
    const auto results = model.play(kDuration, {kCalm, kCalm, kCalm, kCalm});
    CHECK(results[0].refused < 0.06 * results[0].sent);
    CHECK(results[1].meanDuration() < 1.5 * kAloneDuration);
}

TEST_CASE("Placement: what a server does not take under its limit is served by the other domains in time")
{
    // Guards against requests that are refused, or that queue for a server in need, beside free slots elsewhere.
    PlacementModel model;
    model.servers[0].rateLimit.name({150}, model.clock.now());
    model.play(Millis{1000}, {kCalm, kCalm, kCalm, kCalm});
    const auto results = model.play(kDuration, {kCalm, kCalm, kCalm, kCalm});
    CHECK(results[0].refused < 0.005 * results[0].sent);
    CHECK(results[0].meanDuration() < 1.5 * kAloneDuration);
    // Its own domain uses the larger part of what the server takes, which is a third of the domain's load.
    CHECK(results[0].leftShare() < 0.85);
    for (const std::size_t other : {1U, 2U, 3U}) {
        CHECK(results[other].refused == 0);
        CHECK(results[other].meanDuration() < 1.2 * kAloneDuration);
    }
}
