#include "admission/concurrencylimit.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>

using namespace Hibiscus;

namespace
{

constexpr int kSlots = 100;

/** Drives a limit that is always fully used, with windows of 100 ms and fixed service times. */
struct SaturatedServer {
    ConcurrencyLimit limit{kSlots, {0}};
    TimePoint now{0};
    int lowest = kSlots;

    void run(double milliseconds, const std::function<double(int)> &ownTime, double childTime = 0)
    {
        for (const TimePoint end = now + Millis{milliseconds}; now < end; now = now + Millis{100}) {
            const int inFlight = limit.value();
            const double own = ownTime(inFlight);
            const int completed = static_cast<int>(inFlight * 100 / (own + childTime));
            for (int i = 0; i < completed; ++i) {
                limit.record({.total = {own + childTime}, .waitingForChildren = {childTime}}, inFlight - 1);
            }
            limit.closeWindow(now + Millis{100}, inFlight);
            lowest = std::min(lowest, limit.value());
        }
    }
};

double twentyMs(int /*inFlight*/)
{
    return 20;
}

} // namespace

TEST_CASE("ConcurrencyLimit: time spent waiting for child calls does not lower it")
{
    // Guards against a slow deep service being taken for local overload.
    SaturatedServer server;
    server.run(5000, twentyMs);
    for (const double childTime : {100.0, 400.0, 1600.0}) {
        server.run(3000, twentyMs, childTime);
    }
    CHECK(server.lowest == kSlots);
}

TEST_CASE("ConcurrencyLimit: a server that slows down with concurrency gets a lower limit")
{
    // Guards against a limit that ignores local overload. On 20 cores, requests that take 10 ms at low load take 20 ms
    // when 40 are in flight.
    SaturatedServer server;
    server.run(5000, [](int) { return 10.0; });
    const auto shared = [](int inFlight) { return 10.0 * std::max(1.0, inFlight / 20.0); };
    server.run(5000, shared);
    CHECK(server.lowest <= 50);
    server.lowest = kSlots;
    server.run(10000, shared);
    CHECK(server.lowest >= kSlots / 4);
    CHECK(shared(server.limit.value()) <= 10 * 2 * 2);
}

TEST_CASE("ConcurrencyLimit: a shift of the mix to longer requests is not overload")
{
    // Guards against a limit that falls, and throughput with it, whenever requests get longer.
    SaturatedServer server;
    server.run(5000, [](int) { return 10.0; });
    server.run(6000, [](int) { return 50.0; });
    CHECK(server.limit.value() == kSlots);
    server.lowest = kSlots;
    server.run(10000, [](int) { return 50.0; });
    CHECK(server.lowest == kSlots);
}

TEST_CASE("ConcurrencyLimit: it follows the real limit of a server that sheds load, and recovers")
{
    // Guards against a limit above what the server accepts, and one that stays low after a server with free slots shed
    // load.
    SaturatedServer server;
    server.run(3000, twentyMs);
    for (int window = 0; window < 2; ++window) {
        for (int others = server.limit.value() - 1; others >= 60; --others) {
            server.limit.record({.total = {1}, .waitingForChildren = {}, .serverShed = true}, others);
        }
        server.limit.closeWindow(server.now = server.now + Millis{100}, server.limit.value());
    }
    CHECK(server.limit.value() == 60);
    for (int window = 0; window < 20; ++window) {
        server.limit.record({.total = {1}, .waitingForChildren = {}, .serverShed = true}, 0);
        server.limit.closeWindow(server.now = server.now + Millis{100}, 1);
    }
    CHECK(server.limit.value() == kSlots / 4);
    server.run(2000, twentyMs);
    CHECK(server.limit.value() == kSlots);
}

TEST_CASE("ConcurrencyLimit: slow first requests after a start do not lower it")
{
    // Guards against a limit that collapses, or a wrong baseline, because a restarted server is slow at first. The
    // share of the slots that it may use meanwhile is tested with StartupPace.
    SaturatedServer server;
    server.run(5000, twentyMs);
    server.limit.beginColdStart(server.now);
    server.run(2000, [](int) { return 30.0; });
    server.run(7900, [](int) { return 90.0; });
    server.run(1000, twentyMs);
    CHECK(server.lowest == kSlots);
}

TEST_CASE("ConcurrencyLimit: no sequence of samples takes it out of its bounds")
{
    // Guards against a limit of 0, which would stop all work for good, and one above the slots.
    CHECK(rc::check([](const std::vector<std::pair<bool, std::uint16_t>> &samples) {
        const int slots = *rc::gen::inRange(1, 50);
        ConcurrencyLimit limit(slots, {0});
        TimePoint now{0};
        for (const auto &[shed, value] : samples) {
            const ServiceSample sample{
                .total = {value / 10.0}, .waitingForChildren = {value % 7 * 100.0}, .serverShed = shed};
            for (int i = 0; i < value % 40; ++i) {
                limit.record(sample, value % 60);
            }
            if (value % 50 == 0) {
                limit.beginColdStart(now);
            }
            limit.closeWindow(now = now + Millis{value % 300 + 1.0}, value % 60);
            RC_ASSERT(limit.value() >= std::max(1, slots / 4));
            RC_ASSERT(limit.value() <= slots);
        }
    }));
}
