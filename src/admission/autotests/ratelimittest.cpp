#include "admission/ratelimit.h"

#include "queuemodel.h"

#include <vector>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr Millis kStep{1};
constexpr double kMillisPerSecond = 1000;

/** Times in ms at which requests start that want to start at any time, for @p duration. */
std::vector<double> saturate(RateLimit &limit, ManualClock &clock, Millis duration)
{
    std::vector<double> starts;
    for (const TimePoint end = clock.now() + duration; clock.now() < end; clock.advance(kStep)) {
        while (limit.canStart(clock.now())) {
            limit.recordStart(clock.now());
            starts.push_back(clock.now().value);
        }
    }
    return starts;
}

/** Most starts in any span of 4 s. */
std::size_t mostStarts(const std::vector<double> &starts)
{
    constexpr double kSpan = 4000;
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < starts.size(); ++last) {
        while (starts[last] - starts[first] >= kSpan) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

TEST_CASE(
    "RateLimit: in any 4 s no more requests start than the users' rule allows, and no fewer than the server takes")
{
    // Guards against bursts after a pause or a change of the limit, and against a limit near 0 that nobody tests.
    for (const double perSecond : {0.0, 0.3, 1.0, 19.8, 900.0}) {
        CAPTURE(perSecond);
        ManualClock clock;
        RateLimit limit;
        limit.name({perSecond}, clock.now());
        clock.advance(Millis{60000});
        limit.name({perSecond}, clock.now());
        const auto starts = saturate(limit, clock, Millis{20000});
        CHECK(mostStarts(starts) <= 1.5 * perSecond * 4 + 5);
        CHECK(static_cast<double>(starts.size()) >= 20 * std::max(perSecond, RateLimit::kMinimum.perSecond) - 1);
    }
}

TEST_CASE("RateLimit: a lower limit holds at once, whatever the higher one left")
{
    // Guards against tokens of the former limit that are spent under the new one.
    ManualClock clock;
    RateLimit limit;
    limit.name({400}, clock.now());
    clock.advance(Millis{1000});
    limit.name({2}, clock.now());
    CHECK(mostStarts(saturate(limit, clock, Millis{3900})) <= 9);
    CHECK(limit.freeShare(clock.now()) < 1);
    CHECK(limit.timeUntilStart(3, clock.now()) > Millis{1000});
}

TEST_CASE("RateLimit: only a response to a request that was sent after the limit was named ends it")
{
    // Guards against a late response from before the limit that lifts it for a moment.
    ManualClock clock;
    RateLimit limit;
    const TimePoint sentBefore = clock.now();
    clock.advance(Millis{100});
    limit.name({5}, clock.now());
    limit.nameNone(sentBefore);
    CHECK(limit.value() == RequestRate{5});
    clock.advance(Millis{100});
    const TimePoint sentAfter = clock.now();
    limit.nameNone(sentAfter);
    CHECK(!limit.value());
    CHECK(limit.canStart(clock.now()));
    CHECK(limit.freeShare(clock.now()) == 1);
}

TEST_CASE("RateLimit: a hint counts until the server itself was heard, and not for its successor")
{
    // Guards against a restarted daemon that forgets the limit, and against a limit that outlives the server.
    ManualClock clock;
    RateLimit restarted;
    restarted.hint({5}, clock.now());
    CHECK(restarted.value() == RequestRate{5});
    clock.advance(Millis{10});
    restarted.nameNone(clock.now());
    restarted.hint({5}, clock.now());
    CHECK(!restarted.value());

    RateLimit other;
    other.name({5}, clock.now());
    other.serverReplaced();
    CHECK(!other.value());
    other.hint({5}, clock.now());
    CHECK(!other.value());
}

TEST_CASE("AdmissionController: the scarce rate goes to the important requests, and none of it is left unused")
{
    // Guards against a limit that holds back the important requests, or that wastes what the server takes.
    constexpr double kPerSecond = 100;
    constexpr double kSeconds = 20;
    QueueModel model(200);
    Phase phase;
    phase.arrivals = 0.2;
    phase.share = {0.7, 0.3};
    model.run(phase, 5000);
    model.controller().rateLimit().name({kPerSecond}, TimePoint{5000});
    model.run(phase, 3000);
    const auto [low, high] = model.run(phase, kSeconds * kMillisPerSecond);
    CHECK(low.completed + high.completed <= (1.05 * kPerSecond) * kSeconds);
    CHECK(low.completed + high.completed >= (0.95 * kPerSecond) * kSeconds);
    CHECK(high.completed >= 0.98 * high.arrived);
    CHECK(model.controller().limit() <= 4);
}
