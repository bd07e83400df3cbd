#include "routing/entrylevels.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus
{

namespace
{

/** Reports are smoothed over this time, in which a request and the calls below it usually end. */
constexpr Millis kSmoothing{200};
/** A level is kept for this time after a report. */
constexpr Millis kHold{500};
/** Afterwards one more bucket is admitted each time that this passes: a whole class within 2.6 s. */
constexpr Millis kTimePerBucket{20};

double weightAfter(Millis pause)
{
    return 1 - std::exp(-pause.value / kSmoothing.value);
}

} // namespace

EntryLevels::EntryLevels(const Clock &clock)
    : clock_(clock)
{
}

void EntryLevels::report(const ServiceName &key, Level level)
{
    const TimePoint now = clock_.now();
    const auto [found, isFirst] = entries_.try_emplace(key, Entry{static_cast<double>(level.value), now});
    if (isFirst) {
        return;
    }
    Entry &entry = found->second;
    entry.level += weightAfter(now - entry.reported) * (level.value - entry.level);
    entry.reported = now;
}

Level EntryLevels::levelFor(const ServiceName &key, int classRank) const
{
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return {};
    }
    const Entry &entry = found->second;
    // From the end of the class, so that its first bucket is admitted soon however much of the higher ones is refused.
    const double highest = std::min<double>(entry.level, levelOf(classRank + 1, 0).value);
    const double silent = (clock_.now() - entry.reported - kHold).value;
    const double admittedAgain = std::max(0.0, silent / kTimePerBucket.value);
    // Rounded down, since a smoothed level only approaches 0.
    return {static_cast<int>(std::max(0.0, highest - admittedAgain))};
}

bool EntryLevels::admits(const ServiceName &key, Level request) const
{
    if (request == kHighestLevel) {
        return true;
    }
    return request >= levelFor(key, request.value / kBucketsPerClass);
}

} // namespace Hibiscus
