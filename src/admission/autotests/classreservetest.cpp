#include "admission/classreserve.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <numeric>

using namespace Hibiscus;

namespace
{

constexpr int kLimit = 40;

/**
 * Class 0 starts a request every 2 ms if it may. Each has an own service time of 20 ms and holds its slot for a given
 * time.
 */
struct Traffic {
    ClassReserve reserve{2, {0}};
    TimePoint now{0};
    std::vector<TimePoint> lowerStarts; ///< Start times of the class 0 requests in flight, oldest first.

    void run(double milliseconds, double hold)
    {
        for (const TimePoint end = now + Millis{milliseconds}; now < end; now = now + Millis{2}) {
            while (!lowerStarts.empty() && now - lowerStarts.front() >= Millis{hold}) {
                reserve.finished(0, lowerStarts.front(), now, {20});
                lowerStarts.erase(lowerStarts.begin());
            }
            if (reserve.canStart(0, kLimit, now)) {
                reserve.started(0, now);
                lowerStarts.push_back(now);
            }
            if (std::fmod(now.value, 100) == 0) {
                reserve.closeWindow(now);
            }
        }
    }
};

} // namespace

TEST_CASE("ClassReserve: the peak of the higher class stays free while lower requests wait for a deep service")
{
    // Guards against browsing requests that occupy all slots while they wait, so that deposits get none.
    struct Case {
        const char *name;
        double hold, milliseconds;
        int minReserve, maxReserve;
    };
    for (const Case &testCase :
         {Case{"quick turnover leaves less than the mean", 20, 3000, 1, 7},
          Case{"slow deep service", 400, 3000, 16, 16}, Case{"slow for longer than peaks are kept", 400, 20000, 8, 8},
          Case{"deep service stops responding", 1e9, 60, 16, 16}}) {
        CAPTURE(testCase.name);
        Traffic traffic;
        for (int i = 0; i < 16; ++i) {
            traffic.reserve.started(1, traffic.now);
        }
        traffic.run(1000, 20);
        for (int i = 0; i < 8; ++i) {
            traffic.reserve.finished(1, {0}, traffic.now, {20});
        }
        traffic.run(1000, 20);
        traffic.run(testCase.milliseconds, testCase.hold);
        const int reserve = traffic.reserve.reserve(0, traffic.now);
        CHECK(reserve >= testCase.minReserve);
        CHECK(reserve <= testCase.maxReserve);
        CHECK(traffic.reserve.reserve(1, traffic.now) == 0);
    }
}

TEST_CASE("ClassReserve: lower classes together never hold more than the limit less their reserve")
{
    // Guards against a reserve that is kept by each lower class alone but not by their sum.
    CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint16_t>> &steps) {
        const int limit = *rc::gen::inRange(1, 7);
        ClassReserve reserve(3, {0});
        std::vector<std::pair<int, TimePoint>> running;
        TimePoint now{0};
        for (const auto &[choice, value] : steps) {
            now = now + Millis{value % 30 * 1.0};
            const int rank = choice % 3;
            const int op = choice / 3 % 10;
            if (op < 6) {
                bool expected = true;
                for (int upTo = rank; upTo < 3; ++upTo) {
                    const auto held = std::count_if(running.begin(), running.end(),
                                                    [upTo](const auto &entry) { return entry.first <= upTo; });
                    expected &= held < std::max(1, limit - reserve.reserve(upTo, now));
                }
                RC_ASSERT(reserve.canStart(rank, limit, now) == expected);
                if (expected) {
                    reserve.started(rank, now);
                    running.emplace_back(rank, now);
                }
            } else if (op < 9 && !running.empty()) {
                const auto it = running.begin() + value % static_cast<int>(running.size());
                reserve.finished(it->first, it->second, now, {value % 40 * 1.0});
                running.erase(it);
            } else {
                reserve.closeWindow(now);
            }
            RC_ASSERT(reserve.totalInFlight() == static_cast<int>(running.size()));
        }
    }));
}
