#include "routing/entrylevels.h"
#include "routing/levelmap.h"
#include "treemodel.h"

#include <iterator>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

const ServiceName kKey("service/class");

ServiceName keyOf(int classRank)
{
    return ServiceName("class" + std::to_string(classRank));
}

TreeModel::Entry entryWithLevels(const Clock &clock)
{
    const auto levels = std::make_shared<EntryLevels>(clock);
    return {[levels](int classRank, Level level) { return levels->admits(keyOf(classRank), level); },
            [levels](int classRank, Level level) { levels->report(keyOf(classRank), level); }};
}

/** As entries decided before: the last report counts, and nothing is known 2 s after it. */
TreeModel::Entry entryWithLastReport(const Clock &clock)
{
    const auto levels = std::make_shared<LevelMap<ServiceName>>(clock);
    return {[levels](int classRank, Level level) { return levels->admits(keyOf(classRank), level); },
            [levels](int classRank, Level level) { levels->report(keyOf(classRank), level); }};
}

} // namespace

TEST_CASE("EntryLevels: reports are smoothed, so that those of unequal servers set one level between them")
{
    ManualClock clock;
    EntryLevels levels(clock);
    CHECK(levels.levelFor(kKey, 0) == Level{0});
    levels.report(kKey, Level{120});
    CHECK(levels.levelFor(kKey, 0) == Level{120});
    for (int i = 0; i < 100; ++i) {
        clock.advance(Millis{10});
        levels.report(kKey, Level{i % 2 == 0 ? 0 : 120});
    }
    CHECK(levels.levelFor(kKey, 0) > Level{50});
    CHECK(levels.levelFor(kKey, 0) < Level{70});
    for (int i = 0; i < 100; ++i) {
        clock.advance(Millis{10});
        levels.report(kKey, Level{0});
    }
    CHECK(levels.admits(kKey, Level{0}));
    CHECK(levels.levelFor(ServiceName("service/other"), 0) == Level{0});
}

TEST_CASE("EntryLevels: without reports each class is admitted again bucket by bucket")
{
    ManualClock clock;
    EntryLevels levels(clock);
    levels.report(kKey, levelOf(2, 10));
    clock.advance(Millis{500});
    CHECK_FALSE(levels.admits(kKey, levelOf(0, 127)));
    CHECK_FALSE(levels.admits(kKey, levelOf(2, 9)));
    CHECK(levels.admits(kKey, levelOf(2, 10)));
    CHECK(levels.admits(kKey, kHighestLevel));
    clock.advance(Millis{100});
    CHECK(levels.levelFor(kKey, 0) == levelOf(0, 123));
    CHECK(levels.levelFor(kKey, 1) == levelOf(1, 123));
    clock.advance(Millis{2500});
    CHECK(levels.admits(kKey, levelOf(0, 0)));
}

TEST_CASE("EntryLevels: under an overload of the bottom the important requests are finished, and less is done in vain")
{
    // Guards against daemons that, two seconds after the last report, all admit everything at the same moment.
    constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4, TreeModel::kSeed};
    double finished = 0;
    for (const std::uint64_t seed : kSeeds) {
        CAPTURE(seed);
        TreeModel model(entryWithLevels, seed);
        TreeModel modelBefore(entryWithLastReport, seed);
        model.play(Millis{20000}, 2.5 * model.capacity());
        modelBefore.play(Millis{20000}, 2.5 * modelBefore.capacity());
        finished += model.results[1].share() / std::size(kSeeds);
        CHECK(model.results[1].share() >= 1.5 * modelBefore.results[1].share());
        CHECK(modelBefore.results[1].share() < 0.6);
        CHECK(model.results[2].share() >= 0.99);
        CHECK(model.vainShare() <= 0.07);
        CHECK(model.vainShare() < modelBefore.vainShare());
    }
    CHECK(finished >= 0.7);
}

TEST_CASE("EntryLevels: waves, and the loss of half of the bottom, leave the important requests unharmed")
{
    for (const bool isHalfLost : {false, true}) {
        CAPTURE(isHalfLost);
        TreeModel model(entryWithLevels);
        const double capacity = model.capacity();
        if (isHalfLost) {
            model.play(Millis{5000}, 0.8 * capacity);
            model.removeHalfOfBottom();
            model.play(Millis{20000}, 0.8 * capacity);
        } else {
            model.play(Millis{30000}, 1.1 * capacity, 0.55);
        }
        CHECK(model.results[2].share() >= 0.99);
        CHECK(model.results[1].share() >= 0.98);
        CHECK(model.results[0].share() >= 0.2);
        CHECK(model.vainShare() <= 0.2);
    }
}
