#include "admission/startuppace.h"
#include "admission/admissioncontroller.h"
#include "core/manualclock.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>

using namespace Hibiscus;

namespace
{

constexpr int kSlots = 64;
constexpr Millis kColdLeft{3000};
constexpr Millis kUsual{40};

/** Drives a pace whose usable slots are always in use, in windows of 100 ms. */
struct BusyServer {
    StartupPace pace;
    TimePoint now{1000};
    int lowest = kSlots;
    std::optional<Millis> fullAfter;

    /** @p ownTime and @p isGood of the slots in use; empty own time: no request ends. */
    void run(double milliseconds, const std::function<double(int)> &ownTime, const std::function<bool()> &isGood)
    {
        const TimePoint begin = now;
        for (const TimePoint end = now + Millis{milliseconds}; now < end;) {
            const int inUse = pace.usable(kSlots);
            const double own = ownTime(inUse);
            now = now + Millis{100};
            for (int i = 0; own > 0 && i < inUse * 100 / own; ++i) {
                const bool good = isGood();
                pace.record({.total = {own}, .waitingForChildren = {}, .isServersFault = !good}, kUsual, now);
            }
            pace.closeWindow(now, inUse, kSlots);
            lowest = std::min({lowest, inUse, pace.usable(kSlots)});
            if (pace.isFull() && !fullAfter) {
                fullAfter = now - begin;
            }
        }
    }
};

bool good()
{
    return true;
}

bool bad()
{
    return false;
}

std::function<double(int)> taking(double milliseconds)
{
    return [milliseconds](int) { return milliseconds; };
}

} // namespace

TEST_CASE("StartupPace: a server that is cold at twice its time, or warm at once, gets all slots within a second")
{
    // Guards against a server that idles until a clock has run out, and one that has half its slots while it is slow
    // and could use them all.
    for (const double ownTime : {kUsual.value, 2 * kUsual.value}) {
        BusyServer server;
        server.pace.begin(server.now, kColdLeft);
        CHECK(server.pace.usable(kSlots) == kSlots / 2);
        server.run(1000, taking(ownTime), good);
        REQUIRE(server.fullAfter);
        CHECK(*server.fullAfter < Millis{600});
        CHECK(server.lowest == kSlots / 2);
        const auto report = server.pace.takeReport();
        REQUIRE(report);
        CHECK(report->stepsBack == 0);
        CHECK(!server.pace.takeReport());
    }
}

TEST_CASE("StartupPace: a server whose time grows with its share is kept where it answers in time, but not for good")
{
    // Guards against a cold server that is drowned by a full load, and one that never gets all of its slots.
    // A server that works off no more with more than half of its slots in use.
    const auto limited = [](int inUse) { return kUsual.value * std::max(1.0, 2.0 * inUse / kSlots); };
    BusyServer server;
    server.pace.begin(server.now, kColdLeft);
    int windowsAbove = 0;
    for (int i = 0; i < 30; ++i) {
        server.run(100, limited, good);
        windowsAbove += server.pace.usable(kSlots) > kSlots / 2 ? 1 : 0;
    }
    CHECK(!server.pace.isFull());
    CHECK(windowsAbove <= 6);
    server.run(5000, taking(2 * kUsual.value), good);
    CHECK(server.pace.isFull());
}

TEST_CASE("StartupPace: a server that is never well gets down to a request or two, and up again once it is well")
{
    // Guards against a load that meets failures at full rate, and against a server that stays idle after its repair.
    BusyServer server;
    server.pace.begin(server.now, kColdLeft);
    server.run(3000, taking(kUsual.value), bad);
    CHECK(server.pace.usable(kSlots) <= 2);
    CHECK(!server.pace.isFull());
    server.run(2000, taking(kUsual.value), good);
    CHECK(server.pace.isFull());
    CHECK(server.pace.takeReport()->stepsBack >= 4);
}

TEST_CASE("StartupPace: single failures hold a step for a round and no longer")
{
    // Guards against answers lost on the way, or cancelled by callers, that keep a sound server from its slots.
    BusyServer server;
    server.pace.begin(server.now, kColdLeft);
    int count = 0;
    server.run(1500, taking(kUsual.value), [&count] { return ++count % 50 != 0; });
    CHECK(server.pace.isFull());
    CHECK(server.lowest == kSlots / 2);
}

