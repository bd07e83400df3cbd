#include "admission/admissionlevel.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>

using namespace Hibiscus;

namespace
{

struct Window {
    std::array<int, 2> perBucket; ///< Arrivals of each class in every bucket.
    std::array<bool, 2> delayed;
    double lowerInFlight = 0;
    bool shedsUpstream = false;
    int capacity = 256; ///< Requests that the server completes in a window.
};

/** Returns the number of admitted requests. */
int runWindow(AdmissionLevel &level, const Window &window)
{
    int admitted = 0;
    for (int rank = 0; rank < 2; ++rank) {
        for (int i = 0; i < kBucketsPerClass * window.perBucket.at(static_cast<std::size_t>(rank)); ++i) {
            const Level request = levelOf(rank, i % kBucketsPerClass);
            admitted += level.admits(request) ? 1 : 0;
            if (level.admits(request) || !window.shedsUpstream) {
                level.recordArrival(request);
            }
        }
    }
    const int completed = std::min(admitted, window.capacity);
    WindowLoad load{.length = kAdmissionWindow, .completed = completed, .limit = 100, .classes = {{}, {}}};
    load.classes[0] = {.waitSum = window.delayed[0] ? 50.0 : 0, .waits = 1, .meanInFlight = window.lowerInFlight};
    load.classes[1] = {.waitSum = window.delayed[1] ? 50.0 : 0, .waits = 1};
    load.classes[1].meanInFlight = 100.0 * completed / std::max(1, window.capacity) - window.lowerInFlight;
    level.closeWindow(load);
    return admitted;
}

} // namespace

TEST_CASE("AdmissionLevel: a delayed window sheds what exceeds the capacity, least important first")
{
    // Guards against shedding too little, and against shedding load that the server has capacity for.
    AdmissionLevel level(2);
    runWindow(level, {.perBucket = {5, 1}, .delayed = {true, false}});
    const int admitted = runWindow(level, {.perBucket = {5, 1}, .delayed = {true, false}});
    CHECK(admitted >= 256);
    CHECK(admitted <= 256 * 1.15);
    CHECK(level.value() < levelOf(1, 0));
}

TEST_CASE("AdmissionLevel: the highest class is shed only after the lower ones have left and it stays delayed")
{
    // Guards against refused deposits while browsing is still being served.
    for (const double lowerInFlight : {50.0, 0.0}) {
        AdmissionLevel level(2);
        const Window overload{.perBucket = {2, 6}, .delayed = {true, true}, .lowerInFlight = lowerInFlight};
        for (int i = 0; i < 4; ++i) {
            runWindow(level, overload);
            CHECK(level.value() <= levelOf(1, 0));
        }
        for (int i = 0; i < 4; ++i) {
            runWindow(level, overload);
        }
        CHECK((level.value() > levelOf(1, 0)) == (lowerInFlight == 0));
    }
}

TEST_CASE("AdmissionLevel: a class that is not delayed is not shed on account of a lower one")
{
    // Guards against refusing higher classes when the throughput of a lower one collapses.
    AdmissionLevel level(3);
    for (int window = 0; window < 3; ++window) {
        for (int i = 0; i < 3 * kBucketsPerClass; ++i) {
            level.recordArrival({i});
        }
        WindowLoad load{.length = kAdmissionWindow, .completed = 10, .limit = 100, .classes = {{}, {}, {}}};
        load.classes[0] = {.waitSum = 50, .waits = 1};
        level.closeWindow(load);
    }
    CHECK(level.value() == levelOf(1, 0));
}

TEST_CASE("AdmissionLevel: free capacity admits as much as fits, even of load that is shed upstream")
{
    // Guards against oscillation: load that is shed upstream is not seen here, but arrives as soon as the level falls.
    for (const int higher : {1, 2}) {
        for (const bool shedsUpstream : {false, true}) {
            AdmissionLevel level(2);
            Window window{.perBucket = {6, higher}, .delayed = {true, false}, .shedsUpstream = shedsUpstream};
            runWindow(level, window);
            runWindow(level, window);
            window.delayed = {false, false};
            window.capacity = 320;
            for (int i = 0; i < 5; ++i) {
                CHECK(runWindow(level, window) <= window.capacity * 1.1);
            }
            CHECK(runWindow(level, window) >= window.capacity * 0.95);
        }
    }
}

TEST_CASE("AdmissionLevel: long requests do not delay the recovery after a stall")
{
    // Guards against a level that stays high after a stall until the next long request completes.
    AdmissionLevel level(2);
    for (int i = 0; i < 20; ++i) {
        runWindow(level, {.perBucket = {5, 1}, .delayed = {true, false}, .lowerInFlight = 100, .capacity = 0});
    }
    CHECK(level.value() > Level{0});
    WindowLoad load{.length = kAdmissionWindow, .limit = 100, .classes = {{}, {.meanInFlight = 5}}};
    for (int i = 0; i < 20; ++i) {
        level.closeWindow(load);
    }
    CHECK(level.value() == Level{0});
}

TEST_CASE("AdmissionLevel: it stays in range, rises only with delay, and idle windows lower it to 0 within 1 s")
{
    // Guards against a level that rises out of range or stays high without load, and so refuses all requests for good.
    CHECK(rc::check([](const std::vector<std::tuple<std::uint8_t, std::uint8_t, bool, bool>> &windows) {
        AdmissionLevel level(2);
        for (const auto &[low, high, lowDelayed, highDelayed] : windows) {
            const Level before = level.value();
            runWindow(level, {.perBucket = {low % 8, high % 8}, .delayed = {lowDelayed, highDelayed}});
            RC_ASSERT(level.value() >= Level{0});
            RC_ASSERT(level.value() <= levelOf(1, kBucketsPerClass - 1));
            RC_ASSERT((level.value() <= before || lowDelayed || highDelayed));
        }
        for (int i = 0; i < 10; ++i) {
            runWindow(level, {.perBucket = {0, 0}, .delayed = {false, false}});
        }
        RC_ASSERT(level.value() == Level{0});
    }));
}
