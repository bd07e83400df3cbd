#include "admission/admissionlevel.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>

using namespace Hibiscus;

namespace
{

constexpr int kCapacity = 256; // Requests per window.

struct Window {
    std::array<int, 2> perBucket; ///< Arrivals of each class in every bucket.
    std::array<bool, 2> delayed;
    double lowerInFlight = 0;
    bool shedsUpstream = false;
};

/** A server that completes at most kCapacity requests in a window. */
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
    const int completed = std::min(admitted, kCapacity);
    WindowLoad load{.length = kAdmissionWindow, .completed = completed, .limit = 100, .classes = {{}, {}}};
    load.classes[0] = {.waitSum = window.delayed[0] ? 50.0 : 0, .waits = 1, .meanInFlight = window.lowerInFlight};
    load.classes[1] = {.waitSum = window.delayed[1] ? 50.0 : 0, .waits = 1};
    load.classes[1].meanInFlight = 100.0 * completed / kCapacity - window.lowerInFlight;
    level.closeWindow(load);
    return admitted;
}

} // namespace

TEST_CASE("AdmissionLevel: a delayed window sheds what exceeds the capacity, least important first")
{
    // Guards against shedding too little, and against shedding what the server could have done.
    AdmissionLevel level(2);
    runWindow(level, {.perBucket = {5, 1}, .delayed = {true, false}});
    const int admitted = runWindow(level, {.perBucket = {5, 1}, .delayed = {true, false}});
    CHECK(admitted >= kCapacity);
    CHECK(admitted <= kCapacity * 1.15);
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

TEST_CASE("AdmissionLevel: load that is shed upstream does not come back at once")
{
    // Guards against oscillation: the refused classes are invisible here, but still there.
    for (const bool shedsUpstream : {false, true}) {
        AdmissionLevel level(2);
        Window window{.perBucket = {6, 2}, .delayed = {true, false}, .shedsUpstream = shedsUpstream};
        runWindow(level, window);
        runWindow(level, window);
        const Level raised = level.value();
        window.delayed = {false, false};
        for (int i = 0; i < 5; ++i) {
            runWindow(level, window);
            CHECK(level.value().value >= raised.value - 16);
        }
    }
}

TEST_CASE("AdmissionLevel: it stays in range, rises only with delay, and idle windows open it within 1 s")
{
    // Guards against a level that refuses everything for good.
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