TEST_CASE("StartupPace: a server that flaps begins lower each time, and as usual after it has held for long")
{
    // Guards against each return of a flapping server being met by half a load that it then loses.
    BusyServer server;
    int before = kSlots;
    for (int i = 0; i < 4; ++i) {
        server.pace.begin(server.now, kColdLeft);
        CHECK(server.pace.usable(kSlots) < before);
        before = server.pace.usable(kSlots);
        server.run(1500, taking(kUsual.value), good);
        server.pace.interrupt(server.now);
        server.now = server.now + Millis{500};
    }
    CHECK(before <= kSlots / 16);
    server.pace.begin(server.now, kColdLeft);
    server.run(20000, taking(kUsual.value), good);
    server.pace.interrupt(server.now);
    server.pace.begin(server.now + Millis{500}, kColdLeft);
    CHECK(server.pace.usable(kSlots) == kSlots / 2);
}

TEST_CASE("StartupPace: a server without work has all slots once the time is over that it named")
{
    // Guards against a deployment that has started long before its callers and then meets them at half its slots.
    BusyServer server;
    server.pace.begin(server.now, kColdLeft);
    server.run(kColdLeft.value - 100, taking(0), good);
    CHECK(!server.pace.isFull());
    server.run(200, taking(0), good);
    CHECK(server.pace.isFull());
}

TEST_CASE("StartupPace: two signs of the same start are one start")
{
    // Guards against a check-in after a successful probe that throws away what the answers in between have shown.
    BusyServer server;
    CHECK(server.pace.begin(server.now, Millis{0}));
    server.run(600, taking(kUsual.value), good);
    CHECK(server.pace.isFull());
    CHECK(!server.pace.begin(server.now, kColdLeft));
    CHECK(server.pace.isFull());
}

TEST_CASE("StartupPace: no sequence of events takes it out of its bounds, and good answers always lead to all slots")
{
    // Guards against a share that sticks, or a limit of 0, after any mix of starts, failures and slow answers.
    CHECK(rc::check([](const std::vector<std::uint16_t> &events) {
        BusyServer server;
        server.pace.begin(server.now, kColdLeft);
        for (const std::uint16_t event : events) {
            const double ownTime = 10 + event % 500;
            switch (event % 5) {
            case 0:
                server.pace.interrupt(server.now);
                server.pace.begin(server.now = server.now + Millis{100}, Millis{static_cast<double>(event % 4000)});
                break;
            case 1:
                server.pace.resume(server.now, event % 100 / 100.0);
                break;
            case 2:
                server.run(200, taking(ownTime), bad);
                break;
            default:
                server.run(event % 1000, taking(ownTime), good);
            }
            RC_ASSERT(server.pace.usable(kSlots) >= 1);
            RC_ASSERT(server.pace.usable(kSlots) <= kSlots);
        }
        server.run(10000, taking(kUsual.value), good);
        RC_ASSERT(server.pace.isFull());
    }));
}

TEST_CASE("AdmissionController: a lifted limit on the rate is followed by the pace of a start")
{
    // Guards against all that a server refused under its limit reaching it in the moment in which it lifts the limit.
    ManualClock clock;
    clock.advance(Millis{1000});
    AdmissionController controller({.slots = kSlots, .classCount = 1}, clock);
    controller.rateLimit().name({100}, clock.now());
    clock.advance(Millis{100});
    controller.tick();
    const int limited = controller.limit();
    CHECK(limited < kSlots / 4);
    controller.rateLimit().nameNone(clock.now());
    clock.advance(Millis{100});
    controller.tick();
    CHECK(controller.limit() <= kSlots / 4);
    std::uint64_t id = 0;
    for (int i = 0; i < 50 && !controller.pace().isFull(); ++i) {
        std::vector<TicketId> started;
        while (controller.headroom() > 0) {
            started.emplace_back(++id);
            const TimePoint deadline = clock.now() + Millis{5000};
            REQUIRE(controller.arrive({started.back(), 0, 0, {}, deadline, kUsual}).kind == Decision::Kind::RunNow);
        }
        clock.advance(kUsual);
        for (const TicketId &ticket : started) {
            controller.finished(ticket, {.total = kUsual, .waitingForChildren = {}});
        }
    }
    CHECK(controller.limit() == kSlots);
}

TEST_CASE("FirstRequests: counts what the first requests after a start got, once")
{
    // Guards against a figure for operators that mixes two starts or leaves out what was refused.
    FirstRequests first;
    first.completed(Millis{5}, {0});
    first.begin();
    for (int i = 0; i < FirstRequests::kCount; ++i) {
        const TimePoint now{100.0 + i};
        i % 4 == 0 ? first.refused(now) : i % 4 == 1 ? first.failed(now) : first.completed(Millis{20}, now);
    }
    first.refused({500});
    const auto report = first.takeReport();
    REQUIRE(report);
    CHECK(report->completed == 100);
    CHECK(report->failed == 50);
    CHECK(report->refused == 50);
    CHECK(report->lasted == Millis{FirstRequests::kCount - 1.0});
    CHECK(report->meanTime == Millis{20});
    CHECK(!first.takeReport());
}
