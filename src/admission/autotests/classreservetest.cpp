#include "admission/classreserve.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <numeric>

using namespace Hibiscus;

namespace
{

constexpr int kLimit = 40;

/** Class 1 holds @p higher slots, class 0 starts one request every 2 ms that holds its slot for @p hold of 20 ms. */
struct Traffic {
    ClassReserve reserve{2, {0}};
    TimePoint now{0};
    std::vector<TimePoint> lower;

    void run(double milliseconds, double hold)
    {
        for (const TimePoint end = now + Millis{milliseconds}; now < end; now = now + Millis{2}) {
            while (!lower.empty() && now - lower.front() >= Millis{hold}) {
                reserve.finished(0, lower.front(), now, {20});
                lower.erase(lower.begin());
            }
            if (reserve.canStart(0, kLimit, now)) {
                reserve.started(0, now);
                lower.push_back(now);
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
    // Guards against browsing that takes all slots, so that deposits find none.
    struct Case {
        const char *name;
        double hold, milliseconds;
        int least, most;
    };
    for (const Case &one :
         {Case{"quick turnover leaves less than the mean", 20, 3000, 1, 8},
          Case{"slow deep service", 400, 3000, 16, 16}, Case{"deep service stops answering", 1e9, 60, 16, 16}}) {
        CAPTURE(one.name);
        Traffic traffic;
        for (int i = 0; i < 16; ++i) {
            traffic.reserve.started(1, traffic.now);
        }
        traffic.run(1000, 20);
        for (int i = 0; i < 8; ++i) {
            traffic.reserve.finished(1, {0}, traffic.now, {20});
        }
        traffic.run(1000, 20);
        traffic.run(one.milliseconds, one.hold);
        const int reserve = traffic.reserve.reserve(0, traffic.now);
        CHECK(reserve >= one.least);
        CHECK(reserve <= one.most);
        CHECK(traffic.reserve.reserve(1, traffic.now) == 0);
    }
}

TEST_CASE("ClassReserve: lower classes together never hold more than the limit less their reserve")
{
    // Guards against a reserve that holds for each lower class alone but not for their sum.
    CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint16_t>> &steps) {
        ClassReserve reserve(3, {0});
        std::vector<std::pair<int, TimePoint>> running;
        TimePoint now{0};
        for (const auto &[choice, value] : steps) {
            now = now + Millis{value % 30 * 1.0};
            const int rank = choice % 3;
            if (choice < 150) {
                bool expected = true;
                for (int cut = rank; cut < 3; ++cut) {
                    const auto held = std::count_if(running.begin(), running.end(),
                                                    [cut](const auto &one) { return one.first <= cut; });
                    expected &= held < std::max(1, 12 - reserve.reserve(cut, now));
                }
                RC_ASSERT(reserve.canStart(rank, 12, now) == expected);
                if (expected) {
                    reserve.started(rank, now);
                    running.emplace_back(rank, now);
                }
            } else if (choice < 220 && !running.empty()) {
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
